/**
 * How long requests took recently, by their kind. The longest of them tells how long another one may
 * usually take; older ones are forgotten, so that a disruption does not count for good.
 */

/** How many durations of a kind are remembered. */
const MAXIMUM_DURATIONS = 32;
/** Kinds that are remembered, such as routes; the one without requests for longest is forgotten first. */
const MAXIMUM_KINDS = 4096;

/** The latest durations of each kind of requests. */
export class RecentDurations {
  private readonly durationsMs = new Map<string, number[]>();

  static create(): RecentDurations {
    return new RecentDurations();
  }

  record(kind: string, durationMs: number): void {
    const latest = [...(this.durationsMs.get(kind) ?? []), durationMs];
    this.durationsMs.delete(kind);
    this.durationsMs.set(kind, latest.slice(-MAXIMUM_DURATIONS));
    const [oldest] = this.durationsMs.keys();
    if (this.durationsMs.size > MAXIMUM_KINDS && oldest !== undefined)
      this.durationsMs.delete(oldest);
  }

  /** Undefined before the first one of the kind. */
  getLongestMs(kind: string): number | undefined {
    const latest = this.durationsMs.get(kind);
    return latest && Math.max(...latest);
  }
}
