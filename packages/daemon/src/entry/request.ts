/**
 * A request as an entry handles it, from admission to its answer.
 */

/** A request to a service, checked and with its class resolved. */
export interface Request {
  readonly service: string;
  readonly method: string;
  /** The path at the target. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
  /** The caller's own id of the request. */
  readonly requestId: string | undefined;
  readonly isIdempotent: boolean;
  /** Whether the answer is a stream of events. */
  readonly isStreamed: boolean;
  readonly tenant: string;
  readonly tenantShare: number;
  readonly className: string;
  readonly priority: number;
  /** On the daemon's monotonic clock. */
  readonly deadlineMs: number;
  readonly affinityHash: number | undefined;
  /** The model that answers; undefined for plain services. */
  readonly model: string | undefined;
}

/** A whole answer. The body of a streamed one has been passed on already. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly isStreamed: boolean;
}

/** Where a streamed answer goes. */
export interface Sink {
  /** Called when the answer begins; may be called again after a resume. */
  head(): void;
  /** Returns false when the receiver is slower than the sender. */
  write(bytes: Buffer): boolean;
  /** Sets the callback that is called when the receiver goes away. */
  onClose(abort: () => void): void;
  /** Replaces the callback that is called when the receiver has caught up. */
  onDrain(resume: () => void): void;
}
