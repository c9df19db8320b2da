/**
 * Outlier ejection: consecutive failures eject a target for an exponentially growing time; then a
 * single request probes the target before it is readmitted.
 */

/** Whether a target may receive requests. */
export const Health = {
  Healthy: 'healthy',
  Ejected: 'ejected',
  /** The ejection time is over and one request may probe the target. */
  Probing: 'probing',
} as const;
export type Health = (typeof Health)[keyof typeof Health];

const CONSECUTIVE_FAILURES_TO_EJECT = 3;
const BASE_EJECTION_MS = 1000;
const MAXIMUM_EJECTION_MS = 30_000;

/** The health of one target as one entry sees it. */
export class HealthTracker {
  private consecutiveFailures = 0;

  private ejections = 0;

  private ejectedUntilMs = -Infinity;

  private isProbeInFlight = false;

  static create(): HealthTracker {
    return new HealthTracker();
  }

  /** The health at `nowMs`. */
  getHealth(nowMs: number): Health {
    if (this.ejections === 0) return Health.Healthy;
    if (nowMs < this.ejectedUntilMs || this.isProbeInFlight) return Health.Ejected;
    return Health.Probing;
  }

  /** Records that a request is sent; it counts as the probe when the target was ejected. */
  recordStart(): void {
    if (this.ejections > 0) this.isProbeInFlight = true;
  }

  /** Records a success and readmits the target. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.ejections = 0;
    this.isProbeInFlight = false;
  }

  /** Records that a request ended without evidence for or against the target. */
  recordInconclusive(): void {
    this.isProbeInFlight = false;
  }

  /** Records a failure of the target; returns whether it is ejected now. */
  recordFailure(nowMs: number): boolean {
    this.consecutiveFailures += 1;
    this.isProbeInFlight = false;
    if (this.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT) return false;
    const durationMs = Math.min(MAXIMUM_EJECTION_MS, BASE_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + durationMs;
    return true;
  }
}
