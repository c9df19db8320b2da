/**
 * A caller's request and what is answered.
 */
import type * as decisions from '@azureworks/decisions';
import type * as replicas from './replica';

/** A request as it came from a caller. */
export interface CallerRequest {
  readonly request: replicas.ReplicaRequest;
  /** The path without its query. */
  readonly path: string;
  /** How long the caller waits from its sending, in milliseconds; undefined when it did not say. */
  readonly deadlineMs: number | undefined;
  /** When the request had been read, on the monotonic clock. */
  readonly receivedMs: number;
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal;
  /** The event after which a stream goes on. */
  readonly afterEvent: number | undefined;
}

/** A replica's answer, or the gateway's own failure. */
export type Reply =
  | { readonly kind: 'answer'; readonly answer: replicas.ReplicaAnswer }
  | { readonly kind: 'failure'; readonly failure: decisions.Failure };

/** Receives the answer to a streaming request as it comes. */
export interface ReplyStream {
  begin(head: replicas.StreamHead): void;
  receive(raw: Buffer): void;
}
