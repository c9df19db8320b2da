/**
 * How long requests took recently, by their kind. The longest of them tells how long another one may
 * usually take; older ones are forgotten, so that a disruption does not count for good.
 */

/** How many durations of a kind are remembered. */
const MAXIMUM_DURATIONS = 32;

/** The latest durations of each kind of requests. */
export class RecentDurations {
  private readonly durationsMs = new Map<string, number[]>();

  static create(): RecentDurations {
    return new RecentDurations();
  }

  record(kind: string, durationMs: number): void {
    const latest = [...(this.durationsMs.get(kind) ?? []), durationMs];
    this.durationsMs.set(kind, latest.slice(-MAXIMUM_DURATIONS));
  }

  /** Undefined before the first one of the kind. */
  getLongestMs(kind: string): number | undefined {
    const latest = this.durationsMs.get(kind);
    return latest && Math.max(...latest);
  }
}
