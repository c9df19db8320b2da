/**
 * Decides when the holder of a duty may make its next call.
 *
 * Load pattern: all gateways together have one rate of calls. Right after a change of the holder two
 * gateways and several duties may use it, and after an outage of the platform each has a backlog.
 */
import type * as environments from '../types/environment';

/** The share of the rate that one duty of one gateway uses. */
const RATE_SHARE = 0.25;
/** Backoff after a call that failed; doubles with each further one. */
const MINIMUM_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 1500;

/** Paces the calls of one duty. */
export class CallPacer {
  private nextMs = -Infinity;

  private backoffMs = MINIMUM_BACKOFF_MS;

  private constructor(
    private readonly callsPerSecond: number,
    private readonly environment: Pick<environments.Environment, 'nowMs' | 'random'>,
  ) {}

  /** @param callsPerSecond the calls that all gateways together may make in a second */
  static create(
    callsPerSecond: number,
    environment: Pick<environments.Environment, 'nowMs' | 'random'>,
  ): CallPacer {
    return new CallPacer(callsPerSecond, environment);
  }

  /** Whether a call may be made now. */
  get mayCall(): boolean {
    return this.environment.nowMs() >= this.nextMs;
  }

  /** Records how a call ended. */
  record(isAccepted: boolean): void {
    const spacingMs = 1000 / (this.callsPerSecond * RATE_SHARE);
    const { nowMs, random } = this.environment;
    const backoffMs = isAccepted ? 0 : this.backoffMs * (0.75 + 0.5 * random());
    this.nextMs = nowMs() + Math.max(spacingMs, backoffMs);
    this.backoffMs = isAccepted
      ? MINIMUM_BACKOFF_MS
      : Math.min(MAXIMUM_BACKOFF_MS, this.backoffMs * 2);
  }
}
