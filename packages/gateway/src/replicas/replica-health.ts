/**
 * Speed and outlier ejection of a replica, derived from its answers.
 */
import * as decisions from '@azureworks/decisions';

/** Weight of the newest sample in the moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.2;
/** Consecutive failures after which a replica is ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 2;
/** Duration of the first ejection; each further one lasts twice as long, up to the maximum. */
const MINIMUM_EJECTION_MS = 1000;
const MAXIMUM_EJECTION_MS = 8000;

/** The health of one replica as observed by one gateway. */
export class ReplicaHealth {
  private average: decisions.MovingAverage | undefined;

  private consecutiveFailures = 0;

  private ejections = 0;

  private ejectedUntilMs = -Infinity;

  static create(): ReplicaHealth {
    return new ReplicaHealth();
  }

  /** Average time per unit of work (an answer or a stream event); undefined before the first. */
  get unitMs(): number | undefined {
    return this.average?.value;
  }

  /** Whether the replica is ejected at `nowMs`. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs;
  }

  /** Records how long a unit of work took. */
  recordDuration(unitMs: number): void {
    this.average ??= decisions.MovingAverage.create(NEWEST_SAMPLE_WEIGHT, unitMs);
    this.average.add(unitMs);
  }

  /** Records a successful answer: resets the count of failures and the length of ejections. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.ejections = 0;
  }

  /**
   * Records a failure; returns whether it ejects the replica.
   * @param isSilent whether the replica was unresponsive, for which one failure suffices
   */
  recordFailure(nowMs: number, isSilent: boolean): boolean {
    this.consecutiveFailures += 1;
    if (!isSilent && this.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT) return false;
    return this.eject(nowMs);
  }

  /** Ejects the replica for a while; returns false when it is ejected already. */
  eject(nowMs: number): boolean {
    if (this.isEjected(nowMs)) return false;
    const durationMs = Math.min(MAXIMUM_EJECTION_MS, MINIMUM_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + durationMs;
    return true;
  }

  /** Discards the average, so that it reflects only work from now on. */
  resetAverage(): void {
    this.average = undefined;
  }
}
