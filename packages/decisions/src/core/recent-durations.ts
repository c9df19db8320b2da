/**
 * How long requests of one kind took recently. The longest of them tells how long another one may
 * usually take; older ones are forgotten, so that a disruption does not count for good.
 */

/** How many durations are remembered. */
const MAXIMUM_DURATIONS = 32;

/** The latest durations. */
export class RecentDurations {
  private readonly durationsMs: number[] = [];

  static create(): RecentDurations {
    return new RecentDurations();
  }

  record(durationMs: number): void {
    this.durationsMs.push(durationMs);
    if (this.durationsMs.length > MAXIMUM_DURATIONS) this.durationsMs.shift();
  }

  /** Undefined before the first one. */
  get longestMs(): number | undefined {
    return this.durationsMs.length === 0 ? undefined : Math.max(...this.durationsMs);
  }
}
