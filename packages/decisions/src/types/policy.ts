/**
 * The interface of routing policies.
 */
import type * as candidates from './candidate';

/** Chooses a target for a request. */
export interface Policy {
  /** The name of the policy, as reports show it. */
  readonly name: string;
  /** The chosen candidate; undefined when the list is empty. */
  choose(
    placement: candidates.Placement,
    list: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined;
}
