/**
 * Baseline policy that the project's own is measured against: takes any target with equal probability.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';
import type * as random from '../types/random';

/** Takes any target with equal probability. */
export class RandomPolicy implements policy.Policy {
  readonly name = 'random';

  private constructor(private readonly source: random.Random) {}

  static create(source: random.Random): RandomPolicy {
    return new RandomPolicy(source);
  }

  choose(
    _placement: candidates.Placement,
    list: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    return list[Math.floor(this.source.next() * list.length)];
  }
}
