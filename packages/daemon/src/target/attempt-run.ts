/**
 * One attempt at the target, from its dispatch to the last byte of the response.
 *
 * The verdict is sent in the response headers. When the response breaks off after them, the
 * connection to the entry is closed, so that a partial response never looks complete.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import type * as forwardedRequests from '../core/forwarded-request';
import type * as forwarders from '../core/forwarder';
import * as failureResponses from '../core/failure-response';
import type * as httpTask from '../core/http-task';
import * as headers from '../types/headers';
import * as byteSearch from '../utils/byte-search';
import type * as ledgers from './ledger';

export interface AttemptRunOptions {
  readonly attempt: string;
  readonly request: httpTask.RoutedRequest;
  readonly response: http.ServerResponse;
  readonly requestBody: Buffer;
  /** The path at the target. */
  readonly path: string;
  readonly isEngine: boolean;
  readonly ledger: ledgers.Ledger;
  formatLoad(): string;
  /** Called when the connection to the target failed and nothing was sent. */
  onConnectionFailed(): void;
  /** Called once the target no longer works on the request. `hasRun`: the response is complete. */
  onFinished(hasRun: boolean): void;
}

const MAXIMUM_RECORDED_BYTES = 64 * 1024;
const UNKNOWN_VERSION_PATTERN = Buffer.from('"weight_version":null');
/** An engine that responds with one of these statuses has not run the request. */
const ENGINE_REFUSAL_STATUSES = new Set([429, 503]);
const FORWARDED_HEADERS = [
  'content-type',
  'accept',
  headers.Header.RequestId,
  headers.Header.Attempt,
  headers.Header.LastEventId,
];

/** Forwards one attempt to the target and its response to the entry. */
export class AttemptRun implements forwardedRequests.ResponseHandler {
  private forwarded: forwardedRequests.ForwardedRequest | undefined;

  private status = 0;

  private contentType = '';

  private hasEnded = false;

  private readonly recordedChunks: Buffer[] = [];

  private recordedBytes = 0;

  private readonly unknownVersionSearch = byteSearch.ByteSearch.create(UNKNOWN_VERSION_PATTERN);

  private constructor(private readonly options: AttemptRunOptions) {}

  static create(options: AttemptRunOptions): AttemptRun {
    return new AttemptRun(options);
  }

  start(forwarder: forwarders.Forwarder): void {
    const { request, response, requestBody, path } = this.options;
    const hasBody = request.method !== 'GET' && request.method !== 'HEAD';
    response.on('close', () => this.onCallerGone());
    response.on('drain', () => this.forwarded?.resume());
    this.forwarded = forwarder.send(
      {
        method: request.method ?? 'GET',
        path,
        headers: pickHeaders(request.headers),
        body: hasBody ? requestBody : undefined,
      },
      this,
    );
  }

  /** Breaks the response off, so that the entry resumes or repeats the request elsewhere. */
  abort(): void {
    if (this.hasEnded) return;
    this.forwarded?.abort();
    this.failWithUnknownOutcome();
  }

  head(status: number, responseHeaders: forwardedRequests.ResponseHeaders): void {
    const { response, isEngine, formatLoad } = this.options;
    this.status = status;
    this.contentType = String(responseHeaders['content-type'] ?? '');
    if (isEngine && ENGINE_REFUSAL_STATUSES.has(status)) {
      this.forwarded?.abort();
      this.options.ledger.recordRefused(this.options.attempt);
      this.refuse();
      return;
    }
    response.writeHead(status, {
      ...(this.contentType && { 'content-type': this.contentType }),
      ...(responseHeaders['content-length'] && {
        'content-length': String(responseHeaders['content-length']),
      }),
      [headers.Header.Verdict]: decisions.VerdictKind.Ran,
      [headers.Header.Load]: formatLoad(),
    });
  }

  data(chunk: Buffer): boolean {
    if (this.options.isEngine && this.unknownVersionSearch.push(chunk)) {
      this.abort();
      return true;
    }
    if (!this.options.isEngine) this.record(chunk);
    return this.options.response.write(chunk);
  }

  end(): void {
    if (this.hasEnded) return;
    this.finish(true);
    this.options.ledger.recordRan(this.options.attempt, this.getRecordedResponse());
    this.options.response.end();
  }

  fail(wasSent: boolean): void {
    if (this.hasEnded) return;
    if (!wasSent) {
      this.options.onConnectionFailed();
      this.options.ledger.recordRefused(this.options.attempt);
      this.refuse();
      return;
    }
    this.failWithUnknownOutcome();
  }

  /** The entry is gone: a request at an engine is cancelled, one at a plain service may finish. */
  private onCallerGone(): void {
    if (this.hasEnded || !this.options.isEngine) return;
    this.forwarded?.abort();
    this.options.ledger.recordUnknown(this.options.attempt);
    this.finish(false);
  }

  private refuse(): void {
    this.finish(false);
    failureResponses.sendFailure(this.options.response, decisions.createFailure('no-target'));
  }

  private failWithUnknownOutcome(): void {
    this.options.ledger.recordUnknown(this.options.attempt);
    this.finish(false);
    failureResponses.sendFailure(this.options.response, decisions.createFailure('target-failed'));
  }

  private finish(hasRun: boolean): void {
    this.hasEnded = true;
    this.options.onFinished(hasRun);
  }

  private record(chunk: Buffer): void {
    this.recordedBytes += chunk.length;
    if (this.recordedBytes <= MAXIMUM_RECORDED_BYTES) this.recordedChunks.push(chunk);
  }

  private getRecordedResponse(): ledgers.RecordedResponse | undefined {
    if (this.options.isEngine || this.recordedBytes > MAXIMUM_RECORDED_BYTES) return undefined;
    const body = Buffer.concat(this.recordedChunks).toString('utf8');
    return { status: this.status, contentType: this.contentType, body };
  }
}

function pickHeaders(source: http.IncomingHttpHeaders): Record<string, string> {
  const picked = FORWARDED_HEADERS.map((name) => [name, source[name]]).filter(
    ([, value]) => typeof value === 'string',
  );
  return Object.fromEntries(picked) as Record<string, string>;
}
