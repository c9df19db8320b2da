/**
 * When a request that has waited for unusually long is also sent to a second replica, and when not.
 *
 * Load pattern: most requests to a route take about as long as each other, and some take many times
 * longer because their replica is busy, frozen or slow at that moment. A second attempt elsewhere
 * answers most of these sooner. When everything becomes slow at once, second attempts only add load:
 * a budget limits them to a share of the recent requests, whatever the latencies are.
 *
 * The budget starts empty and keeps few unused attempts, so that neither a restart nor a quiet period
 * is followed by a burst.
 */
import type * as clocks from '../types/clock';
import * as recentLatencies from './recent-latencies';
import * as retryBudgets from './retry-budget';

/** Settings of the extra attempts of a gateway. */
export interface ExtraAttemptSettings {
  /** Extra attempts per request, above 0 and up to 1. */
  readonly share: number;
  /** The second attempt is sent after this quantile of the route's recent latencies. */
  readonly quantile: number;
}

/** Why a slow request got no extra attempt. */
export const WithheldReason = {
  /** The share of recent requests is used up. */
  NoBudget: 'no-budget',
  /** No other healthy replica to which the request may be sent has a free slot. */
  NoFreeReplica: 'no-free-replica',
  /** Less than the usual duration is left before the deadline. */
  NoTime: 'no-time',
  /** The request may be sent to no further replica. */
  AttemptsExhausted: 'attempts-exhausted',
  /** The gateway stops. */
  Stopping: 'stopping',
  /** The memory budget has no room for a second answer. */
  Memory: 'memory',
  /** The request may run once only. */
  NotIdempotent: 'not-idempotent',
} as const;
export type WithheldReason = (typeof WithheldReason)[keyof typeof WithheldReason];

/** What the decision about one slow request depends on. */
export interface SlowRequest {
  readonly route: string;
  /** How long the first attempt may take without samples, in milliseconds. */
  readonly fixedDelayMs: number;
  readonly isIdempotent: boolean;
  readonly isStopping: boolean;
  /** Replicas to which it was sent, and to which it may be sent. */
  readonly attempts: number;
  readonly maximumAttempts: number;
  /** Time before its deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly isMemoryShort: boolean;
}

/**
 * Unused extra attempts that are kept: enough for the requests that wait for one replica when it
 * freezes, few enough that all gateways together do not overload the others.
 */
const BUDGET_CAPACITY = 4;
/** The quantile that tells how long a request usually takes. */
const USUAL_QUANTILE = 0.5;
/**
 * The shortest delay, in milliseconds: below it, timer resolution and pauses of the process exceed
 * the differences between replicas.
 */
const MINIMUM_DELAY_MS = 5;

/** Decides on the extra attempts of one gateway. */
export class ExtraAttempts {
  private readonly latencies = recentLatencies.RecentLatencies.create();

  private readonly budget: retryBudgets.RetryBudget;

  /** With fewer samples, none is expected above the quantile. */
  private readonly minimumSamples: number;

  private constructor(
    private readonly settings: ExtraAttemptSettings,
    private readonly clock: clocks.Clock,
  ) {
    this.budget = retryBudgets.RetryBudget.create(settings.share, BUDGET_CAPACITY, 0);
    this.minimumSamples = Math.ceil(1 / (1 - settings.quantile));
  }

  static create(settings: ExtraAttemptSettings, clock: clocks.Clock): ExtraAttempts {
    return new ExtraAttempts(settings, clock);
  }

  /** Records a request that may have an extra attempt, when it is first sent. */
  recordRequest(): void {
    this.budget.deposit();
  }

  /** Records how long an attempt took, or how long it had taken when it was cancelled. */
  recordLatency(route: string, latencyMs: number): void {
    this.latencies.record(route, latencyMs, this.clock.nowMs());
  }

  /**
   * The time without an answer after which a second attempt is considered.
   * @param fixedDelayMs applies while too few latencies of the route are known
   */
  getDelayMs(route: string, fixedDelayMs: number): number {
    const delayMs = this.getQuantileMs(route, this.settings.quantile) ?? fixedDelayMs;
    return Math.max(MINIMUM_DELAY_MS, delayMs);
  }

  /** Takes an extra attempt from the budget; returns the reason if there is to be none. */
  tryTake(request: SlowRequest): WithheldReason | undefined {
    if (!request.isIdempotent) return WithheldReason.NotIdempotent;
    if (request.isStopping) return WithheldReason.Stopping;
    if (request.attempts >= request.maximumAttempts) return WithheldReason.AttemptsExhausted;
    const usualMs = this.getQuantileMs(request.route, USUAL_QUANTILE) ?? request.fixedDelayMs;
    if (request.remainingMs < usualMs) return WithheldReason.NoTime;
    if (request.isMemoryShort) return WithheldReason.Memory;
    return this.budget.withdraw() ? undefined : WithheldReason.NoBudget;
  }

  /** Returns an extra attempt that was taken and not sent. */
  giveBack(): void {
    this.budget.giveBack();
  }

  private getQuantileMs(route: string, quantile: number): number | undefined {
    const nowMs = this.clock.nowMs();
    return this.latencies.getQuantileMs(route, quantile, this.minimumSamples, nowMs);
  }
}
