/**
 * Selects the replica for an item, a plain call, a stream or a scoring call.
 *
 * Load pattern: all healthy replicas are full, and some that reset every request have free slots. Candidates
 * are filtered in one order for all kinds of requests: those that can run the request, those that it may be
 * sent to within their rate limits, healthy ones, and only then those with room. A request that needs room
 * thus waits for the healthy replicas, and does not go to an ejected one for its free slots. Replicas on
 * probation get one request at a time. While none is healthy, each is tried at a bounded rate.
 */
import * as placement from './placement';
import * as replicaHealths from './replica-health';

const { ReplicaCondition } = replicaHealths;

/** The properties of a replica on which the selection for one request depends. */
export interface SelectionCandidate extends placement.PlacementCandidate {
  readonly condition: replicaHealths.ReplicaCondition;
  /** Whether a trial may begin there, if it is not healthy. */
  readonly mayTry: boolean;
  /** Whether it can run the request: its software and its weights are the right ones. */
  readonly isSuitable: boolean;
  /** Whether a request may be sent to it within its rate limit, as far as is known. */
  readonly isPermitted: boolean;
  /** Whether the request was sent to it before and is not to be sent there again. */
  readonly isTried: boolean;
  /** Whether it refused a request just now because it was full. */
  readonly isRefusing: boolean;
  /** Whether it is taken only when there is no other, for a reason that concerns only this request. */
  readonly isAvoided: boolean;
}

/** Why there is no replica for a request now. */
export const WithheldReason = {
  Unsuitable: 'unsuitable',
  NotPermitted: 'not permitted',
  /** None is healthy, and each was tried just now. */
  AwaitingTrial: 'awaiting trial',
  /** The request was sent to all that may get it. */
  Tried: 'tried',
  Full: 'full',
  /** All healthy ones are full; others have room, but failed recently. */
  RoomOnlyAtEjected: 'room only at ejected',
  /** The request is suspect, and may be sent to none of them now. */
  Suspect: 'suspect',
} as const;
export type WithheldReason = (typeof WithheldReason)[keyof typeof WithheldReason];

/** What was selected. */
export type Selection<Candidate> =
  | { readonly chosen: Candidate; readonly reason?: undefined }
  | { readonly chosen?: undefined; readonly reason: WithheldReason };

export interface SelectionOptions<Candidate> {
  /** Whether the request must not queue at the replica. */
  readonly needsRoom: boolean;
  /** Uniform in [0, 1). */
  readonly draw: number;
  /** Further limits the replicas for a suspect request. */
  readonly narrow?: ((candidates: readonly Candidate[]) => readonly Candidate[]) | undefined;
}

/** Selects a replica, or tells why there is none now. */
export function selectReplica<Candidate extends SelectionCandidate>(
  candidates: readonly Candidate[],
  { needsRoom, draw, narrow = (list) => list }: SelectionOptions<Candidate>,
): Selection<Candidate> {
  const suitable = candidates.filter(({ isSuitable }) => isSuitable);
  if (suitable.length === 0) return { reason: WithheldReason.Unsuitable };
  const permitted = suitable.filter(({ isPermitted }) => isPermitted);
  if (permitted.length === 0) return { reason: WithheldReason.NotPermitted };
  const usable = listUsable(permitted);
  if (usable.length === 0) return { reason: WithheldReason.AwaitingTrial };
  const untried = usable.filter(({ isTried }) => !isTried);
  if (untried.length === 0) return { reason: WithheldReason.Tried };
  const roomy = needsRoom ? untried.filter(hasRoom) : untried;
  if (roomy.length === 0) {
    const isRoomElsewhere = permitted.some(
      (candidate) => !isHealthy(candidate) && hasRoom(candidate),
    );
    return { reason: isRoomElsewhere ? WithheldReason.RoomOnlyAtEjected : WithheldReason.Full };
  }
  const allowed = narrow(roomy);
  const welcome = allowed.filter(({ isAvoided }) => !isAvoided);
  const chosen = placement.choosePlacement(welcome.length > 0 ? welcome : allowed, draw);
  return chosen ? { chosen } : { reason: WithheldReason.Suspect };
}

/** The healthy replicas, and those that may be tried. */
function listUsable<Candidate extends SelectionCandidate>(
  candidates: readonly Candidate[],
): Candidate[] {
  const isAnyHealthy = candidates.some(isHealthy);
  return candidates.filter((candidate) => {
    if (isHealthy(candidate)) return true;
    if (isAnyHealthy && candidate.condition === ReplicaCondition.Ejected) return false;
    return candidate.mayTry;
  });
}

function isHealthy({ condition }: SelectionCandidate): boolean {
  return condition === ReplicaCondition.Healthy;
}

function hasRoom({ load, slots, isRefusing }: SelectionCandidate): boolean {
  return load < slots && !isRefusing;
}
