/**
 * A call: one request, attempted until it is answered or has to fail.
 *
 * An attempt is retried only if its verdict allows that. A stream that breaks off is resumed at
 * another target with the same software version after the last complete event. When there is none, a
 * stream that was not sent to its caller yet begins anew. When the answer of an attempt at a non-idempotent
 * request is lost, the call first asks the target daemon for the outcome of that attempt.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as runtime from '@azureworks/runtime';
import * as attempts from './attempt';
import type * as directories from './target-directory';
import * as plannedStops from './planned-stop';
import type * as requests from './request';
import type * as settlements from './settlement';
import * as joiners from './stream-joiner';

/** Dependencies that all calls of an entry share. */
export interface CallContext {
  readonly directory: directories.TargetDirectory;
  readonly metrics: runtime.Metrics;
  readonly clock: decisions.Clock;
  readonly retryBudget: decisions.RetryBudget;
  readonly settler: settlements.Settler;
  readonly stop: plannedStops.PlannedStop;
  /** The name and incarnation of the entry; the prefix of every attempt id. */
  readonly entryId: string;
}

/** Permits or refuses an attempt before it is made, and records where it will be dispatched. */
export type Permit = (
  place: settlements.AttemptPlace,
) => Promise<neverthrow.Result<void, decisions.Failure>>;

/** The result of a call. */
export type CallResult = neverthrow.Result<requests.Answer, decisions.Failure>;

const NO_TARGET_POLL_INTERVAL_MS = 50;
const MAXIMUM_NO_TARGET_WAIT_MS = 3000;
const RETRY_AFTER_MS = 1000;
const MAXIMUM_SETTLE_WAIT_MS = 2000;
const MAXIMUM_RESUMABLE_BYTES = 4 * 1024 * 1024;
const ATTEMPT_NUMBER_RADIX = 36;

let lastAttemptNumber = 0;

/** One request in flight. */
export class Call implements directories.InFlightCall {
  private readonly excludedTargets = new Set<string>();

  private readonly verdicts: decisions.VerdictKind[] = [];

  private resume: joiners.ResumePoint | undefined;

  /** The target at which the answer so far began. */
  private begunBy: directories.TrackedTarget['hello'] | undefined;

  private attempt: attempts.Attempt | undefined;

  private isAborted = false;

  private isMoving = false;

  private firstOutput: { readonly atMs: number; readonly size: number } | undefined;

  private sizeAtAttemptStart = 0;

  private constructor(
    private readonly context: CallContext,
    private readonly request: requests.Request,
    private readonly sink: requests.Sink | undefined,
    private readonly permit: Permit | undefined,
    readonly joiner: joiners.StreamJoiner,
  ) {}

  /**
   * @param sink receives a streamed answer as it arrives; without one it is only collected
   * @param permit called before every attempt
   */
  static create(
    context: CallContext,
    request: requests.Request,
    sink?: requests.Sink,
    permit?: Permit,
  ): Call {
    return new Call(context, request, sink, permit, joiners.StreamJoiner.create());
  }

  /** Aborts the call; `run` resolves soon afterwards. */
  abort(): void {
    this.isAborted = true;
    this.attempt?.abort();
  }

  /** Moves the call to another target, which resumes the answer where this one stopped. */
  move(): void {
    this.isMoving = true;
    this.attempt?.abort();
  }

  /**
   * Abandons a silent target if the request is idempotent; any other request may have run there.
   */
  onTargetSilent(): void {
    if (this.request.isIdempotent) this.attempt?.abort();
  }

  /**
   * The output of the current attempt and how long it took. Both are measured from the first time
   * that this method sees output, since earlier time may be queueing and says nothing about the
   * speed of the target. Undefined before there is output.
   */
  getProgress(): { readonly runningMs: number; readonly produced: number } | undefined {
    const { size } = this.joiner;
    if (!this.attempt || size === this.sizeAtAttemptStart) return undefined;
    const nowMs = this.context.clock.nowMs();
    this.firstOutput ??= { atMs: nowMs, size };
    const { firstOutput } = this;
    return { runningMs: nowMs - firstOutput.atMs, produced: size - firstOutput.size };
  }

  /** Makes attempts until the call succeeds or fails. */
  async run(): Promise<CallResult> {
    this.context.retryBudget.deposit();
    const leaveStop = this.context.stop.onLastMoment(() => this.abort());
    try {
      return await this.runUntilDone();
    } finally {
      leaveStop();
    }
  }

  private async runUntilDone(): Promise<CallResult> {
    while (true) {
      const result = await this.runOnce();
      if (result) return result;
    }
  }

  /** Makes one attempt; returns undefined when the call has to be retried. */
  private async runOnce(): Promise<CallResult | undefined> {
    const target = await this.findTarget();
    if (target.isErr()) return neverthrow.err(target.error);
    const place = this.createPlace(target.value);
    const permitted = this.permit ? await this.permit(place) : neverthrow.ok(undefined);
    if (permitted.isErr()) return neverthrow.err(this.combine(permitted.error));
    if (!this.mayAttempt()) return this.endForStop();
    const outcome = await this.makeAttempt(target.value, place);
    if (outcome.kind === 'answered') return neverthrow.ok(outcome.answer);
    return this.handleFailure(outcome.failure, target.value, place);
  }

  private async findTarget(): Promise<
    neverthrow.Result<directories.TrackedTarget, decisions.Failure>
  > {
    const { clock, directory } = this.context;
    const waitUntilMs = Math.min(
      this.request.deadlineMs,
      clock.nowMs() + MAXIMUM_NO_TARGET_WAIT_MS,
    );
    while (!this.isAborted) {
      if (!this.mayAttempt()) return this.endForStop();
      const nowMs = clock.nowMs();
      if (nowMs >= this.request.deadlineMs) return this.refuse('deadline-exceeded');
      this.beginAnewIfStranded();
      const target = this.chooseTarget(directory);
      if (target) return neverthrow.ok(target);
      if (nowMs >= waitUntilMs) return this.refuse('no-target');
      this.excludedTargets.clear();
      await runtime.pause(NO_TARGET_POLL_INTERVAL_MS);
    }
    return this.context.stop.hasBegun ? this.endForStop() : this.refuse('no-target');
  }

  /** Whether an attempt may begin, with regard to a stop of the entry. */
  private mayAttempt(): boolean {
    const { service, deadlineMs } = this.request;
    return this.context.stop.mayAttempt(service, deadlineMs);
  }

  /** Ends a call for which no further attempt may begin. */
  private endForStop(): neverthrow.Err<never, decisions.Failure> {
    const verdict = decisions.combineVerdicts(this.verdicts);
    if (verdict === decisions.VerdictKind.NotRun) {
      return neverthrow.err(plannedStops.createStopRefusal());
    }
    return neverthrow.err(decisions.createFailure('outcome-unknown', { verdict }));
  }

  /** Discards an answer that no target can go on with, unless a part of it was sent. */
  private beginAnewIfStranded(): void {
    const { begunBy, request, sink } = this;
    if (!begunBy || sink) return;
    if (this.context.directory.hasSameSoftware(begunBy, request.model)) return;
    this.joiner.discard();
    this.resume = undefined;
    this.begunBy = undefined;
  }

  private chooseTarget(
    directory: directories.TargetDirectory,
  ): directories.TrackedTarget | undefined {
    const { service, affinityHash, model } = this.request;
    const placement = affinityHash === undefined ? {} : { affinityHash };
    const { begunBy, excludedTargets: excluded } = this;
    return directory.choose({ service, placement, excluded, model, begunBy });
  }

  private createPlace(target: directories.TrackedTarget): settlements.AttemptPlace {
    lastAttemptNumber += 1;
    const number = lastAttemptNumber.toString(ATTEMPT_NUMBER_RADIX);
    const { hello } = target;
    return {
      attempt: `${this.context.entryId}-${number}`,
      url: this.context.directory.createUrl(hello),
      incarnation: hello.incarnation,
    };
  }

  private async makeAttempt(
    target: directories.TrackedTarget,
    place: settlements.AttemptPlace,
  ): Promise<attempts.AttemptOutcome> {
    const { clock } = this.context;
    const startMs = clock.nowMs();
    this.firstOutput = undefined;
    this.sizeAtAttemptStart = this.joiner.size;
    target.candidate.inFlight += 1;
    target.health.recordStart();
    this.attempt = attempts.Attempt.create({
      id: place.attempt,
      request: this.request,
      target,
      remainingMs: this.context.stop.limit(this.request.deadlineMs) - startMs,
      joiner: this.joiner,
      onLoad: (load) => this.context.directory.updateLoadFromAnswer(target, load),
      ...(this.resume && { resume: this.resume }),
      ...(this.sink && { sink: this.sink }),
    });
    target.calls.add(this);
    const outcome = await this.attempt.run();
    target.calls.delete(this);
    this.attempt = undefined;
    target.candidate.inFlight -= 1;
    this.recordOutcome(target, outcome, clock.nowMs() - startMs);
    return outcome;
  }

  private recordOutcome(
    target: directories.TrackedTarget,
    outcome: attempts.AttemptOutcome,
    durationMs: number,
  ): void {
    this.context.directory.recordAttempt(this.request.service, {
      target: target.hello.name,
      durationMs,
      bytes: this.joiner.size - this.sizeAtAttemptStart,
      isAnswered: outcome.kind === 'answered',
    });
    if (outcome.kind === 'answered') {
      target.health.recordSuccess();
      return;
    }
    const { code } = outcome.failure;
    this.context.metrics.count('attempts_failed', { service: this.request.service, code });
    const isInconclusive = this.isAborted || this.isMoving || code !== 'target-failed';
    if (isInconclusive) target.health.recordInconclusive();
    else target.health.recordFailure(this.context.clock.nowMs());
  }

  private async handleFailure(
    failure: decisions.Failure,
    target: directories.TrackedTarget,
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
    this.excludedTargets.add(target.hello.name);
    if (!this.mayRetry(verdict, failure)) {
      return neverthrow.err(this.combine({ ...failure, verdict }));
    }
    this.context.metrics.count('retries', { service: this.request.service, verdict });
    if (this.request.isStreamed) this.prepareResume(target);
    return undefined;
  }

  private prepareResume(target: directories.TrackedTarget): void {
    this.resume = this.joiner.prepareResume();
    if (this.resume) this.begunBy ??= target.hello;
  }

  private settle(place: settlements.AttemptPlace): Promise<settlements.Settlement> {
    const deadlineMs = this.context.stop.limit(this.request.deadlineMs);
    const remainingMs = deadlineMs - this.context.clock.nowMs();
    return this.context.settler.settle(
      place,
      Math.max(0, Math.min(MAXIMUM_SETTLE_WAIT_MS, remainingMs)),
    );
  }

  private mayRetry(verdict: decisions.VerdictKind, failure: decisions.Failure): boolean {
    if (!decisions.isRetryable(verdict, this.request.isIdempotent)) return false;
    if (failure.code === 'deadline-exceeded') return false;
    if (this.joiner.size > MAXIMUM_RESUMABLE_BYTES) return false;
    if (this.isMoving) {
      this.isMoving = false;
      return true;
    }
    // Requests that a leaving target returned don't use the retry budget: they are no sign of a
    // fault.
    if (failure.code === 'draining' || failure.code === 'target-replaced') return true;
    return this.context.retryBudget.withdraw();
  }

  private refuse(code: decisions.ErrorCode): neverthrow.Err<never, decisions.Failure> {
    return neverthrow.err(
      this.combine(decisions.createFailure(code, { retryAfterMs: RETRY_AFTER_MS })),
    );
  }

  /** The failure for the caller, with the combined verdict of all attempts. */
  private combine(failure: decisions.Failure): decisions.Failure {
    const verdict = decisions.combineVerdicts([...this.verdicts, failure.verdict]);
    return { ...failure, verdict };
  }
}
