/**
 * Baseline for comparison with the affinity policy: chooses a target uniformly at random.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';
import type * as random from '../types/random';

/** Chooses a target uniformly at random. */
export class RandomPolicy implements policy.RoutingPolicy {
  readonly name = 'random';

  private constructor(private readonly source: random.Random) {}

  static create(source: random.Random): RandomPolicy {
    return new RandomPolicy(source);
  }

  choose(
    _request: candidates.RoutingRequest,
    targets: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    return targets[Math.floor(this.source.next() * targets.length)];
  }
}
