/**
 * One attempt of a caller at a plain request: it is sent to a replica, and to further ones when
 * that is allowed and useful, until one has answered or the time is up.
 *
 * A second replica is tried when the first said that the request did not run, when an idempotent
 * request's answer was lost or failed, and when an idempotent request has waited for so long that
 * its replica has probably gone silent; the first good answer then ends the other call.
 */
import * as decisions from '@azureworks/decisions';
import type * as exchanges from '../types/exchange';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as callParts from './call-context';

/** The terms of a call. */
export interface PlainCallTerms {
  readonly request: replicas.ReplicaRequest;
  readonly isIdempotent: boolean;
  readonly mostAttempts: number;
  /** When the caller's time is up, on the monotonic clock. */
  readonly callerEndMs: number;
  /** When the route's time is up. */
  readonly endMs: number;
  /** After how long without an answer another replica is tried. */
  readonly patienceMs: number;
  readonly signal: AbortSignal;
}

/** How a call ended. */
export interface PlainCallEnd {
  readonly reply: exchanges.Reply;
  /** Replicas to which the request was sent. */
  readonly attempts: number;
  /** Answers with a server error that replicas gave. */
  readonly failedAnswers: number;
}

const FIRST_SERVER_ERROR = 500;
const INTERNAL_ERROR = 500;
/** Statuses that promise that a request did not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Runs one plain request. */
export class PlainCall {
  private readonly tried = new Set<string>();

  private readonly running = new Map<string, AbortController>();

  private lastAnswer: replicas.ReplicaAnswer | undefined;

  private failedAnswers = 0;

  private mayHaveRun = false;

  private patience: NodeJS.Timeout | undefined;

  private end: NodeJS.Timeout | undefined;

  private finish: ((end: PlainCallEnd) => void) | undefined;

  private isFinished = false;

  private constructor(
    private readonly parts: callParts.CallParts,
    private readonly terms: PlainCallTerms,
  ) {}

  static create(parts: callParts.CallParts, terms: PlainCallTerms): PlainCall {
    return new PlainCall(parts, terms);
  }

  run(): Promise<PlainCallEnd> {
    return new Promise((resolve) => {
      this.finish = resolve;
      this.terms.signal.addEventListener('abort', this.leave, { once: true });
      const leftMs = Math.max(0, this.terms.endMs - this.parts.nowMs());
      this.end = setTimeout(() => this.fail('deadline-exceeded'), leftMs);
      this.sendNext();
    });
  }

  private readonly leave = (): void => this.fail('deadline-exceeded');

  private sendNext(): void {
    if (this.isFinished) return;
    const known =
      this.tried.size < this.terms.mostAttempts ? this.parts.choose(this.tried) : undefined;
    if (known) this.send(known);
    else if (this.running.size === 0) this.giveUp();
  }

  private async send(known: directories.KnownReplica): Promise<void> {
    const { replica } = known;
    const startMs = this.parts.nowMs();
    const abort = new AbortController();
    this.tried.add(replica.id);
    this.running.set(replica.id, abort);
    this.armPatience();
    known.inFlight += 1;
    const outcome = await this.parts.caller.call(replica, this.terms.request, {
      deadlineMs: Math.max(1, Math.min(this.terms.callerEndMs, this.terms.endMs) - startMs),
      signal: abort.signal,
    });
    known.inFlight -= 1;
    this.running.delete(replica.id);
    this.parts.note(known, outcome, this.parts.nowMs() - startMs);
    if (!this.isFinished) this.take(outcome);
  }

  private armPatience(): void {
    clearTimeout(this.patience);
    if (!this.terms.isIdempotent) return;
    this.patience = setTimeout(() => this.sendNext(), this.terms.patienceMs);
  }

  private take(outcome: replicas.CallOutcome): void {
    if (outcome.status !== replicas.CallStatus.Answered) {
      if (outcome.status === replicas.CallStatus.Broken) this.mayHaveRun = true;
      if (this.isRetryable(outcome.status)) this.sendNext();
      else this.giveUp();
      return;
    }
    const { answer } = outcome;
    if (answer.status < FIRST_SERVER_ERROR) {
      this.conclude({ kind: 'answer', answer });
      return;
    }
    if (answer.status === INTERNAL_ERROR) this.failedAnswers += 1;
    this.mayHaveRun = true;
    this.lastAnswer = answer;
    if (this.terms.isIdempotent) this.sendNext();
    else this.giveUp();
  }

  private isRetryable(status: replicas.CallStatus): boolean {
    return replicas.isNotRun(status) || this.terms.isIdempotent;
  }

  private giveUp(): void {
    const answer = this.lastAnswer;
    // A refusal status promises that the request did not run, so an answer with one is replaced.
    if (answer && !REFUSAL_STATUSES.has(answer.status)) this.conclude({ kind: 'answer', answer });
    else if (this.mayHaveRun) this.fail('target-failed');
    else this.fail('no-target');
  }

  private fail(code: decisions.ErrorCode): void {
    const verdict =
      this.mayHaveRun || this.running.size > 0
        ? decisions.VerdictKind.MayHaveRun
        : decisions.VerdictKind.NotRun;
    const isRefusal = code === 'no-target';
    const failure = decisions.createFailure(code, {
      verdict,
      ...(isRefusal ? { retryAfterMs: callParts.REFUSAL_RETRY_MS } : {}),
    });
    this.conclude({ kind: 'failure', failure });
  }

  private conclude(reply: exchanges.Reply): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.patience);
    clearTimeout(this.end);
    this.terms.signal.removeEventListener('abort', this.leave);
    this.running.forEach((abort) => abort.abort());
    const { failedAnswers } = this;
    this.finish?.({ reply, attempts: this.tried.size, failedAnswers });
  }
}
