/**
 * The interface of routing policies.
 */
import type * as candidates from './candidate';

/** Chooses a target for a request. */
export interface RoutingPolicy {
  /** The name of the policy, as shown in reports. */
  readonly name: string;
  /** Returns the chosen target; undefined when `targets` is empty. */
  choose(
    request: candidates.RoutingRequest,
    targets: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined;
}
