/**
 * A call: one request, attempted until it is answered or must be refused.
 *
 * Only attempts whose verdict allows it are repeated. A broken stream goes on at another target
 * from the last whole event. An attempt at a non-idempotent request whose answer was lost is
 * settled with the target daemon before anything else is tried.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as runtime from '@azureworks/runtime';
import * as attempts from './attempt';
import type * as directories from './directory';
import type * as requests from './request';
import type * as settlements from './settlement';
import * as joiners from './stream-joiner';

/** What every call of an entry shares. */
export interface CallContext {
  readonly directory: directories.Directory;
  readonly metrics: runtime.Metrics;
  readonly clock: decisions.Clock;
  readonly retryBudget: decisions.RetryBudget;
  readonly settler: settlements.Settler;
  /** The name and incarnation of the entry, the first part of every attempt id. */
  readonly entryId: string;
}

/** Asked before every attempt; records where the request is about to be dispatched. */
export type Permit = (
  place: settlements.AttemptPlace,
) => Promise<neverthrow.Result<void, decisions.Failure>>;

/** The result of a call. */
export type CallResult = neverthrow.Result<requests.Answer, decisions.Failure>;

const NO_TARGET_WAIT_MS = 50;
const LONGEST_NO_TARGET_WAIT_MS = 3000;
const RETRY_AFTER_MS = 1000;
const SETTLE_WAIT_MS = 2000;
const LARGEST_RESUMABLE_BYTES = 4 * 1024 * 1024;
const ATTEMPT_NUMBER_RADIX = 36;

let attemptNumber = 0;

/** One request on its way. */
export class Call implements directories.InFlightCall {
  private readonly excluded = new Set<string>();

  private readonly verdicts: decisions.VerdictKind[] = [];

  private resume: joiners.ResumePoint | undefined;

  private attempt: attempts.Attempt | undefined;

  private isAborted = false;

  private isMoving = false;

  private firstSeen: { readonly atMs: number; readonly size: number } | undefined;

  private attemptStartSize = 0;

  private constructor(
    private readonly context: CallContext,
    private readonly request: requests.Request,
    private readonly sink: requests.Sink | undefined,
    private readonly permit: Permit | undefined,
    readonly joiner: joiners.StreamJoiner,
  ) {}

  /**
   * @param sink where a streamed answer goes as it arrives; without one it is only collected
   * @param permit asked before every attempt
   */
  static create(
    context: CallContext,
    request: requests.Request,
    sink?: requests.Sink,
    permit?: Permit,
  ): Call {
    return new Call(context, request, sink, permit, joiners.StreamJoiner.create());
  }

  /** Gives the call up; `run` resolves soon afterwards. */
  abort(): void {
    this.isAborted = true;
    this.attempt?.abort();
  }

  /** Moves the call to another target, which goes on where this one stands. */
  move(): void {
    this.isMoving = true;
    this.attempt?.abort();
  }

  /** An idempotent request does not wait for a silent target; any other has to. */
  noteSilence(): void {
    if (this.request.isIdempotent) this.attempt?.abort();
  }

  /**
   * How fast the current attempt produces its answer, since it was first seen to produce anything:
   * waiting in a queue says nothing about the speed of a target. Undefined before that.
   */
  getProgress(): { readonly runningMs: number; readonly produced: number } | undefined {
    const { size } = this.joiner;
    if (!this.attempt || size === this.attemptStartSize) return undefined;
    const nowMs = this.context.clock.nowMs();
    this.firstSeen ??= { atMs: nowMs, size };
    const { firstSeen } = this;
    return { runningMs: nowMs - firstSeen.atMs, produced: size - firstSeen.size };
  }

  /** Runs the call. */
  async run(): Promise<CallResult> {
    this.context.retryBudget.deposit();
    while (true) {
      const result = await this.runOnce();
      if (result) return result;
    }
  }

  /** Makes one attempt; undefined means that another one is due. */
  private async runOnce(): Promise<CallResult | undefined> {
    const target = await this.findTarget();
    if (target.isErr()) return neverthrow.err(target.error);
    const place = this.createPlace(target.value);
    const permitted = this.permit ? await this.permit(place) : neverthrow.ok(undefined);
    if (permitted.isErr()) return neverthrow.err(this.combine(permitted.error));
    const outcome = await this.makeAttempt(target.value, place);
    if (outcome.kind === 'answered') return neverthrow.ok(outcome.answer);
    return this.handleFailure(outcome.failure, target.value, place);
  }

  private async findTarget(): Promise<
    neverthrow.Result<directories.DirectoryTarget, decisions.Failure>
  > {
    const { clock, directory } = this.context;
    const waitUntilMs = Math.min(
      this.request.deadlineMs,
      clock.nowMs() + LONGEST_NO_TARGET_WAIT_MS,
    );
    while (!this.isAborted) {
      const nowMs = clock.nowMs();
      if (nowMs >= this.request.deadlineMs) return this.refuse('deadline-exceeded');
      const target = this.chooseTarget(directory);
      if (target) return neverthrow.ok(target);
      if (nowMs >= waitUntilMs) return this.refuse('no-target');
      this.excluded.clear();
      await runtime.pause(NO_TARGET_WAIT_MS);
    }
    return this.refuse('no-target');
  }

  private chooseTarget(directory: directories.Directory): directories.DirectoryTarget | undefined {
    const { service, affinityHash, model } = this.request;
    const placement = affinityHash === undefined ? {} : { affinityHash };
    return directory.choose({ service, placement, excluded: this.excluded, model });
  }

  private createPlace(target: directories.DirectoryTarget): settlements.AttemptPlace {
    attemptNumber += 1;
    const number = attemptNumber.toString(ATTEMPT_NUMBER_RADIX);
    const { hello } = target;
    return {
      attempt: `${this.context.entryId}-${number}`,
      url: this.context.directory.createUrl(hello),
      incarnation: hello.incarnation,
    };
  }

  private async makeAttempt(
    target: directories.DirectoryTarget,
    place: settlements.AttemptPlace,
  ): Promise<attempts.AttemptOutcome> {
    const { clock } = this.context;
    const startMs = clock.nowMs();
    this.firstSeen = undefined;
    this.attemptStartSize = this.joiner.size;
    target.candidate.inFlight += 1;
    target.health.noteStart();
    this.attempt = attempts.Attempt.create({
      id: place.attempt,
      request: this.request,
      target,
      remainingMs: this.request.deadlineMs - startMs,
      joiner: this.joiner,
      noteLoad: (load) => this.context.directory.noteAnswerLoad(target, load),
      ...(this.resume && { resume: this.resume }),
      ...(this.sink && { sink: this.sink }),
    });
    target.calls.add(this);
    const outcome = await this.attempt.run();
    target.calls.delete(this);
    this.attempt = undefined;
    target.candidate.inFlight -= 1;
    this.noteOutcome(target, outcome, clock.nowMs() - startMs);
    return outcome;
  }

  private noteOutcome(
    target: directories.DirectoryTarget,
    outcome: attempts.AttemptOutcome,
    durationMs: number,
  ): void {
    this.context.directory.observeAttempt(this.request.service, {
      target: target.hello.name,
      durationMs,
      bytes: this.joiner.size - this.attemptStartSize,
      isAnswered: outcome.kind === 'answered',
    });
    if (outcome.kind === 'answered') {
      target.health.noteSuccess();
      return;
    }
    const { code } = outcome.failure;
    this.context.metrics.count('attempts_failed', { service: this.request.service, code });
    const isInconclusive = this.isAborted || this.isMoving || code !== 'target-failed';
    if (isInconclusive) target.health.noteInconclusive();
    else target.health.noteFailure(this.context.clock.nowMs());
  }

  private async handleFailure(
    failure: decisions.Failure,
    target: directories.DirectoryTarget,
    place: settlements.AttemptPlace,
  ): Promise<CallResult | undefined> {
    let { verdict } = failure;
    if (this.isAborted) return neverthrow.err(this.combine(failure));
    if (verdict === decisions.VerdictKind.MayHaveRun && !this.request.isIdempotent) {
      const settlement = await this.settle(place);
      if (settlement.kind === 'ran') return neverthrow.ok(settlement.answer);
      if (settlement.kind === 'not-run') verdict = decisions.VerdictKind.NotRun;
    }
    this.verdicts.push(verdict);
    this.excluded.add(target.hello.name);
    if (!this.mayRetry(verdict, failure)) {
      return neverthrow.err(this.combine({ ...failure, verdict }));
    }
    this.context.metrics.count('retries', { service: this.request.service, verdict });
    if (this.request.isStreamed) this.resume = this.joiner.breakOff();
    return undefined;
  }

  private settle(place: settlements.AttemptPlace): Promise<settlements.Settlement> {
    const remainingMs = this.request.deadlineMs - this.context.clock.nowMs();
    return this.context.settler.settle(place, Math.max(0, Math.min(SETTLE_WAIT_MS, remainingMs)));
  }

  private mayRetry(verdict: decisions.VerdictKind, failure: decisions.Failure): boolean {
    if (!decisions.isRetryable(verdict, this.request.isIdempotent)) return false;
    if (failure.code === 'deadline-exceeded') return false;
    if (this.joiner.size > LARGEST_RESUMABLE_BYTES) return false;
    if (this.isMoving) {
      this.isMoving = false;
      return true;
    }
    // A target that leaves gives its queue back; moving that work is no sign of trouble.
    if (failure.code === 'draining' || failure.code === 'target-replaced') return true;
    return this.context.retryBudget.withdraw();
  }

  private refuse(code: decisions.ErrorCode): neverthrow.Err<never, decisions.Failure> {
    return neverthrow.err(
      this.combine(decisions.createFailure(code, { retryAfterMs: RETRY_AFTER_MS })),
    );
  }

  /** The failure told to the caller, with the verdict over all attempts. */
  private combine(failure: decisions.Failure): decisions.Failure {
    const verdict = decisions.combineVerdicts([...this.verdicts, failure.verdict]);
    return { ...failure, verdict };
  }
}
