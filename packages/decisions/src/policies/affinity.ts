/**
 * The policy that entries use: prefix affinity with bounded load, and expected wait otherwise.
 *
 * A request goes to the best-ranked targets of its prefix by rendezvous hashing as long as the
 * expected wait there stays within a bound of the least expected wait seen; beyond that it spills
 * to the target with the least expected wait. Expected wait is computed from the chooser's own work
 * in flight plus the lagging load report, so that a late report doesn't hide what the chooser has
 * sent since. Work by Mirrokni, Thorup and Zadimoghaddam on consistent hashing with bounded loads
 * is the source of the bound.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';
import * as hashing from '../utils/hash';

/** Preferred targets that are considered for a prefix before the request spills. */
const AFFINITY_WIDTH = 2;

/** The expected wait at the preferred target may exceed the least one by this many service times. */
const AFFINITY_SLACK_SERVICE_TIMES = 0.75;

/** Share of the service time by which a half-full target is preferred to a full one. */
const SPREAD_SHARE = 0.1;

/** A target in another failure domain is charged this much more, in milliseconds. */
const REMOTE_COST_MS = 1;

/** Requests that the target is believed to hold, from its last report and own work since. */
export function estimateLoad(candidate: candidates.Candidate): number {
  const sinceReport = candidate.inFlight - candidate.inFlightAtReport;
  return Math.max(candidate.inFlight, candidate.reportedLoad + sinceReport);
}

/** Milliseconds until a request sent now would be finished. */
export function estimateWaitMs(candidate: candidates.Candidate): number {
  const capacity = Math.max(1, candidate.capacity * candidate.warmth);
  const occupancy = (estimateLoad(candidate) + 1) / capacity;
  const localCost = candidate.isLocal ? 0 : REMOTE_COST_MS;
  return (
    candidate.serviceTimeMs * Math.max(1, occupancy) +
    candidate.serviceTimeMs * occupancy * SPREAD_SHARE +
    localCost
  );
}

/** Prefix affinity with bounded load. */
export class AffinityPolicy implements policy.Policy {
  static readonly NAME = 'affinity';

  readonly name = AffinityPolicy.NAME;

  static create(): AffinityPolicy {
    return new AffinityPolicy();
  }

  choose(
    placement: candidates.Placement,
    list: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    const least = findLeastWait(list);
    if (!least || placement.affinityHash === undefined) return least;
    const boundMs = estimateWaitMs(least) + least.serviceTimeMs * AFFINITY_SLACK_SERVICE_TIMES;
    const preferred = rankPreferred(placement.affinityHash, list);
    return preferred.find((candidate) => estimateWaitMs(candidate) <= boundMs) ?? least;
  }
}

function findLeastWait(list: readonly candidates.Candidate[]): candidates.Candidate | undefined {
  let best: candidates.Candidate | undefined;
  let bestWaitMs = Infinity;
  list.forEach((candidate) => {
    const waitMs = estimateWaitMs(candidate);
    if (waitMs >= bestWaitMs) return;
    best = candidate;
    bestWaitMs = waitMs;
  });
  return best;
}

function rankPreferred(
  affinityHash: number,
  list: readonly candidates.Candidate[],
): candidates.Candidate[] {
  const top: { candidate: candidates.Candidate; weight: number }[] = [];
  list.forEach((candidate) => {
    const weight = hashing.combineHashes(affinityHash, candidate.nameHash);
    if (top.length === AFFINITY_WIDTH && weight <= top[top.length - 1].weight) return;
    top.push({ candidate, weight });
    top.sort((first, second) => second.weight - first.weight);
    top.length = Math.min(top.length, AFFINITY_WIDTH);
  });
  return top.map((ranked) => ranked.candidate);
}
