/**
 * Benchmark of routing and admission policies on seeded load in simulated time. The project's own
 * policy and well-known baselines run on the same arrivals.
 */
import * as decisions from '@azureworks/decisions';
import * as simulations from './policy-simulation';

const MICROSECONDS_PER_MILLISECOND = 1000;

/** The scenarios of the benchmark. */
export const SCENARIOS: readonly simulations.Scenario[] = [
  createScenario('unloaded', { load: 0.3 }),
  createScenario('1x', { load: 1 }),
  createScenario('2x', { load: 2 }),
  createScenario('4x', { load: 4 }),
  createScenario('slow target at 0.6x', { load: 0.6, firstTargetSpeed: 0.1 }),
  createScenario('failure domain gone at 0.6x', { load: 0.6, lostTargets: 2 }),
  createScenario('reports 5 s late at 0.8x', { load: 0.8, reportLagMs: 5000 }),
];

function createScenario(
  name: string,
  changes: Partial<simulations.Scenario>,
): simulations.Scenario {
  const defaults = { load: 1, reportLagMs: 500, firstTargetSpeed: 1, lostTargets: 0 };
  return { name, ...defaults, ...changes };
}

/** Runs every scenario with every contender. */
export function comparePolicies(seed: number): simulations.PolicyResult[] {
  return SCENARIOS.flatMap((scenario) =>
    createContenders(seed).map((contender) =>
      simulations.Simulation.create(scenario, contender, seed).run(),
    ),
  );
}

/** The project's own policy first, then baselines without admission control or retry budget. */
export function createContenders(seed: number): simulations.PolicyContender[] {
  const baselines = [
    decisions.RoundRobinPolicy.create(),
    decisions.RandomPolicy.create(decisions.SeededRandom.create(seed + 1)),
    decisions.TwoChoicesPolicy.create(decisions.SeededRandom.create(seed + 2)),
    decisions.LeastRequestsPolicy.create(),
  ];
  return [
    { policy: decisions.AffinityPolicy.create(), hasAdmissionControl: true, hasRetryBudget: true },
    ...baselines.map((policy) => ({ policy, hasAdmissionControl: false, hasRetryBudget: false })),
  ];
}

/** Measures the time of one routing decision by number of candidates, in microseconds. */
export function measureDecisionCost(seed: number): { candidates: number; microseconds: number }[] {
  const policy = decisions.AffinityPolicy.create();
  const random = decisions.SeededRandom.create(seed);
  return [6, 100, 1000].map((candidates) => {
    const candidateList = Array.from(
      { length: candidates },
      (_, index) => simulations.createTarget(index, 1).candidate,
    );
    const decisionCount = 2_000_000 / candidates;
    const startMs = performance.now();
    for (let index = 0; index < decisionCount; index += 1) {
      policy.choose({ affinityHash: Math.floor(random.next() * 2 ** 32) }, candidateList);
    }
    const microseconds =
      ((performance.now() - startMs) * MICROSECONDS_PER_MILLISECOND) / decisionCount;
    return { candidates, microseconds };
  });
}
