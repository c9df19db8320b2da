/**
 * A prompt-prefix cache with limited room, least recently used out first.
 */

/** Remembers which prefixes are cached. */
export class PrefixCache {
  private readonly entries = new Map<string, true>();

  private hitCount = 0;

  private missCount = 0;

  private constructor(private readonly capacity: number) {}

  /** @param capacity the number of prefixes that fit */
  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  get hits(): number {
    return this.hitCount;
  }

  get misses(): number {
    return this.missCount;
  }

  /** Looks a prefix up and caches it; returns whether it was there. */
  touch(prefix: string): boolean {
    const isHit = this.entries.delete(prefix);
    this.entries.set(prefix, true);
    if (isHit) this.hitCount += 1;
    else this.missCount += 1;
    if (this.entries.size > this.capacity) {
      this.entries.delete(this.entries.keys().next().value as string);
    }
    return isHit;
  }
}
