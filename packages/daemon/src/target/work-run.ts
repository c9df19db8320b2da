/**
 * One attempt at the target, from the dispatch to the last byte of the answer.
 *
 * The verdict is sent with the head of the answer. When the answer breaks off after its head, the
 * connection to the entry is cut, so that a broken answer can never look like a whole one.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import type * as forwardedRequests from '../core/forwarded-request';
import type * as forwarders from '../core/forwarder';
import * as httpTask from '../core/http-task';
import * as headers from '../types/headers';
import * as byteSearch from '../utils/byte-search';
import type * as ledgers from './ledger';

/** What a run needs. */
export interface WorkRunOptions {
  readonly attempt: string;
  readonly request: httpTask.RoutedRequest;
  readonly response: http.ServerResponse;
  readonly bytes: Buffer;
  /** The path at the target. */
  readonly path: string;
  readonly isEngine: boolean;
  readonly ledger: ledgers.Ledger;
  formatLoad(): string;
  /** Called when the target refused the connection. */
  noteRefused(): void;
  /** Called once, when the target no longer works on the request. */
  close(hasRun: boolean): void;
}

const LARGEST_RECORDED_BYTES = 64 * 1024;
const UNKNOWN_VERSION_MARK = Buffer.from('"weight_version":null');
const ENGINE_REFUSALS = new Set([429, 503]);
const FORWARDED_HEADERS = [
  'content-type',
  'accept',
  headers.Header.RequestId,
  headers.Header.Attempt,
  headers.Header.LastEventId,
];

/** One attempt at the target. */
export class WorkRun implements forwardedRequests.ForwardEvents {
  private forwarded: forwardedRequests.ForwardedRequest | undefined;

  private status = 0;

  private contentType = '';

  private isOver = false;

  private readonly recorded: Buffer[] = [];

  private recordedBytes = 0;

  private readonly unknownVersion = byteSearch.ByteSearch.create(UNKNOWN_VERSION_MARK);

  private constructor(private readonly options: WorkRunOptions) {}

  static create(options: WorkRunOptions): WorkRun {
    return new WorkRun(options);
  }

  start(forwarder: forwarders.Forwarder): void {
    const { request, response, bytes, path } = this.options;
    const hasBody = request.method !== 'GET' && request.method !== 'HEAD';
    response.on('close', () => this.abandon());
    response.on('drain', () => this.forwarded?.resume());
    this.forwarded = forwarder.send(
      {
        method: request.method ?? 'GET',
        path,
        headers: pickHeaders(request.headers),
        body: hasBody ? bytes : undefined,
      },
      this,
    );
  }

  /** Cuts the answer, so that the entry resumes or repeats it elsewhere. */
  cut(): void {
    if (this.isOver) return;
    this.forwarded?.abort();
    this.lose();
  }

  head(status: number, responseHeaders: forwardedRequests.ResponseHeaders): void {
    const { response, isEngine, formatLoad } = this.options;
    this.status = status;
    this.contentType = String(responseHeaders['content-type'] ?? '');
    if (isEngine && ENGINE_REFUSALS.has(status)) {
      this.forwarded?.abort();
      this.options.ledger.retract(this.options.attempt);
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
    if (this.options.isEngine && this.unknownVersion.push(chunk)) {
      this.cut();
      return true;
    }
    if (!this.options.isEngine) this.record(chunk);
    return this.options.response.write(chunk);
  }

  end(): void {
    if (this.isOver) return;
    this.finish(true);
    this.options.ledger.finish(this.options.attempt, this.readRecorded());
    this.options.response.end();
  }

  fail(wasSent: boolean): void {
    if (this.isOver) return;
    if (!wasSent) {
      this.options.noteRefused();
      this.options.ledger.retract(this.options.attempt);
      this.refuse();
      return;
    }
    this.lose();
  }

  /** The caller is gone: a plain call is left to finish, an engine's answer is cancelled. */
  private abandon(): void {
    if (this.isOver || !this.options.isEngine) return;
    this.forwarded?.abort();
    this.options.ledger.lose(this.options.attempt);
    this.finish(false);
  }

  private refuse(): void {
    this.finish(false);
    httpTask.sendFailure(this.options.response, decisions.createFailure('no-target'));
  }

  private lose(): void {
    this.options.ledger.lose(this.options.attempt);
    this.finish(false);
    httpTask.sendFailure(this.options.response, decisions.createFailure('target-failed'));
  }

  private finish(hasRun: boolean): void {
    this.isOver = true;
    this.options.close(hasRun);
  }

  private record(chunk: Buffer): void {
    this.recordedBytes += chunk.length;
    if (this.recordedBytes <= LARGEST_RECORDED_BYTES) this.recorded.push(chunk);
  }

  private readRecorded(): ledgers.RecordedAnswer | undefined {
    if (this.options.isEngine || this.recordedBytes > LARGEST_RECORDED_BYTES) return undefined;
    const body = Buffer.concat(this.recorded).toString('utf8');
    return { status: this.status, contentType: this.contentType, body };
  }
}

function pickHeaders(source: http.IncomingHttpHeaders): Record<string, string> {
  const picked = FORWARDED_HEADERS.map((name) => [name, source[name]]).filter(
    ([, value]) => typeof value === 'string',
  );
  return Object.fromEntries(picked) as Record<string, string>;
}
