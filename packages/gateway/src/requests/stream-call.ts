/**
 * One attempt of a caller at a streaming request: whole events are passed on as they come. Before
 * the first byte of an answer the request may go to another replica if it certainly did not run.
 * Afterwards a stream that breaks off goes on at another replica only where the route allows to
 * resume; the caller keeps the head of the first replica's answer.
 */
import * as decisions from '@azureworks/decisions';
import type * as exchanges from '../types/exchange';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as callParts from './call-context';

/** The terms of a stream. */
export interface StreamCallTerms {
  readonly request: replicas.ReplicaRequest;
  readonly isResumable: boolean;
  readonly mostAttempts: number;
  readonly callerEndMs: number;
  readonly endMs: number;
  readonly afterEvent: number | undefined;
  /** How long a replica of a resumable stream may be silent, in milliseconds. */
  readonly silenceMs: number;
  readonly signal: AbortSignal;
}

/** How a stream ended. */
export interface StreamCallEnd {
  readonly reply: exchanges.Reply | { readonly kind: 'streamed'; readonly isWhole: boolean };
  readonly attempts: number;
}

const OK = 200;

/** Runs one stream. */
export class StreamCall implements replicas.StreamReceiver {
  private readonly tried = new Set<string>();

  private lastEvent: number | undefined;

  private hasBegun = false;

  private isPassing = false;

  private constructor(
    private readonly parts: callParts.CallParts,
    private readonly terms: StreamCallTerms,
    private readonly reply: exchanges.ReplyStream,
  ) {
    this.lastEvent = terms.afterEvent;
  }

  static create(
    parts: callParts.CallParts,
    terms: StreamCallTerms,
    reply: exchanges.ReplyStream,
  ): StreamCall {
    return new StreamCall(parts, terms, reply);
  }

  async run(): Promise<StreamCallEnd> {
    let mayHaveRun = false;
    while (this.tried.size < Math.max(1, this.terms.mostAttempts)) {
      const known = this.isOver() ? undefined : this.parts.choose(this.tried);
      if (!known) break;
      const outcome = await this.send(known);
      if (outcome.status === replicas.CallStatus.Answered) return this.conclude(outcome.answer);
      const isNotRun = replicas.isNotRun(outcome.status);
      mayHaveRun ||= !isNotRun;
      if (!isNotRun && !this.terms.isResumable) break;
    }
    if (this.hasBegun) return this.end({ kind: 'streamed', isWhole: false });
    return this.end({ kind: 'failure', failure: this.createFailure(mayHaveRun) });
  }

  begin(head: replicas.StreamHead): void {
    this.isPassing = head.status === OK;
    if (!this.isPassing || this.hasBegun) return;
    this.hasBegun = true;
    this.reply.begin(head);
  }

  receive(event: replicas.StreamEvent): void {
    if (!this.isPassing || this.terms.signal.aborted) return;
    this.lastEvent = event.id;
    this.reply.receive(event.raw);
  }

  private async send(known: directories.KnownReplica): Promise<replicas.StreamOutcome> {
    const { request, callerEndMs, endMs, isResumable, silenceMs, signal } = this.terms;
    const startMs = this.parts.nowMs();
    const leftMs = Math.max(1, Math.min(callerEndMs, endMs) - startMs);
    // The silence of a replica that cannot be replaced is no reason to end its answer.
    const patienceMs = isResumable ? silenceMs : leftMs;
    this.tried.add(known.replica.id);
    known.inFlight += 1;
    const outcome = await this.parts.caller.stream(
      known.replica,
      request,
      {
        deadlineMs: leftMs,
        signal,
        afterEvent: this.lastEvent,
        priority: replicas.ORDINARY_PRIORITY,
        firstEventMs: patienceMs,
        silenceMs: patienceMs,
      },
      this,
    );
    known.inFlight -= 1;
    this.parts.note(known, outcome, this.parts.nowMs() - startMs);
    return outcome;
  }

  private conclude(answer: replicas.ReplicaAnswer): StreamCallEnd {
    if (answer.status === OK) return this.end({ kind: 'streamed', isWhole: true });
    // A failure after the first event cannot be told any more.
    if (this.hasBegun) return this.end({ kind: 'streamed', isWhole: false });
    return this.end({ kind: 'answer', answer });
  }

  private isOver(): boolean {
    return this.terms.signal.aborted || this.parts.nowMs() >= this.terms.endMs;
  }

  private createFailure(mayHaveRun: boolean): decisions.Failure {
    const verdict = mayHaveRun ? decisions.VerdictKind.MayHaveRun : decisions.VerdictKind.NotRun;
    if (this.isOver()) return decisions.createFailure('deadline-exceeded', { verdict });
    if (mayHaveRun) return decisions.createFailure('target-failed');
    return decisions.createFailure('no-target', { retryAfterMs: callParts.REFUSAL_RETRY_MS });
  }

  private end(reply: StreamCallEnd['reply']): StreamCallEnd {
    return { reply, attempts: this.tried.size };
  }
}
