/**
 * The extra attempt of one request: decides, once an attempt has been without an answer for unusually
 * long, whether the request is also sent to a second replica, and records what came of it.
 *
 * A request has at most one extra attempt. It goes only to a healthy replica with a free slot, and is
 * not counted among the retries of attempts that failed.
 */
import * as decisions from '@azureworks/decisions';
import type * as errorGuards from '../core/error-guard';
import type * as configurations from '../types/configuration';
import type * as directories from '../replicas/directory';
import type * as environments from '../types/environment';
import * as replicas from '../types/replica';

export interface ExtraAttemptOptions {
  readonly environment: environments.Environment;
  /** Decides for all requests of the gateway. */
  readonly rules: decisions.ExtraAttempts;
  readonly errors: errorGuards.ErrorGuard;
  readonly request: replicas.ReplicaRequest;
  readonly route: configurations.Route;
  readonly isIdempotent: boolean;
  /** The delay that applies while too few latencies of the route are known, in milliseconds. */
  readonly fixedDelayMs: number;
  /** Chooses a healthy replica with a free slot to which the request may be sent now. */
  readonly chooseReplica: (
    tried: ReadonlySet<string>,
  ) => Promise<directories.TrackedReplica | undefined>;
}

/** The attempt that is watched, and its request. */
export interface WatchedAttempt {
  /** The replicas to which the request was sent. */
  readonly tried: ReadonlySet<string>;
  readonly maximumAttempts: number;
  /** Time left until the request ends in any case, in milliseconds. */
  readonly getRemainingMs: () => number;
  readonly isStopping: () => boolean;
  /** Whether the attempt has neither ended nor been cancelled. */
  readonly isRunning: () => boolean;
  /** Sends the request to a further replica. */
  readonly send: (tracked: directories.TrackedReplica) => void;
}

const METRIC = 'extra_attempts';
/**
 * Memory that must be free for a second answer, besides a second copy of the request in the socket's
 * send buffer: far more than ordinary answers take, so that bodies of other requests come first.
 */
const ANSWER_BYTES = 1024 * 1024;
const FIRST_ERROR_STATUS = 500;

/** The extra attempt of one request. */
export class ExtraAttempt {
  private timer: NodeJS.Timeout | undefined;

  private immediate: NodeJS.Immediate | undefined;

  /** The delay of the attempt that is watched. */
  private delayMs = Infinity;

  private isSent = false;

  private hasEnded = false;

  private constructor(private readonly options: ExtraAttemptOptions) {}

  static create(options: ExtraAttemptOptions): ExtraAttempt {
    return new ExtraAttempt(options);
  }

  /** Watches an attempt that has just been sent; an extra attempt is not watched. */
  watch(attempt: WatchedAttempt): void {
    if (this.isSent) return;
    this.stopWatching();
    const { rules, errors, route, isIdempotent, fixedDelayMs } = this.options;
    if (isIdempotent && attempt.tried.size === 1) rules.recordRequest();
    this.delayMs = rules.getDelayMs(route.name, fixedDelayMs);
    this.timer = setTimeout(() => {
      // After a pause of the process, answers that have arrived are read before timers count.
      this.immediate = setImmediate(() => errors.settle(() => this.consider(attempt), undefined));
    }, this.delayMs);
  }

  /** Records how an attempt ended. */
  recordOutcome(outcome: replicas.CallOutcome, tookMs: number, isExtra: boolean): void {
    // The sample of an extra attempt would count the same request twice.
    if (isExtra) return;
    const isGood =
      outcome.status === replicas.CallStatus.Answered && outcome.answer.status < FIRST_ERROR_STATUS;
    // The latency of an attempt without a good answer is not known, only that it exceeds this one.
    if (!isGood && tookMs < this.delayMs) return;
    this.options.rules.recordLatency(this.options.route.name, tookMs);
  }

  /** Ends with the request. */
  end(isWon: boolean): void {
    this.hasEnded = true;
    this.stopWatching();
    if (this.isSent) this.count(isWon ? 'won' : 'lost');
  }

  private stopWatching(): void {
    clearTimeout(this.timer);
    clearImmediate(this.immediate);
  }

  private async consider(attempt: WatchedAttempt): Promise<void> {
    if (!this.isUseful(attempt)) return;
    const { rules } = this.options;
    const reason = rules.tryTake(this.describe(attempt));
    if (reason) {
      this.withhold(reason);
      return;
    }
    const chosen = await this.chooseOrGiveBack(attempt);
    if (!chosen) {
      if (this.isUseful(attempt)) this.withhold(decisions.WithheldReason.NoFreeReplica);
      return;
    }
    this.send(attempt, chosen);
  }

  /** The choice may wait for a permit, and the attempt may end or the stop begin meanwhile. */
  private async chooseOrGiveBack(
    attempt: WatchedAttempt,
  ): Promise<directories.TrackedReplica | undefined> {
    let chosen: directories.TrackedReplica | undefined;
    try {
      chosen = await this.options.chooseReplica(attempt.tried);
    } finally {
      if (!chosen) this.options.rules.giveBack();
    }
    return chosen;
  }

  private send(attempt: WatchedAttempt, chosen: directories.TrackedReplica): void {
    const { environment, rules, request, route } = this.options;
    if (!this.isUseful(attempt) || attempt.isStopping()) {
      rules.giveBack();
      if (this.isUseful(attempt)) this.withhold(decisions.WithheldReason.Stopping);
      return;
    }
    this.isSent = true;
    this.count('sent');
    environment.log.info('extra attempt sent', {
      request: request.id,
      route: route.name,
      replica: chosen.replica.id,
      delayMs: Math.round(this.delayMs),
    });
    attempt.send(chosen);
  }

  private isUseful(attempt: WatchedAttempt): boolean {
    return !this.hasEnded && attempt.isRunning();
  }

  private describe(attempt: WatchedAttempt): decisions.SlowRequest {
    const { route, isIdempotent, fixedDelayMs } = this.options;
    return {
      route: route.name,
      fixedDelayMs,
      isIdempotent,
      isStopping: attempt.isStopping(),
      attempts: attempt.tried.size,
      maximumAttempts: attempt.maximumAttempts,
      remainingMs: attempt.getRemainingMs(),
      isMemoryShort: this.isMemoryShort(),
    };
  }

  private isMemoryShort(): boolean {
    const { environment, request } = this.options;
    const reservation = environment.memory.tryTake(request.body.length + ANSWER_BYTES);
    reservation?.release();
    return reservation === undefined;
  }

  private withhold(reason: decisions.WithheldReason): void {
    this.count(`withheld-${reason}`);
  }

  private count(outcome: string): void {
    this.options.environment.metrics.count(METRIC, { outcome });
  }
}
