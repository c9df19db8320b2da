/**
 * What a routing policy knows about a target and about the request that it places.
 */

/** A target that may take a request, as an entry sees it. */
export interface Candidate {
  /** The name of the target. */
  readonly name: string;
  /** A hash of the name, computed once, for placement by rendezvous. */
  readonly nameHash: number;
  /** Whether the target stands in the chooser's own failure domain. */
  readonly isLocal: boolean;
  /** Requests that this chooser has in flight at the target. */
  inFlight: number;
  /** Requests in flight at the target when its last load report was made, from all entries. */
  reportedLoad: number;
  /** Own requests in flight when that report arrived; the report already includes them. */
  inFlightAtReport: number;
  /** The target's capacity: requests that it runs at the same time. */
  capacity: number;
  /** Smoothed service time of one request at the target, in milliseconds. */
  serviceTimeMs: number;
  /** The share of its capacity that a target which joined cold may use, in (0, 1]. */
  warmth: number;
}

/** What a policy may use of a request. */
export interface Placement {
  /** A hash of the prompt prefix or another affinity key; undefined places without affinity. */
  readonly affinityHash?: number;
}
