/**
 * A request forwarded to another process. Its response is passed on as it arrives, without copying
 * or parsing. A failure tells whether any byte of the request may have been sent, which decides the
 * verdict.
 */
import * as decisions from '@azureworks/decisions';
import type * as undici from 'undici';

/** Informational responses after which the other process is taken to send them without end. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 8;

/** Response headers. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Receives the response of a forwarded request. Ends with exactly one of `end` and `fail`. */
export interface ResponseHandler {
  head(status: number, headers: ResponseHeaders): void;
  /** Returns false to pause the response until `resume` is called. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** @param wasSent whether any byte of the request may have reached the other process */
  fail(wasSent: boolean, error: Error): void;
}

/** A request to forward. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

/** A forwarded request in flight. */
export class ForwardedRequest implements undici.Dispatcher.DispatchHandler {
  private controller: undici.Dispatcher.DispatchController | undefined;

  private hasEnded = false;

  private informationalResponses = 0;

  constructor(private readonly handler: ResponseHandler) {}

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.hasEnded) controller.abort(new Error('aborted'));
    this.controller = controller;
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    const kind = decisions.classifyStatus(status);
    if (kind === decisions.StatusKind.Informational) {
      this.informationalResponses += 1;
      if (this.informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES) {
        controller.abort(new Error('too many informational responses'));
      }
    } else if (kind === decisions.StatusKind.Invalid) {
      controller.abort(new Error(`status ${status} is none of HTTP`));
    } else if (!this.hasEnded) this.handler.head(status, headers);
  }

  onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.hasEnded && !this.handler.data(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.handler.end();
  }

  onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.handler.fail(this.controller !== undefined, error);
  }

  /** Continues a paused response. */
  resume(): void {
    this.controller?.resume();
  }

  /** Aborts the request; neither `end` nor `fail` is called afterwards. */
  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.controller?.abort(new Error('aborted'));
  }
}
