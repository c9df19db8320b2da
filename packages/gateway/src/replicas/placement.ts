/**
 * Load balancing: chooses the replica for a request.
 *
 * Load pattern: replicas of different speed behind several gateways, each of which sees a part of
 * the load. The replica with the shortest expected wait is chosen. Among equal ones, those in this
 * gateway's failure domain come first, and the choice between them is random, so that gateways
 * with the same information do not all choose the same replica.
 *
 * Replicas that report a work factor are rarely equal, and all gateways hear of the fastest one at the same
 * moment. There the choice is the better one of two that are drawn at random, which bounds the share of any
 * replica.
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
  /** How long work takes there now relative to the usual time; undefined where it is not reported. */
  readonly workFactor?: number | undefined;
  /** Whether it is in the failure domain of this gateway. */
  readonly isLocal: boolean;
  /** Whether it is ejected because it failed or was slow recently. */
  readonly isEjected: boolean;
}

/** Costs within this difference count as equal: a tenth of one slot of a replica with ten. */
const COST_TOLERANCE = 0.01;
/**
 * Replicas that cost more than this multiple of the median are not drawn. At least half of the candidates are
 * below it, so the cheapest one of many is chosen by at most a few of the gateways.
 */
const MAXIMUM_DRAWN_COST = 2;
/** Only those of this failure domain are drawn if the best of them costs at most this multiple of the best. */
const MAXIMUM_LOCAL_COST = 1.25;
/** With fewer of this failure domain, its gateways would all choose the same. */
const MINIMUM_LOCAL_REPLICAS = 2;

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
  if (eligible.some(({ workFactor }) => workFactor !== undefined)) {
    return chooseOfTwo(eligible, medianUnitMs, draw);
  }
  const costs = eligible.map((candidate) => estimateCost(candidate, medianUnitMs));
  const lowest = Math.min(...costs);
  const best = eligible.filter(
    (_candidate, index) => (costs[index] ?? 0) <= lowest + COST_TOLERANCE,
  );
  const local = best.filter((candidate) => candidate.isLocal);
  const pool = local.length > 0 ? local : best;
  return pool[Math.floor(draw * pool.length)];
}

/** Draws two candidates, which may be the same one, and chooses the better one. */
function chooseOfTwo<Candidate extends PlacementCandidate>(
  eligible: readonly Candidate[],
  medianUnitMs: number | undefined,
  draw: number,
): Candidate | undefined {
  const costed = eligible.map((candidate) => ({
    candidate,
    cost: estimateWait(candidate, medianUnitMs),
  }));
  const lowest = Math.min(...costed.map(({ cost }) => cost));
  const limit = (findMedian(costed.map(({ cost }) => cost)) ?? 0) * MAXIMUM_DRAWN_COST;
  const close = costed.filter(({ cost }) => cost <= limit);
  const local = close.filter(({ candidate }) => candidate.isLocal);
  const isLocalGood = local.some(({ cost }) => cost <= lowest * MAXIMUM_LOCAL_COST);
  const pool = isLocalGood && local.length >= MINIMUM_LOCAL_REPLICAS ? local : close;
  const position = draw * pool.length;
  const first = pool[Math.floor(position)];
  const second = pool[Math.floor((position % 1) * pool.length)];
  if (!first || !second) return first?.candidate;
  return (second.cost < first.cost ? second : first).candidate;
}

/** The expected wait for a further request, in units of the median replica's service time. */
function estimateCost(candidate: PlacementCandidate, medianUnitMs: number | undefined): number {
  const slowness = Math.max(1, compareUnit(candidate, medianUnitMs));
  return ((candidate.load + 1) / Math.max(1, candidate.slots)) * slowness;
}

/**
 * The expected wait where work factors are reported: the time of the work itself and of the queue. The load of
 * other gateways is known late, so a replica with few free slots counts as one at which some requests queue.
 */
function estimateWait(candidate: PlacementCandidate, medianUnitMs: number | undefined): number {
  const { load, slots, workFactor = 1 } = candidate;
  return (1 + load / Math.max(1, slots)) * compareUnit(candidate, medianUnitMs) * workFactor;
}

/** A replica's time per unit of work relative to the median; 1 where it is not known. */
function compareUnit({ unitMs }: PlacementCandidate, medianUnitMs: number | undefined): number {
  if (medianUnitMs === undefined || medianUnitMs === 0 || unitMs === undefined) return 1;
  return unitMs / medianUnitMs;
}

/** The median; undefined for an empty list. */
export function findMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
