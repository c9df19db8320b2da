/**
 * Dependencies of plain and streaming calls.
 */
import type * as decisions from '@azureworks/decisions';
import type * as directories from '../replicas/directory';
import type * as replicas from '../types/replica';
import type * as plannedStops from './planned-stop';

/** Dependencies of a call. */
export interface CallContext {
  readonly replicaClient: replicas.RequestSender;
  readonly nowMs: () => number;
  readonly stop: plannedStops.RequestStop;
  /**
   * Chooses a replica that is not in `tried` and to which the request may be sent now.
   * @param software the only software with which a stream that has begun may go on
   */
  readonly chooseReplica: (
    tried: ReadonlySet<string>,
    software?: string,
  ) => Promise<directories.TrackedReplica | undefined>;
  /** The failure of a request that did not run because no replica could be chosen. */
  readonly createRefusal: () => decisions.Failure;
  /** Called when a stream that was sent at `startedMs` makes progress. */
  readonly recordProgress?: (tracked: directories.TrackedReplica, startedMs: number) => void;
  readonly recordOutcome: (
    tracked: directories.TrackedReplica,
    outcome: replicas.CallOutcome,
    tookMs: number,
  ) => void;
}
