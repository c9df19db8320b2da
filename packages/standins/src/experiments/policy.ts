/**
 * Routing and admission under load, over the pure decisions, with seeded load in simulated time.
 * The project's policy and the well-known ones run on the same arrivals.
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
  createScenario('failure domain gone at 0.6x', { load: 0.6, targetsGone: 2 }),
  createScenario('reports 5 s late at 0.8x', { load: 0.8, reportLagMs: 5000 }),
];

function createScenario(
  name: string,
  changes: Partial<simulations.Scenario>,
): simulations.Scenario {
  const usual = { load: 1, reportLagMs: 500, firstTargetSpeed: 1, targetsGone: 0 };
  return { name, ...usual, ...changes };
}

/** Runs every scenario with every contender. */
export function comparePolicies(seed: number): simulations.PolicyResult[] {
  return SCENARIOS.flatMap((scenario) =>
    createContenders(seed).map((contender) =>
      simulations.Simulation.create(scenario, contender, seed).run(),
    ),
  );
}

/** The project's own way first, then the baselines. */
export function createContenders(seed: number): simulations.Contender[] {
  const baselines = [
    decisions.RoundRobinPolicy.create(),
    decisions.RandomPolicy.create(decisions.SeededRandom.create(seed + 1)),
    decisions.TwoChoicesPolicy.create(decisions.SeededRandom.create(seed + 2)),
    decisions.LeastRequestsPolicy.create(),
  ];
  return [
    { policy: decisions.AffinityPolicy.create(), isAdmitting: true, hasRetryBudget: true },
    ...baselines.map((policy) => ({ policy, isAdmitting: false, hasRetryBudget: false })),
  ];
}

/** The cost of one choice among so many candidates, in microseconds. */
export function measureDecisionCost(seed: number): { candidates: number; microseconds: number }[] {
  const policy = decisions.AffinityPolicy.create();
  const random = decisions.SeededRandom.create(seed);
  return [6, 100, 1000].map((candidates) => {
    const list = Array.from(
      { length: candidates },
      (_, index) => simulations.createTarget(index, 1).candidate,
    );
    const turns = 2_000_000 / candidates;
    const startMs = performance.now();
    for (let turn = 0; turn < turns; turn += 1) {
      policy.choose({ affinityHash: Math.floor(random.next() * 2 ** 32) }, list);
    }
    const microseconds = ((performance.now() - startMs) * MICROSECONDS_PER_MILLISECOND) / turns;
    return { candidates, microseconds };
  });
}
