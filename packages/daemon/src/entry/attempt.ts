/**
 * One attempt at a request: forwards it to a target daemon and collects the outcome.
 */
import * as decisions from '@azureworks/decisions';
import type * as forwardedRequests from '../core/forwarded-request';
import * as headers from '../types/headers';
import type * as directories from './target-directory';
import type * as requests from './request';
import type * as joiners from './stream-joiner';

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: requests.Answer }
  | { readonly kind: 'failed'; readonly failure: decisions.Failure };

/** Options of an attempt. */
export interface AttemptOptions {
  readonly id: string;
  readonly request: requests.Request;
  readonly target: directories.TrackedTarget;
  /** Milliseconds until the deadline of the request. */
  readonly remainingMs: number;
  /** Where to resume a stream that broke off. */
  readonly resume?: joiners.ResumePoint;
  readonly joiner: joiners.StreamJoiner;
  readonly sink?: requests.Sink;
  /** Called with the load header of the answer. */
  onLoad(load: string): void;
}

const MINIMUM_ERROR_STATUS = 400;
/** Limits of an answer that is buffered; a target that exceeds them sends bytes without end. */
const MAXIMUM_BUFFERED_BYTES = 4 * 1024 * 1024;
const MAXIMUM_BUFFERED_PIECES = 65_536;

/** One attempt at one target. */
export class Attempt implements forwardedRequests.ResponseHandler {
  private forwarded: forwardedRequests.ForwardedRequest | undefined;

  private resolve: (outcome: AttemptOutcome) => void = () => {};

  private status = 0;

  private responseHeaders: forwardedRequests.ResponseHeaders = {};

  private readonly chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: AttemptOptions) {}

  static create(options: AttemptOptions): Attempt {
    return new Attempt(options);
  }

  /** Runs the attempt; always resolves. */
  run(): Promise<AttemptOutcome> {
    const { target, remainingMs } = this.options;
    const promise = new Promise<AttemptOutcome>((resolve) => {
      this.resolve = resolve;
    });
    this.timer = setTimeout(() => this.onTimeout(), remainingMs);
    this.options.sink?.onDrain(() => this.forwarded?.resume());
    this.forwarded = target.forwarder.send(this.createRequest(), this);
    return promise;
  }

  /** Aborts the attempt; `run` resolves with a failure. */
  abort(): void {
    this.forwarded?.abort();
    this.completeWithFailure(decisions.createFailure('target-failed', { detail: 'aborted' }));
  }

  head(status: number, responseHeaders: forwardedRequests.ResponseHeaders): void {
    this.status = status;
    this.responseHeaders = responseHeaders;
    const load = responseHeaders[headers.Header.Load];
    if (typeof load === 'string') this.options.onLoad(load);
    if (this.isStreaming()) this.options.sink?.head();
  }

  data(chunk: Buffer): boolean {
    if (!this.isStreaming()) {
      this.buffer(chunk);
      return true;
    }
    const events = this.options.joiner.push(chunk);
    if (this.options.joiner.isOversized) this.abandon();
    if (!events || !this.options.sink) return true;
    return this.options.sink.write(events);
  }

  end(): void {
    if (!this.isStreaming()) {
      this.completeBuffered(Buffer.concat(this.chunks));
      return;
    }
    if (!this.options.joiner.isComplete()) {
      this.fail(true, new Error('the answer ended before its final event'));
      return;
    }
    const contentType = String(this.responseHeaders['content-type'] ?? '');
    const answer = { status: this.status, contentType, body: Buffer.alloc(0), isStreamed: true };
    this.complete({ kind: 'answered', answer });
  }

  fail(wasSent: boolean, error: Error): void {
    const verdict = wasSent ? decisions.VerdictKind.MayHaveRun : decisions.VerdictKind.NotRun;
    const detail = { detail: error.message, verdict };
    this.completeWithFailure(decisions.createFailure('target-failed', detail));
  }

  private buffer(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const isOversized =
      this.bufferedBytes > MAXIMUM_BUFFERED_BYTES || this.chunks.length > MAXIMUM_BUFFERED_PIECES;
    if (isOversized) this.abandon();
  }

  /** Closes the connection of an answer that exceeds a limit; the request may have run. */
  private abandon(): void {
    this.forwarded?.abort();
    const verdict = decisions.VerdictKind.MayHaveRun;
    const detail = 'the answer exceeds the size limit';
    this.completeWithFailure(decisions.createFailure('target-failed', { verdict, detail }));
  }

  private onTimeout(): void {
    this.forwarded?.abort();
    const verdict = decisions.VerdictKind.MayHaveRun;
    this.completeWithFailure(decisions.createFailure('deadline-exceeded', { verdict }));
  }

  /** Only a successful answer of a request that ran is streamed; any other is buffered. */
  private isStreaming(): boolean {
    if (!this.options.request.isStreamed || this.status >= MINIMUM_ERROR_STATUS) return false;
    return this.responseHeaders[headers.Header.Verdict] === decisions.VerdictKind.Ran;
  }

  private completeBuffered(body: Buffer): void {
    const verdict = this.responseHeaders[headers.Header.Verdict];
    if (verdict === decisions.VerdictKind.Ran) {
      const contentType = String(this.responseHeaders['content-type'] ?? '');
      const answer = { status: this.status, contentType, body, isStreamed: false };
      this.complete({ kind: 'answered', answer });
      return;
    }
    const code = this.responseHeaders[headers.Header.ErrorCode];
    this.completeWithFailure(
      decisions.createFailure(decisions.isErrorCode(code) ? code : 'target-failed', {
        verdict: decisions.isVerdictKind(verdict) ? verdict : decisions.VerdictKind.MayHaveRun,
      }),
    );
  }

  private completeWithFailure(failure: decisions.Failure): void {
    this.complete({ kind: 'failed', failure });
  }

  private complete(outcome: AttemptOutcome): void {
    clearTimeout(this.timer);
    this.options.sink?.onDrain(() => {});
    this.resolve(outcome);
  }

  private createRequest(): forwardedRequests.OutgoingRequest {
    const { id, request, target, remainingMs, resume } = this.options;
    return {
      method: request.method,
      path: `/dispatch${request.path}`,
      headers: {
        ...(request.contentType && { 'content-type': request.contentType }),
        ...(request.requestId && { [headers.Header.RequestId]: request.requestId }),
        ...(resume && { [headers.Header.LastEventId]: resume.lastEventId }),
        [headers.Header.Attempt]: id,
        [headers.Header.Incarnation]: String(target.hello.incarnation),
        [headers.Header.DeadlineMs]: String(Math.round(remainingMs)),
        [headers.Header.Priority]: String(request.priority),
      },
      body: resume ? addResumeText(request.body, resume.text) : request.body,
    };
  }
}

function addResumeText(body: Buffer | undefined, text: string): Buffer {
  const completion = JSON.parse(body?.toString('utf8') ?? '{}') as Record<string, unknown>;
  return Buffer.from(JSON.stringify({ ...completion, resume_text: text }));
}
