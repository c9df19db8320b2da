/**
 * Dependencies of plain and streaming calls, and the retry delay given to a refused caller.
 */
import type * as directories from '../replicas/directory';
import type * as replicas from '../types/replica';

/** Dependencies of a call. */
export interface CallContext {
  readonly replicaClient: replicas.RequestSender;
  readonly nowMs: () => number;
  /** Chooses a replica that is not in `tried`. */
  readonly chooseReplica: (tried: ReadonlySet<string>) => directories.TrackedReplica | undefined;
  readonly recordOutcome: (
    tracked: directories.TrackedReplica,
    outcome: replicas.CallOutcome,
    tookMs: number,
  ) => void;
}

/** A refused caller may retry after this time; other replicas may have free slots by then. */
export const REFUSAL_RETRY_AFTER_MS = 100;
