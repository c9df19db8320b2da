/**
 * One attempt of a caller at a plain request: it is sent to a replica, and to further ones when
 * that is allowed and useful, until one has answered or the deadline has passed.
 *
 * Another replica is tried when the request certainly did not run, when the answer to an idempotent
 * request was lost or a server error, and when an idempotent request has waited for so long that
 * its replica is probably unresponsive (hedging), or for unusually long where the gateway's settings
 * allow extra attempts. The first good answer aborts the other calls.
 * While the gateway stops, no call begins that cannot end in time, and at the last moment the caller is
 * told whether the request may have run.
 */
import * as decisions from '@azureworks/decisions';
import type * as exchanges from '../types/exchange';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as answerPolicies from './answer-policy';
import type * as callContexts from './call-context';
import type * as extraAttempts from './extra-attempt';
import * as plannedStops from './planned-stop';

/** Options of a plain call. */
export interface PlainCallOptions {
  readonly request: replicas.ReplicaRequest;
  readonly isIdempotent: boolean;
  readonly maximumAttempts: number;
  /** The caller's deadline, on the monotonic clock. */
  readonly callerDeadlineAtMs: number;
  /** When the call must end: the earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAtMs: number;
  /**
   * Time without an answer after which an idempotent request is sent to another replica; undefined:
   * never. It has no effect where there may be an extra attempt.
   */
  readonly hedgeDelayMs: number | undefined;
  /** Decides on an extra attempt within the gateway's budget. */
  readonly extraAttempt?: extraAttempts.ExtraAttempt | undefined;
  readonly signal: AbortSignal;
}

/** The reply to the caller and how it came about. */
export interface PlainCallResult {
  readonly reply: exchanges.Reply;
  /** Number of replicas to which the request was sent. */
  readonly attempts: number;
  /** Number of answers with status 500. */
  readonly failedAnswers: number;
}

const MINIMUM_SERVER_ERROR_STATUS = 500;
const INTERNAL_SERVER_ERROR_STATUS = 500;

/** Runs one plain request. */
export class PlainCall {
  private readonly triedIds = new Set<string>();

  private readonly runningCalls = new Map<string, AbortController>();

  /** The last answer that reports an error and may be passed on. */
  private lastAnswer: replicas.ReplicaAnswer | undefined;

  private failedAnswers = 0;

  private mayHaveRun = false;

  private hedgeTimer: NodeJS.Timeout | undefined;

  private deadlineTimer: NodeJS.Timeout | undefined;

  private resolve: ((result: PlainCallResult) => void) | undefined;

  private reject: ((error: unknown) => void) | undefined;

  private isFinished = false;

  private isChoosing = false;

  private leaveStop: (() => void) | undefined;

  private constructor(
    private readonly context: callContexts.CallContext,
    private readonly options: PlainCallOptions,
  ) {}

  static create(context: callContexts.CallContext, options: PlainCallOptions): PlainCall {
    return new PlainCall(context, options);
  }

  run(): Promise<PlainCallResult> {
    return new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
      this.options.signal.addEventListener('abort', this.onCallerDisconnected, { once: true });
      const remainingMs = Math.max(0, this.options.deadlineAtMs - this.context.nowMs());
      this.deadlineTimer = setTimeout(() => this.fail('deadline-exceeded'), remainingMs);
      this.leaveStop = this.context.stop.onLastMoment(() => this.endAtLastMoment());
      if (this.options.signal.aborted) this.onCallerDisconnected();
      this.sendNext();
    });
  }

  private readonly onCallerDisconnected = (): void => this.fail('deadline-exceeded');

  private sendNext(): void {
    if (this.isFinished || this.isChoosing) return;
    this.isChoosing = true;
    this.chooseAndSend().catch((error) => this.reject?.(error));
  }

  private async chooseAndSend(): Promise<void> {
    const { stop, chooseReplica } = this.context;
    const tracked =
      this.triedIds.size < this.options.maximumAttempts && stop.mayPassOn()
        ? await chooseReplica(this.triedIds)
        : undefined;
    this.isChoosing = false;
    if (this.isFinished) return;
    if (tracked && stop.mayPassOn()) this.send(tracked);
    else if (this.runningCalls.size === 0) this.giveUp();
  }

  private async send(tracked: directories.TrackedReplica, isExtra = false): Promise<void> {
    const { replica } = tracked;
    const startMs = this.context.nowMs();
    const abort = new AbortController();
    this.triedIds.add(replica.id);
    this.runningCalls.set(replica.id, abort);
    this.startHedgeTimer(replica.id);
    tracked.inFlight += 1;
    const outcome = await this.context.replicaClient
      .call(replica, this.options.request, {
        deadlineMs: Math.max(1, this.getRemainingMs()),
        signal: abort.signal,
      })
      .finally(() => {
        tracked.inFlight -= 1;
        this.runningCalls.delete(replica.id);
      });
    const tookMs = this.context.nowMs() - startMs;
    this.context.recordOutcome(tracked, outcome, tookMs);
    this.options.extraAttempt?.recordOutcome(outcome, tookMs, isExtra);
    if (!this.isFinished) this.handleOutcome(outcome, isExtra);
  }

  /** Time until the request ends in any case, in milliseconds. */
  private getRemainingMs(): number {
    const { callerDeadlineAtMs, deadlineAtMs } = this.options;
    const { stop, nowMs } = this.context;
    return Math.min(callerDeadlineAtMs, deadlineAtMs, stop.lastAnswerAtMs) - nowMs();
  }

  private startHedgeTimer(replicaId: string): void {
    clearTimeout(this.hedgeTimer);
    const { isIdempotent, hedgeDelayMs, extraAttempt } = this.options;
    if (extraAttempt) {
      extraAttempt.watch(this.createWatchedAttempt(replicaId));
      return;
    }
    if (!isIdempotent || hedgeDelayMs === undefined) return;
    this.hedgeTimer = setTimeout(() => this.sendNext(), hedgeDelayMs);
  }

  private createWatchedAttempt(replicaId: string): extraAttempts.WatchedAttempt {
    return {
      tried: this.triedIds,
      maximumAttempts: this.options.maximumAttempts,
      getRemainingMs: () => this.getRemainingMs(),
      isStopping: () => Number.isFinite(this.context.stop.lastAnswerAtMs),
      isRunning: () => !this.isFinished && this.runningCalls.has(replicaId),
      send: (tracked) => {
        this.send(tracked, true).catch((error) => this.reject?.(error));
      },
    };
  }

  private handleOutcome(outcome: replicas.CallOutcome, isExtra: boolean): void {
    if (outcome.status !== replicas.CallStatus.Answered) {
      if (outcome.status === replicas.CallStatus.Broken) this.mayHaveRun = true;
      if (this.isRetryable(outcome.status)) this.retry();
      else this.giveUp();
      return;
    }
    const { answer } = outcome;
    const mayPassOn = answerPolicies.mayPassOn(answer);
    if (mayPassOn && answer.status < MINIMUM_SERVER_ERROR_STATUS) {
      this.complete({ kind: 'answer', answer }, isExtra);
      return;
    }
    if (answer.status === INTERNAL_SERVER_ERROR_STATUS) this.failedAnswers += 1;
    this.mayHaveRun = true;
    if (mayPassOn) this.lastAnswer = answer;
    if (this.options.isIdempotent) this.retry();
    else this.giveUp();
  }

  /** Where there may be an extra attempt, the attempt still running is the retry of one that failed. */
  private retry(): void {
    if (this.options.extraAttempt && this.runningCalls.size > 0) return;
    this.sendNext();
  }

  private isRetryable(status: replicas.CallStatus): boolean {
    return replicas.isNotRun(status) || this.options.isIdempotent;
  }

  private giveUp(): void {
    const answer = this.lastAnswer;
    if (answer) this.complete({ kind: 'answer', answer });
    else if (this.mayHaveRun) this.fail('target-failed');
    else this.complete({ kind: 'failure', failure: this.context.createRefusal() });
  }

  private endAtLastMoment(): void {
    if (this.verdict === decisions.VerdictKind.MayHaveRun) this.fail('outcome-unknown');
    else this.complete({ kind: 'failure', failure: plannedStops.createStopRefusal() });
  }

  private get verdict(): decisions.VerdictKind {
    return this.mayHaveRun || this.runningCalls.size > 0
      ? decisions.VerdictKind.MayHaveRun
      : decisions.VerdictKind.NotRun;
  }

  private fail(code: decisions.ErrorCode): void {
    const { verdict } = this;
    this.complete({ kind: 'failure', failure: decisions.createFailure(code, { verdict }) });
  }

  /** @param isWon whether the reply is the answer to the extra attempt */
  private complete(reply: exchanges.Reply, isWon = false): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.hedgeTimer);
    this.options.extraAttempt?.end(isWon);
    clearTimeout(this.deadlineTimer);
    this.leaveStop?.();
    this.options.signal.removeEventListener('abort', this.onCallerDisconnected);
    this.runningCalls.forEach((abort) => abort.abort());
    const { failedAnswers } = this;
    this.resolve?.({ reply, attempts: this.triedIds.size, failedAnswers });
  }
}
