/**
 * Which gateway runs a batch job.
 *
 * Load pattern: each trainer submits a job of many items every few seconds, through whatever
 * gateway its connection reaches. Were each job run where it was accepted, every job would need
 * new connections to the replicas, one for each item that runs, and several gateways would place
 * items without knowing of each other's. So the jobs of a model are run by one gateway as long as
 * it lives: it keeps its connections and knows the load that it makes. Only gateways with about as
 * much processor time as the best are chosen.
 */
import * as decisions from '@azureworks/decisions';

/** A gateway that can run jobs. */
export interface RunnerCandidate {
  readonly vm: string;
  /** Processor time of its VM, in cores of an ordinary machine. */
  readonly capacity: number;
}

/** A gateway with at least this share of the best one's processor time may be chosen. */
const CAPACITY_SHARE = 0.7;

/** The gateway that runs the jobs of a model; undefined when there is none. */
export function chooseRunner<Candidate extends RunnerCandidate>(
  model: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const best = Math.max(0, ...candidates.map((candidate) => candidate.capacity));
  const able = candidates.filter((candidate) => candidate.capacity >= best * CAPACITY_SHARE);
  const vm = decisions.chooseNode(
    model,
    able.map((candidate) => candidate.vm),
  );
  return able.find((candidate) => candidate.vm === vm);
}
