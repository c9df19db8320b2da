/**
 * A caller's request and its reply.
 */
import type * as decisions from '@azureworks/decisions';
import type * as organisations from './organisation';
import type * as replicas from './replica';

/** A request as received from a caller. */
export interface CallerRequest {
  readonly request: replicas.ReplicaRequest;
  /** The path without its query. */
  readonly path: string;
  /** How long the caller waits after sending, in milliseconds; undefined when not specified. */
  readonly deadlineMs: number | undefined;
  /** When the request had been read completely, on the monotonic clock. */
  readonly receivedMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Id of the event after which a stream resumes. */
  readonly afterEvent: number | undefined;
  /** Id of the caller's attempt that brought the first event of the stream that this one resumes. */
  readonly firstAttemptId?: string | undefined;
  /** The key that the caller sent. It goes to no replica, peer, log line, metric, error or row. */
  readonly key?: string | undefined;
  /** Set once the key was accepted; undefined when the request needs none. */
  readonly authorisation?: organisations.Authorisation | undefined;
}

/** A replica's answer, or a failure reported by the gateway itself. */
export type Reply =
  | { readonly kind: 'answer'; readonly answer: replicas.ReplicaAnswer }
  | { readonly kind: 'failure'; readonly failure: decisions.Failure };

/** Receives the answer to a streaming request as it arrives. */
export interface ReplyStream {
  begin(head: replicas.StreamHead): void;
  receive(raw: Buffer): void;
}
