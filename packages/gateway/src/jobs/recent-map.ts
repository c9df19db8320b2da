/**
 * A map of bounded size: the entry that was set longest ago is forgotten for a new one.
 */

/** Keeps the entries set last. */
export class RecentMap<Value> {
  private readonly entries = new Map<string, Value>();

  private constructor(private readonly most: number) {}

  /** @param most how many entries are kept */
  static create<Value>(most: number): RecentMap<Value> {
    return new RecentMap(most);
  }

  get(key: string): Value | undefined {
    return this.entries.get(key);
  }

  set(key: string, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    const [oldest] = this.entries.keys();
    if (this.entries.size > this.most && oldest !== undefined) this.entries.delete(oldest);
  }

  delete(key: string): void {
    this.entries.delete(key);
  }
}
