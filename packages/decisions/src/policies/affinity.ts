/**
 * The routing policy of entries: prefix affinity with bounded load, and otherwise the target with
 * the least expected completion time.
 *
 * Rendezvous hashing ranks the targets for the prefix of a request. The request goes to the first
 * of the best-ranked targets whose expected completion time is within a bound of the least one;
 * when there is none, it goes to the target with the least expected completion time. The
 * expectation combines the last load report of a target, which may be late, with the requests that
 * this entry has sent or completed since, so that a late report doesn't hide recent requests. The
 * bound follows the work of Mirrokni, Thorup and Zadimoghaddam on consistent hashing with bounded
 * loads.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';
import * as hashing from '../utils/hash';

/** Number of best-ranked targets that are tried for a prefix. */
const AFFINITY_TARGETS = 2;

/** How far the completion time at an affinity target may exceed the least one, in service times. */
const AFFINITY_SLACK_SERVICE_TIMES = 0.75;

/** Share of the service time added at full occupancy, so that half-full targets are preferred. */
const OCCUPANCY_WEIGHT = 0.1;

/** Added to the completion time at a target in another failure domain. */
const REMOTE_PENALTY_MS = 1;

/** Estimates the requests in flight at the target: its last report plus own changes since then. */
export function estimateLoad(candidate: candidates.Candidate): number {
  const changeSinceReport = candidate.inFlight - candidate.inFlightAtReport;
  return Math.max(candidate.inFlight, candidate.reportedLoad + changeSinceReport);
}

/** Expected milliseconds until a request that is sent now completes. */
export function estimateCompletionMs(candidate: candidates.Candidate): number {
  const capacity = Math.max(1, candidate.capacity * candidate.slowStartFactor);
  const occupancy = (estimateLoad(candidate) + 1) / capacity;
  const remotePenaltyMs = candidate.isLocal ? 0 : REMOTE_PENALTY_MS;
  return (
    candidate.serviceTimeMs * Math.max(1, occupancy) +
    candidate.serviceTimeMs * occupancy * OCCUPANCY_WEIGHT +
    remotePenaltyMs
  );
}

/** Prefix affinity with bounded load. */
export class AffinityPolicy implements policy.RoutingPolicy {
  static readonly NAME = 'affinity';

  readonly name = AffinityPolicy.NAME;

  static create(): AffinityPolicy {
    return new AffinityPolicy();
  }

  choose(
    request: candidates.RoutingRequest,
    targets: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    const fastest = findFastest(targets);
    if (!fastest || request.affinityHash === undefined) return fastest;
    const boundMs =
      estimateCompletionMs(fastest) + fastest.serviceTimeMs * AFFINITY_SLACK_SERVICE_TIMES;
    const ranked = rankByAffinity(request.affinityHash, targets);
    return ranked.find((candidate) => estimateCompletionMs(candidate) <= boundMs) ?? fastest;
  }
}

function findFastest(targets: readonly candidates.Candidate[]): candidates.Candidate | undefined {
  let fastest: candidates.Candidate | undefined;
  let fastestMs = Infinity;
  targets.forEach((candidate) => {
    const completionMs = estimateCompletionMs(candidate);
    if (completionMs >= fastestMs) return;
    fastest = candidate;
    fastestMs = completionMs;
  });
  return fastest;
}

function rankByAffinity(
  affinityHash: number,
  targets: readonly candidates.Candidate[],
): candidates.Candidate[] {
  const best: { candidate: candidates.Candidate; weight: number }[] = [];
  targets.forEach((candidate) => {
    const weight = hashing.combineHashes(affinityHash, candidate.nameHash);
    if (best.length === AFFINITY_TARGETS && weight <= best[best.length - 1].weight) return;
    best.push({ candidate, weight });
    best.sort((first, second) => second.weight - first.weight);
    best.length = Math.min(best.length, AFFINITY_TARGETS);
  });
  return best.map((ranked) => ranked.candidate);
}
