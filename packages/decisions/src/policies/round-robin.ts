/**
 * Baseline for comparison with the affinity policy: chooses the targets in turn.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';

/** Chooses the targets in turn. */
export class RoundRobinPolicy implements policy.RoutingPolicy {
  readonly name = 'round-robin';

  private lastIndex = 0;

  static create(): RoundRobinPolicy {
    return new RoundRobinPolicy();
  }

  choose(
    _request: candidates.RoutingRequest,
    targets: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    if (targets.length === 0) return undefined;
    this.lastIndex = (this.lastIndex + 1) % targets.length;
    return targets[this.lastIndex];
  }
}
