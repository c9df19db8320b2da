/**
 * Ejection of failing targets: several failures in a row take a target out of use for a growing
 * time; afterwards a single request probes it before it is readmitted.
 */

/** Whether a target may be used. */
export const Health = {
  Healthy: 'healthy',
  Ejected: 'ejected',
  /** One probing request is allowed. */
  Probing: 'probing',
} as const;
export type Health = (typeof Health)[keyof typeof Health];

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 1000;
const LONGEST_EJECTION_MS = 30_000;

/** The health of one target as one entry sees it. */
export class HealthTracker {
  private failures = 0;

  private ejections = 0;

  private ejectedUntilMs = -Infinity;

  private isProbeUnderWay = false;

  static create(): HealthTracker {
    return new HealthTracker();
  }

  /** The health at `nowMs`. */
  getHealth(nowMs: number): Health {
    if (this.ejections === 0) return Health.Healthy;
    if (nowMs < this.ejectedUntilMs || this.isProbeUnderWay) return Health.Ejected;
    return Health.Probing;
  }

  /** Notes that a request is sent; it is the probe when the target was ejected. */
  noteStart(): void {
    if (this.ejections > 0) this.isProbeUnderWay = true;
  }

  /** Notes an answer; readmits the target. */
  noteSuccess(): void {
    this.failures = 0;
    this.ejections = 0;
    this.isProbeUnderWay = false;
  }

  /** Notes that a request ended without telling anything about the target. */
  noteInconclusive(): void {
    this.isProbeUnderWay = false;
  }

  /** Notes a failure of the target; returns whether it is ejected now. */
  noteFailure(nowMs: number): boolean {
    this.failures += 1;
    this.isProbeUnderWay = false;
    if (this.failures < FAILURES_TO_EJECT) return false;
    const durationMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + durationMs;
    return true;
  }
}
