/**
 * A request at an entry, from admission to its answer.
 */

/** A validated request to a service, with its priority class resolved. */
export interface Request {
  readonly service: string;
  readonly method: string;
  /** The path of the request at the target. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  /** The id that the caller gave the request. */
  readonly requestId: string | undefined;
  readonly isIdempotent: boolean;
  /** Whether the answer is a stream of events. */
  readonly isStreamed: boolean;
  readonly organisation: string;
  readonly organisationShare: number;
  readonly className: string;
  readonly priority: number;
  /** Deadline on the daemon's monotonic clock. */
  readonly deadlineMs: number;
  readonly affinityHash: number | undefined;
  /** The model to run; undefined for plain services. */
  readonly model: string | undefined;
}

/**
 * A complete answer. If it was streamed, the sink already received the body, which is empty here.
 */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly isStreamed: boolean;
}

/** The receiver of a streamed answer. */
export interface Sink {
  /** Called when the answer starts, and again after it is resumed at another target. */
  head(): void;
  /** Returns false when the receiver is slower than the sender. */
  write(bytes: Buffer): boolean;
  /** Sets the callback that is called when the receiver disconnects. */
  onClose(abort: () => void): void;
  /** Sets or replaces the callback that is called when the receiver is ready for more. */
  onDrain(resume: () => void): void;
}
