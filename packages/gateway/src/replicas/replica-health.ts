/**
 * Speed and outlier ejection of a replica, derived from its answers.
 *
 * An ejected replica gets nothing while others are healthy. Once its ejection has ended it is on probation:
 * it gets one request of this gateway at a time, a trial, until one of them succeeds. A failure on probation
 * ejects it again at once, for twice as long.
 */
import * as decisions from '@azureworks/decisions';

/** Weight of the newest sample in the moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.2;
/** Consecutive failures after which a replica is ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 2;
/**
 * Duration of the first ejection; each further one lasts twice as long, up to the maximum. As an ejected replica
 * gets nothing while others are healthy, the maximum is below the 5 s for which an item may be at no replica.
 */
const MINIMUM_EJECTION_MS = 1000;
const MAXIMUM_EJECTION_MS = 4000;
/**
 * Shortest time between two trials of a replica: 4 a second for each gateway, which costs a replica that
 * resets them at once about 4 ms a second, and lets an item be tried often within the 5 s for which it may
 * be at no replica.
 */
export const TRIAL_INTERVAL_MS = 250;
/**
 * How long a trial without an outcome keeps the next one back. Above the 1.5 s after which a stream without an
 * event counts as silent; a plain call to a replica that was cut off may take until its deadline.
 */
const TRIAL_LIMIT_MS = 2000;

/** Whether a replica may get requests, as far as this gateway has observed. */
export const ReplicaCondition = {
  Healthy: 'healthy',
  /** Its ejection has ended, and it has not succeeded since. */
  Probation: 'probation',
  Ejected: 'ejected',
} as const;
export type ReplicaCondition = (typeof ReplicaCondition)[keyof typeof ReplicaCondition];

/** The health of one replica as observed by one gateway. */
export class ReplicaHealth {
  private average: decisions.MovingAverage | undefined;

  private consecutiveFailures = 0;

  private ejections = 0;

  private ejectedAtMs = -Infinity;

  private ejectedUntilMs = -Infinity;

  /** Whether it has not succeeded since it was ejected. */
  private isUnproven = false;

  private trialMs = -Infinity;

  /** Whether the outcome of the last trial is not known yet. */
  private isTrialOpen = false;

  static create(): ReplicaHealth {
    return new ReplicaHealth();
  }

  /**
   * Average time per unit of work (an answer or a stream event) at a work factor of 1; undefined before the
   * first.
   */
  get unitMs(): number | undefined {
    return this.average?.value;
  }

  /** Whether the replica is ejected at `nowMs`. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs;
  }

  getCondition(nowMs: number): ReplicaCondition {
    if (this.isEjected(nowMs)) return ReplicaCondition.Ejected;
    return this.isUnproven ? ReplicaCondition.Probation : ReplicaCondition.Healthy;
  }

  /** Whether a trial may begin, if the condition of other replicas permits it. */
  mayTry(nowMs: number): boolean {
    return nowMs - this.trialMs >= (this.isTrialOpen ? TRIAL_LIMIT_MS : TRIAL_INTERVAL_MS);
  }

  /** Records that a request was given to the replica as a trial; returns whether it is the first one. */
  beginTrial(nowMs: number): boolean {
    const isFirst = this.trialMs < this.ejectedAtMs;
    this.trialMs = nowMs;
    this.isTrialOpen = true;
    return isFirst;
  }

  /**
   * Records that a request has ended, however it did.
   * @param startedMs when it was sent
   */
  recordEnd(startedMs: number): void {
    if (startedMs >= this.trialMs) this.isTrialOpen = false;
  }

  /**
   * Records how long a unit of work took.
   * @param workFactor the replica's work factor meanwhile
   */
  recordDuration(unitMs: number, workFactor = 1): void {
    const ownMs = unitMs / workFactor;
    this.average ??= decisions.MovingAverage.create(NEWEST_SAMPLE_WEIGHT, ownMs);
    this.average.add(ownMs);
  }

  /**
   * Records a successful answer: resets the count of failures and the length of ejections.
   * @param startedMs when the request was sent; one from before the ejection does not end it
   * @returns whether it ends an ejection or a probation
   */
  recordSuccess(startedMs = Infinity): boolean {
    this.consecutiveFailures = 0;
    this.ejections = 0;
    return this.recordProgress(startedMs);
  }

  /**
   * Records that a request has made progress, which ends an ejection or a probation as a success does. The
   * next failure still ejects the replica at once, and for longer.
   * @returns whether it ends one
   */
  recordProgress(startedMs: number): boolean {
    if (!this.isUnproven || startedMs < this.ejectedAtMs) return false;
    this.isUnproven = false;
    this.isTrialOpen = false;
    this.ejectedUntilMs = -Infinity;
    return true;
  }

  /**
   * Records a failure; returns whether it ejects the replica.
   * @param isSilent whether the replica was unresponsive, for which one failure suffices
   */
  recordFailure(nowMs: number, isSilent: boolean): boolean {
    this.consecutiveFailures += 1;
    const isEnough =
      isSilent || this.isUnproven || this.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT;
    return isEnough && this.eject(nowMs);
  }

  /** Ejects the replica for a while; returns false when it is ejected already. */
  eject(nowMs: number): boolean {
    if (this.isEjected(nowMs)) return false;
    const durationMs = Math.min(MAXIMUM_EJECTION_MS, MINIMUM_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedAtMs = nowMs;
    this.ejectedUntilMs = nowMs + durationMs;
    this.isUnproven = true;
    return true;
  }

  /** Discards the average, so that it reflects only work from now on. */
  resetAverage(): void {
    this.average = undefined;
  }
}
