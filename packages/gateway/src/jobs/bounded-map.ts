/**
 * A map of bounded size that evicts the entry that was set longest ago.
 */

/** Keeps the most recently set entries. */
export class BoundedMap<Value> {
  private readonly entries = new Map<string, Value>();

  private constructor(private readonly maximumSize: number) {}

  /** @param maximumSize the number of entries that are kept */
  static create<Value>(maximumSize: number): BoundedMap<Value> {
    return new BoundedMap(maximumSize);
  }

  /** All entries, the one that was set longest ago first. */
  list(): [string, Value][] {
    return [...this.entries];
  }

  get size(): number {
    return this.entries.size;
  }

  get(key: string): Value | undefined {
    return this.entries.get(key);
  }

  set(key: string, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    const [oldest] = this.entries.keys();
    if (this.entries.size > this.maximumSize && oldest !== undefined) this.entries.delete(oldest);
  }

  delete(key: string): void {
    this.entries.delete(key);
  }
}
