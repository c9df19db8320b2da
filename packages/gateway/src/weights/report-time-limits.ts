/**
 * The time limit of a replica's reports. A replica that is slow has to be asked for longer, or it would never get an
 * order; one that cannot be reached should not be waited for.
 *
 * Load pattern: a report takes a few milliseconds. Of the replicas that do not answer in time most are behind a cut
 * path, and answer at once when it is whole; a few are slow for a minute. The limit doubles with each report that
 * is missing, and is back at its first value with the next one that arrives.
 */
import * as boundedMaps from '../jobs/bounded-map';

const MINIMUM_MS = 500;
const MAXIMUM_MS = 2000;
/** Replicas that are remembered. */
const MAXIMUM_REPLICAS = 20_000;

/** The time limits of all replicas. */
export class ReportTimeLimits {
  private readonly limits = boundedMaps.BoundedMap.create<number>(MAXIMUM_REPLICAS);

  static create(): ReportTimeLimits {
    return new ReportTimeLimits();
  }

  /** The time limit of the next report, in milliseconds. */
  get(replica: string): number {
    return this.limits.get(replica) ?? MINIMUM_MS;
  }

  /** @param tookMs after which it was answered or given up; one that failed before its limit was not too slow */
  record(replica: string, isAnswered: boolean, tookMs: number): void {
    const limitMs = this.get(replica);
    if (isAnswered) this.limits.delete(replica);
    else if (tookMs >= limitMs) this.limits.set(replica, Math.min(2 * limitMs, MAXIMUM_MS));
  }
}
