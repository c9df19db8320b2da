/**
 * Chooses the gateway that runs a batch job.
 *
 * Load pattern: each trainer submits a job of many items every few seconds, through whichever
 * gateway its connection reaches. If each job ran where it was accepted, every job would need new
 * connections to the replicas, one for each running item, and several gateways would place items
 * without knowing of each other's. Therefore one gateway runs all jobs of a model for as long as it
 * lives: it keeps its connections open and knows the load that it causes. Only gateways with nearly
 * as much processor time as the largest one are eligible.
 */
import * as decisions from '@azureworks/decisions';

/** A gateway that can run jobs. */
export interface GatewayCandidate {
  readonly vm: string;
  /** Processor time of its VM, in cores of an ordinary machine. */
  readonly capacity: number;
}

/** Share of the largest gateway's processor time that a gateway needs to be eligible. */
const MINIMUM_CAPACITY_SHARE = 0.7;

/** Chooses the gateway that runs the jobs of a model; undefined when there is no candidate. */
export function chooseGateway<Candidate extends GatewayCandidate>(
  model: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const best = Math.max(0, ...candidates.map((candidate) => candidate.capacity));
  const eligible = candidates.filter(
    (candidate) => candidate.capacity >= best * MINIMUM_CAPACITY_SHARE,
  );
  const vm = decisions.chooseNode(
    model,
    eligible.map((candidate) => candidate.vm),
  );
  return eligible.find((candidate) => candidate.vm === vm);
}
