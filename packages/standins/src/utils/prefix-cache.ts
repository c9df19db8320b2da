/**
 * A prompt-prefix cache of limited size with least-recently-used eviction.
 */

/** Tracks cached prefixes and counts hits and misses. */
export class PrefixCache {
  private readonly prefixes = new Map<string, true>();

  private hitCount = 0;

  private missCount = 0;

  private constructor(private readonly capacity: number) {}

  /** @param capacity the maximum number of cached prefixes */
  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  get hits(): number {
    return this.hitCount;
  }

  get misses(): number {
    return this.missCount;
  }

  /** Marks a prefix as most recently used; returns whether it was cached already. */
  touch(prefix: string): boolean {
    const isHit = this.prefixes.delete(prefix);
    this.prefixes.set(prefix, true);
    if (isHit) this.hitCount += 1;
    else this.missCount += 1;
    if (this.prefixes.size > this.capacity) {
      this.prefixes.delete(this.prefixes.keys().next().value as string);
    }
    return isHit;
  }
}
