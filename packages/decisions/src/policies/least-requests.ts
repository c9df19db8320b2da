/**
 * Baseline for comparison with the affinity policy: chooses the target with the fewest requests of
 * this entry in flight.
 */
import type * as candidates from '../types/candidate';
import type * as policy from '../types/policy';

/** Chooses the target with the fewest requests of this entry in flight. */
export class LeastRequestsPolicy implements policy.RoutingPolicy {
  readonly name = 'least-requests';

  static create(): LeastRequestsPolicy {
    return new LeastRequestsPolicy();
  }

  choose(
    _request: candidates.RoutingRequest,
    targets: readonly candidates.Candidate[],
  ): candidates.Candidate | undefined {
    return targets.reduce<candidates.Candidate | undefined>(
      (best, candidate) => (best && best.inFlight <= candidate.inFlight ? best : candidate),
      undefined,
    );
  }
}
