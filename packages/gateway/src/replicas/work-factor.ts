/**
 * How long work takes on a replica's machine at this moment, relative to the usual time, as the replica reports
 * it in its answers.
 *
 * Load pattern: the factor changes many times a second. The current value helps to place a request, and loses
 * its weight within a second. Whether an item is to be moved depends on the value over the last seconds.
 */

/** How long a reported factor counts; its weight falls linearly over this time. */
const VALIDITY_MS = 1000;
/**
 * Time constant of the lasting factor: a factor of 3 counts as more than 2 after 0.7 s of reports, and one of 5
 * for a tenth of a second as less than 1.5.
 */
const LASTING_TIME_CONSTANT_MS = 1000;
/** The longest time for which one report counts in the lasting factor. */
const MAXIMUM_REPORT_MS = 100;

/** The work factor of one replica. */
export class WorkFactor {
  private newest: number | undefined;

  private newestMs = -Infinity;

  private average = 1;

  static create(): WorkFactor {
    return new WorkFactor();
  }

  /** Whether the replica reports a factor. */
  get isReported(): boolean {
    return this.newest !== undefined;
  }

  /** The factor over the last seconds; 1 where none is reported. */
  get lasting(): number {
    return this.average;
  }

  /** Records a reported factor. */
  record(factor: number, nowMs: number): void {
    const sinceMs = Math.min(MAXIMUM_REPORT_MS, nowMs - this.newestMs);
    const weight = 1 - Math.exp(-sinceMs / LASTING_TIME_CONSTANT_MS);
    this.average += (factor - this.average) * weight;
    this.newest = factor;
    this.newestMs = nowMs;
  }

  /** The factor that is expected now: 1 once the newest report is too old, undefined where there is none. */
  getCurrent(nowMs: number): number | undefined {
    if (this.newest === undefined) return undefined;
    const weight = Math.max(0, 1 - (nowMs - this.newestMs) / VALIDITY_MS);
    return 1 + (this.newest - 1) * weight;
  }
}
