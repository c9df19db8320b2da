/**
 * One attempt of a caller at a streaming request: complete events are forwarded as they arrive.
 * Before the first byte of an answer the request may be sent to another replica if it certainly did
 * not run. Afterwards a stream that breaks off continues on another replica only if the route is
 * resumable, and only on a replica with the same software; the caller keeps the head of the first
 * replica's answer. While the gateway stops, no run begins that cannot end in time.
 */
import * as decisions from '@azureworks/decisions';
import type * as exchanges from '../types/exchange';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as replicaTrials from '../replicas/replica-trials';
import * as softwares from '../replicas/software';
import * as answerPolicies from './answer-policy';
import type * as callContexts from './call-context';
import * as plannedStops from './planned-stop';

/** Options of a streaming call. */
export interface StreamCallOptions {
  readonly request: replicas.ReplicaRequest;
  readonly isResumable: boolean;
  readonly maximumAttempts: number;
  readonly callerDeadlineAtMs: number;
  readonly deadlineAtMs: number;
  readonly afterEvent: number | undefined;
  /** The software that wrote the events up to `afterEvent`. */
  readonly software: string | undefined;
  /** Called with the first event of this call and the software that wrote it, if that is known. */
  readonly onBegun: (software: string) => void;
  /** Longest wait for an event of a resumable stream. */
  readonly idleTimeoutMs: number;
  readonly signal: AbortSignal;
}

/** The reply to the caller and the number of replicas tried. */
export interface StreamCallResult {
  readonly reply: exchanges.Reply | { readonly kind: 'streamed'; readonly isWhole: boolean };
  readonly attempts: number;
}

const OK_STATUS = 200;

/** Runs one stream. */
export class StreamCall implements replicas.StreamReceiver {
  private readonly triedIds = new Set<string>();

  private lastEvent: number | undefined;

  private software: string | undefined;

  private hasEvents = false;

  /** Aborts the run on the current replica. */
  private runAbort = new AbortController();

  /** Why the events of the current replica do not continue the stream. */
  private sequenceFault: string | undefined;

  private currentSoftware: string | undefined;

  /** Events received from the current replica. */
  private runEvents = 0;

  /** Called once when the current replica has sent enough events. */
  private onProgress: () => void = () => {};

  private hasSentHead = false;

  private isForwarding = false;

  private begunAtMs: number | undefined;

  private isLastMoment = false;

  private constructor(
    private readonly context: callContexts.CallContext,
    private readonly options: StreamCallOptions,
    private readonly reply: exchanges.ReplyStream,
  ) {
    this.lastEvent = options.afterEvent;
    this.software = options.software;
  }

  static create(
    context: callContexts.CallContext,
    options: StreamCallOptions,
    reply: exchanges.ReplyStream,
  ): StreamCall {
    return new StreamCall(context, options, reply);
  }

  async run(): Promise<StreamCallResult> {
    const leaveStop = this.context.stop.onLastMoment(() => {
      this.isLastMoment = true;
      this.runAbort.abort();
    });
    try {
      return await this.runOnReplicas();
    } finally {
      leaveStop();
    }
  }

  private async runOnReplicas(): Promise<StreamCallResult> {
    let mayHaveRun = false;
    while (this.triedIds.size < Math.max(1, this.options.maximumAttempts)) {
      const tracked = this.mayContinue() ? await this.chooseReplica() : undefined;
      if (!tracked || !this.mayContinue()) break;
      const outcome = await this.send(tracked);
      const isAnswered = outcome.status === replicas.CallStatus.Answered;
      if (isAnswered && answerPolicies.mayPassOn(outcome.answer)) {
        return this.handleAnswer(outcome.answer);
      }
      const isNotRun = replicas.isNotRun(outcome.status);
      mayHaveRun ||= !isNotRun;
      if (!isNotRun && !this.options.isResumable) break;
    }
    if (this.hasSentHead) return this.createResult({ kind: 'streamed', isWhole: false });
    return this.createResult({ kind: 'failure', failure: this.createFailure(mayHaveRun) });
  }

  begin(head: replicas.StreamHead): void {
    this.isForwarding = head.status === OK_STATUS && answerPolicies.mayPassOn(head);
    if (!this.isForwarding || this.hasSentHead) return;
    this.hasSentHead = true;
    this.reply.begin(head);
  }

  receive(event: replicas.StreamEvent): void {
    if (!this.isForwarding || this.options.signal.aborted || this.sequenceFault) return;
    if (this.lastEvent !== undefined && event.id !== this.lastEvent + 1) {
      this.sequenceFault = `event ${event.id} came after event ${this.lastEvent}`;
      this.runAbort.abort();
      return;
    }
    if (!this.hasEvents) this.recordBeginning();
    this.lastEvent = event.id;
    this.runEvents += 1;
    if (this.runEvents === replicaTrials.EVENTS_OF_PROGRESS) this.onProgress();
    this.reply.receive(event.raw);
  }

  private recordBeginning(): void {
    this.hasEvents = true;
    if (this.lastEvent === undefined) this.software = this.currentSoftware;
    if (this.software !== undefined) this.options.onBegun(this.software);
  }

  private async chooseReplica(): Promise<directories.TrackedReplica | undefined> {
    if (this.lastEvent === undefined) return this.context.chooseReplica(this.triedIds);
    if (this.software === undefined) return undefined;
    return this.context.chooseReplica(this.triedIds, this.software);
  }

  private async send(tracked: directories.TrackedReplica): Promise<replicas.StreamOutcome> {
    const { request, callerDeadlineAtMs, deadlineAtMs, isResumable, idleTimeoutMs, signal } =
      this.options;
    const startMs = this.context.nowMs();
    const { lastAnswerAtMs } = this.context.stop;
    const endMs = Math.min(callerDeadlineAtMs, deadlineAtMs, lastAnswerAtMs);
    const remainingMs = Math.max(1, endMs - startMs);
    this.begunAtMs ??= startMs;
    // No other replica can continue a stream that is not resumable, so it may pause until its
    // deadline.
    const eventTimeoutMs = isResumable ? idleTimeoutMs : remainingMs;
    this.triedIds.add(tracked.replica.id);
    this.currentSoftware = softwares.identifySoftware(tracked.replica);
    this.runAbort = new AbortController();
    this.sequenceFault = undefined;
    this.runEvents = 0;
    this.onProgress = () => this.context.recordProgress?.(tracked, startMs);
    tracked.inFlight += 1;
    const received = await this.context.replicaClient
      .stream(
        tracked.replica,
        request,
        {
          deadlineMs: remainingMs,
          signal: AbortSignal.any([signal, this.runAbort.signal]),
          afterEvent: this.lastEvent,
          priority: replicas.DEFAULT_STREAM_PRIORITY,
          firstEventTimeoutMs: eventTimeoutMs,
          idleTimeoutMs: eventTimeoutMs,
        },
        this,
      )
      .finally(() => {
        tracked.inFlight -= 1;
      });
    const outcome = this.checkSequence(received);
    this.context.recordOutcome(tracked, outcome, this.context.nowMs() - startMs);
    return outcome;
  }

  private checkSequence(outcome: replicas.StreamOutcome): replicas.StreamOutcome {
    if (!this.sequenceFault) return outcome;
    return { status: replicas.CallStatus.Broken, reason: this.sequenceFault };
  }

  private handleAnswer(answer: replicas.ReplicaAnswer): StreamCallResult {
    if (answer.status === OK_STATUS) return this.createResult({ kind: 'streamed', isWhole: true });
    // After the head was sent, a failure cannot be reported to the caller any more.
    if (this.hasSentHead) return this.createResult({ kind: 'streamed', isWhole: false });
    return this.createResult({ kind: 'answer', answer });
  }

  private isExpired(): boolean {
    return this.options.signal.aborted || this.context.nowMs() >= this.options.deadlineAtMs;
  }

  /** Whether the stream may be sent to a replica, or to another one, now. */
  private mayContinue(): boolean {
    const elapsedMs =
      this.hasSentHead && this.begunAtMs !== undefined
        ? this.context.nowMs() - this.begunAtMs
        : undefined;
    return !this.isExpired() && !this.isLastMoment && this.context.stop.mayPassOn(elapsedMs);
  }

  private createFailure(mayHaveRun: boolean): decisions.Failure {
    const verdict = mayHaveRun ? decisions.VerdictKind.MayHaveRun : decisions.VerdictKind.NotRun;
    if (this.isExpired()) return decisions.createFailure('deadline-exceeded', { verdict });
    if (mayHaveRun && this.isLastMoment) return decisions.createFailure('outcome-unknown');
    if (mayHaveRun) return decisions.createFailure('target-failed');
    if (this.isLastMoment) return plannedStops.createStopRefusal();
    return this.context.createRefusal();
  }

  private createResult(reply: StreamCallResult['reply']): StreamCallResult {
    return { reply, attempts: this.triedIds.size };
  }
}
