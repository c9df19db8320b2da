/**
 * The input of a routing policy: the targets to choose from and the request to route.
 */

/** A target that may receive a request, as one entry sees it. */
export interface Candidate {
  /** The name of the target. */
  readonly name: string;
  /** A hash of the name, computed once, for rendezvous hashing. */
  readonly nameHash: number;
  /** Whether the target is in the same failure domain as the entry that chooses. */
  readonly isLocal: boolean;
  /** Requests from this entry that are in flight at the target. */
  inFlight: number;
  /** Requests from all entries that were in flight at the target when it sent its last load report. */
  reportedLoad: number;
  /** Value of `inFlight` when that report arrived; `reportedLoad` already includes these requests. */
  inFlightAtReport: number;
  /** Requests that the target can run at the same time. */
  capacity: number;
  /** Smoothed service time of one request at the target, in milliseconds. */
  serviceTimeMs: number;
  /** Slow start: the share of its capacity that a newly joined target may use, in (0, 1]. */
  slowStartFactor: number;
}

/** The properties of a request that a policy may use. */
export interface RoutingRequest {
  /** A hash of the prompt prefix or of another affinity key; undefined disables affinity. */
  readonly affinityHash?: number;
}
