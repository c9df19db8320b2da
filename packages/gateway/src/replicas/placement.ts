/**
 * Which replica takes a request.
 *
 * Load pattern: unequal replicas behind several gateways that each see a part of the load. The
 * replica with the shortest expected wait wins; among equals the one nearby, then one drawn at
 * random, so that gateways which know the same do not all choose the same replica.
 */

/** A replica as the placement sees it. */
export interface PlacementCandidate {
  readonly id: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Requests that it has, as far as is known: running and waiting. */
  readonly load: number;
  /** Milliseconds a unit of work takes there; undefined when unknown. */
  readonly unitMs: number | undefined;
  readonly isNear: boolean;
  /** Whether it failed or proved slow of late. */
  readonly isAvoided: boolean;
}

/** Differences in relative load below this do not matter; a tenth of a slot of ten. */
const EQUAL_LOAD = 0.01;

/**
 * Chooses a replica; undefined when there is none.
 * @param draw uniform in [0, 1)
 */
export function choosePlacement<Candidate extends PlacementCandidate>(
  candidates: readonly Candidate[],
  draw: number,
): Candidate | undefined {
  const trusted = candidates.filter((candidate) => !candidate.isAvoided);
  const eligible = trusted.length > 0 ? trusted : candidates;
  if (eligible.length === 0) return undefined;
  const typicalMs = findMedian(eligible.flatMap((candidate) => candidate.unitMs ?? []));
  const costs = eligible.map((candidate) => measureCost(candidate, typicalMs));
  const lowest = Math.min(...costs);
  const best = eligible.filter((_candidate, index) => (costs[index] ?? 0) <= lowest + EQUAL_LOAD);
  const near = best.filter((candidate) => candidate.isNear);
  const pool = near.length > 0 ? near : best;
  return pool[Math.floor(draw * pool.length)];
}

/** The expected wait for a further request, in units of an ordinary replica's service time. */
function measureCost(candidate: PlacementCandidate, typicalMs: number | undefined): number {
  const slowness =
    typicalMs === undefined || typicalMs === 0 || candidate.unitMs === undefined
      ? 1
      : Math.max(1, candidate.unitMs / typicalMs);
  return ((candidate.load + 1) / Math.max(1, candidate.slots)) * slowness;
}

/** The median; undefined of nothing. */
export function findMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
