/**
 * Baseline policy that the project's own is measured against: draws two targets and takes the one with fewer own requests in flight.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';
import type * as random from '../types/random';

/** Draws two targets and takes the one with fewer own requests in flight. */
export class TwoChoicesPolicy implements policy.Policy {
  readonly name = 'two-choices';

  private constructor(private readonly source: random.Random) {}

  static create(source: random.Random): TwoChoicesPolicy {
    return new TwoChoicesPolicy(source);
  }

  choose(
    _placement: candidates.Placement,
    list: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    const first = list[Math.floor(this.source.next() * list.length)];
    const second = list[Math.floor(this.source.next() * list.length)];
    if (!first || !second) return first;
    return second.inFlight < first.inFlight ? second : first;
  }
}
