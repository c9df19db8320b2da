/**
 * A map of bounded size that evicts the entry that was set longest ago.
 */

/** Keeps the most recently set entries. */
export class BoundedMap<Value> {
  private readonly entries = new Map<string, Value>();

  private constructor(
    private readonly maximumSize: number,
    private readonly onRemoved: (value: Value) => void,
  ) {}

  /**
   * @param maximumSize the number of entries that are kept
   * @param onRemoved called with each entry that is evicted, deleted or replaced
   */
  static create<Value>(
    maximumSize: number,
    onRemoved: (value: Value) => void = () => {},
  ): BoundedMap<Value> {
    return new BoundedMap(maximumSize, onRemoved);
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
    this.delete(key);
    this.entries.set(key, value);
    if (this.entries.size > this.maximumSize) this.deleteOldest();
  }

  /** Evicts the entry that was set longest ago. */
  deleteOldest(): void {
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.delete(oldest);
  }

  delete(key: string): void {
    const value = this.entries.get(key);
    if (!this.entries.delete(key)) return;
    this.onRemoved(value as Value);
  }
}
