/**
 * Which incarnations of targets are leaving, from what they say themselves and from what is registered
 * of them.
 *
 * Load pattern: many targets leave at once while the registry is slow or cannot be reached, and its
 * news of a target may be older than the target's own. A target that has begun to leave never returns
 * as the same incarnation, so the first news counts, from whichever source, and nothing takes it back:
 * neither an older entry of the registry nor one that lapsed and came again.
 */
import type * as clocks from '../types/clock';

/** Where it was learned that a target is leaving. */
export const DepartureSource = {
  /** The target said so in an answer. */
  Answer: 'answer',
  /** Its entry in the registry says so. */
  Registry: 'registry',
} as const;
export type DepartureSource = (typeof DepartureSource)[keyof typeof DepartureSource];

/** No target takes longer to leave. */
const DEPARTURE_LIFETIME_MS = 600_000;
/** Departures that are remembered; the oldest are forgotten first. */
const MAXIMUM_DEPARTURES = 16_384;

/** The incarnations that are leaving. */
export class Departures {
  /** When each incarnation was first known to leave, the oldest first. */
  private readonly sinceMs = new Map<string, number>();

  private constructor(private readonly clock: clocks.Clock) {}

  static create(clock: clocks.Clock): Departures {
    return new Departures(clock);
  }

  /** Records that an incarnation is leaving; returns whether that is news. */
  record(incarnation: string): boolean {
    if (this.isLeaving(incarnation)) return false;
    this.dropOldest();
    this.sinceMs.set(incarnation, this.clock.nowMs());
    return true;
  }

  isLeaving(incarnation: string): boolean {
    const sinceMs = this.sinceMs.get(incarnation);
    return sinceMs !== undefined && this.clock.nowMs() - sinceMs < DEPARTURE_LIFETIME_MS;
  }

  private dropOldest(): void {
    for (const [incarnation, sinceMs] of this.sinceMs) {
      const isExpired = this.clock.nowMs() - sinceMs >= DEPARTURE_LIFETIME_MS;
      if (!isExpired && this.sinceMs.size < MAXIMUM_DEPARTURES) return;
      this.sinceMs.delete(incarnation);
    }
  }
}
