/**
 * Baseline policy that the project's own is measured against: takes the target with the fewest own requests in flight.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';

/** Takes the target with the fewest own requests in flight. */
export class LeastRequestsPolicy implements policy.Policy {
  readonly name = 'least-requests';

  static create(): LeastRequestsPolicy {
    return new LeastRequestsPolicy();
  }

  choose(
    _placement: candidates.Placement,
    list: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    return list.reduce<candidates.Candidate | undefined>(
      (best, candidate) => (best && best.inFlight <= candidate.inFlight ? best : candidate),
      undefined,
    );
  }
}
