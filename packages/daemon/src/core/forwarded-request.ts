/**
 * A request that was sent to another process, whose answer is passed on as it arrives, without
 * copying or parsing. It knows whether any byte of the request was sent, which decides the verdict.
 */
import type * as undici from 'undici';

/** Response headers. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What the owner of a forwarded request is told. Exactly one of `end` and `fail` is called. */
export interface ForwardEvents {
  head(status: number, headers: ResponseHeaders): void;
  /** Returns false to pause the answer until `resume` is called. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** @param wasSent whether any byte of the request may have reached the other side */
  fail(wasSent: boolean, error: Error): void;
}

/** One request to forward. */
export interface ForwardRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

/** A request under way. */
export class ForwardedRequest implements undici.Dispatcher.DispatchHandler {
  private controller: undici.Dispatcher.DispatchController | undefined;

  private isOver = false;

  constructor(private readonly events: ForwardEvents) {}

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.isOver) controller.abort(new Error('aborted'));
    this.controller = controller;
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (!this.isOver) this.events.head(status, headers);
  }

  onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isOver && !this.events.data(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.events.end();
  }

  onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    if (this.isOver) return;
    this.isOver = true;
    this.events.fail(this.controller !== undefined, error);
  }

  /** Continues a paused answer. */
  resume(): void {
    this.controller?.resume();
  }

  /** Gives the request up; neither `end` nor `fail` is called afterwards. */
  abort(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.controller?.abort(new Error('aborted'));
  }
}
