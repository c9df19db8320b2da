/**
 * Baseline for comparison with the affinity policy, known as power of two choices: draws two targets
 * at random and chooses the one with fewer requests of this entry in flight.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';
import type * as random from '../types/random';

/** Draws two targets and chooses the one with fewer requests of this entry in flight. */
export class TwoChoicesPolicy implements policy.RoutingPolicy {
  readonly name = 'two-choices';

  private constructor(private readonly source: random.Random) {}

  static create(source: random.Random): TwoChoicesPolicy {
    return new TwoChoicesPolicy(source);
  }

  choose(
    _request: candidates.RoutingRequest,
    targets: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    const first = targets[Math.floor(this.source.next() * targets.length)];
    const second = targets[Math.floor(this.source.next() * targets.length)];
    if (!first || !second) return first;
    return second.inFlight < first.inFlight ? second : first;
  }
}
