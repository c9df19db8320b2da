/**
 * Load balancing: chooses the replica for a request.
 *
 * Load pattern: replicas of different speed behind several gateways, each of which sees a part of
 * the load. The replica with the shortest expected wait is chosen. Among equal ones, those in this
 * gateway's failure domain come first, and the choice between them is random, so that gateways
 * with the same information do not all choose the same replica.
 */

/** The properties of a replica on which the choice depends. */
export interface PlacementCandidate {
  readonly id: string;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Its running and queued requests, as far as is known. */
  readonly load: number;
  /** Average time per unit of work; undefined when unknown. */
  readonly unitMs: number | undefined;
  /** Whether it is in the failure domain of this gateway. */
  readonly isLocal: boolean;
  /** Whether it is ejected because it failed or was slow recently. */
  readonly isEjected: boolean;
}

/** Costs within this difference count as equal: a tenth of one slot of a replica with ten. */
const COST_TOLERANCE = 0.01;

/**
 * Chooses a replica; ejected ones only when there are no others, undefined when there are none.
 * @param draw uniform in [0, 1)
 */
export function choosePlacement<Candidate extends PlacementCandidate>(
  candidates: readonly Candidate[],
  draw: number,
): Candidate | undefined {
  const healthy = candidates.filter((candidate) => !candidate.isEjected);
  const eligible = healthy.length > 0 ? healthy : candidates;
  if (eligible.length === 0) return undefined;
  const medianUnitMs = findMedian(eligible.flatMap((candidate) => candidate.unitMs ?? []));
  const costs = eligible.map((candidate) => estimateCost(candidate, medianUnitMs));
  const lowest = Math.min(...costs);
  const best = eligible.filter(
    (_candidate, index) => (costs[index] ?? 0) <= lowest + COST_TOLERANCE,
  );
  const local = best.filter((candidate) => candidate.isLocal);
  const pool = local.length > 0 ? local : best;
  return pool[Math.floor(draw * pool.length)];
}

/** The expected wait for a further request, in units of the median replica's service time. */
function estimateCost(candidate: PlacementCandidate, medianUnitMs: number | undefined): number {
  const slowness =
    medianUnitMs === undefined || medianUnitMs === 0 || candidate.unitMs === undefined
      ? 1
      : Math.max(1, candidate.unitMs / medianUnitMs);
  return ((candidate.load + 1) / Math.max(1, candidate.slots)) * slowness;
}

/** The median; undefined for an empty list. */
export function findMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
