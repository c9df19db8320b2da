/**
 * One attempt of a caller at a plain request: it is sent to a replica, and to further ones when
 * that is allowed and useful, until one has answered or the deadline has passed.
 *
 * Another replica is tried when the request certainly did not run, when the answer to an idempotent
 * request was lost or a server error, and when an idempotent request has waited for so long that
 * its replica is probably unresponsive (hedging). The first good answer aborts the other calls.
 * While the gateway stops, no call begins that cannot end in time, and at the last moment the caller is
 * told whether the request may have run.
 */
import * as decisions from '@azureworks/decisions';
import type * as exchanges from '../types/exchange';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import type * as callContexts from './call-context';
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
  /** Time without an answer after which an idempotent request is sent to another replica. */
  readonly hedgeDelayMs: number;
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
/** Statuses that tell the caller that the request did not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Runs one plain request. */
export class PlainCall {
  private readonly triedIds = new Set<string>();

  private readonly runningCalls = new Map<string, AbortController>();

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

  private async send(tracked: directories.TrackedReplica): Promise<void> {
    const { replica } = tracked;
    const startMs = this.context.nowMs();
    const abort = new AbortController();
    this.triedIds.add(replica.id);
    this.runningCalls.set(replica.id, abort);
    this.startHedgeTimer();
    tracked.inFlight += 1;
    const outcome = await this.context.replicaClient
      .call(replica, this.options.request, {
        deadlineMs: Math.max(
          1,
          Math.min(
            this.options.callerDeadlineAtMs,
            this.options.deadlineAtMs,
            this.context.stop.lastAnswerAtMs,
          ) - startMs,
        ),
        signal: abort.signal,
      })
      .finally(() => {
        tracked.inFlight -= 1;
        this.runningCalls.delete(replica.id);
      });
    this.context.recordOutcome(tracked, outcome, this.context.nowMs() - startMs);
    if (!this.isFinished) this.handleOutcome(outcome);
  }

  private startHedgeTimer(): void {
    clearTimeout(this.hedgeTimer);
    if (!this.options.isIdempotent) return;
    this.hedgeTimer = setTimeout(() => this.sendNext(), this.options.hedgeDelayMs);
  }

  private handleOutcome(outcome: replicas.CallOutcome): void {
    if (outcome.status !== replicas.CallStatus.Answered) {
      if (outcome.status === replicas.CallStatus.Broken) this.mayHaveRun = true;
      if (this.isRetryable(outcome.status)) this.sendNext();
      else this.giveUp();
      return;
    }
    const { answer } = outcome;
    if (answer.status < MINIMUM_SERVER_ERROR_STATUS) {
      this.complete({ kind: 'answer', answer });
      return;
    }
    if (answer.status === INTERNAL_SERVER_ERROR_STATUS) this.failedAnswers += 1;
    this.mayHaveRun = true;
    this.lastAnswer = answer;
    if (this.options.isIdempotent) this.sendNext();
    else this.giveUp();
  }

  private isRetryable(status: replicas.CallStatus): boolean {
    return replicas.isNotRun(status) || this.options.isIdempotent;
  }

  private giveUp(): void {
    const answer = this.lastAnswer;
    // The request ran: an answer with a refusal status would tell the caller that it did not.
    if (answer && !REFUSAL_STATUSES.has(answer.status)) this.complete({ kind: 'answer', answer });
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

  private complete(reply: exchanges.Reply): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.hedgeTimer);
    clearTimeout(this.deadlineTimer);
    this.leaveStop?.();
    this.options.signal.removeEventListener('abort', this.onCallerDisconnected);
    this.runningCalls.forEach((abort) => abort.abort());
    const { failedAnswers } = this;
    this.resolve?.({ reply, attempts: this.triedIds.size, failedAnswers });
  }
}
