/**
 * Baseline policy that the project's own is measured against: takes the targets in turn.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';

/** Takes the targets in turn. */
export class RoundRobinPolicy implements policy.Policy {
  readonly name = 'round-robin';

  private turn = 0;

  static create(): RoundRobinPolicy {
    return new RoundRobinPolicy();
  }

  choose(
    _placement: candidates.Placement,
    list: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    if (list.length === 0) return undefined;
    this.turn = (this.turn + 1) % list.length;
    return list[this.turn];
  }
}
