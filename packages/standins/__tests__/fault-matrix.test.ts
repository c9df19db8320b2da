import * as testbeds from './matrix/testbed';
import * as faults from './matrix/faults';
import * as steps from './matrix/steps';

const ROUND_TIMEOUT_MS = 180_000;

/** By fault, the steps that cannot be attempted under it, with the reason; all others must be. */
const IMPOSSIBLE_CELLS: Readonly<Record<string, Readonly<Record<string, string>>>> = {};

const SINGLE_FAULTS = [...faults.STORE_FAULTS, ...faults.OTHER_FAULTS].map((fault) => [fault]);
const FAULT_PAIRS = faults.OTHER_FAULTS.flatMap((fault) =>
  faults.STORE_FAULTS.map((storeFault) => [fault, storeFault]),
);

function describeFaults(injected: readonly faults.Fault[]): string {
  return injected.map((fault) => fault.name).join(' with ');
}

describe('fault matrix', () => {
  let testbed: testbeds.Testbed;

  beforeAll(async () => {
    testbed = await testbeds.Testbed.create();
  }, ROUND_TIMEOUT_MS);

  afterAll(async () => {
    await testbed.stop();
  }, ROUND_TIMEOUT_MS);

  it(
    'loses nothing in planned stops without any fault',
    async () => {
      const { violations } = await testbed.runPlannedStops();
      expect(violations).toEqual([]);
    },
    ROUND_TIMEOUT_MS,
  );

  const rounds = [...SINGLE_FAULTS, ...FAULT_PAIRS].map(
    (injected) => [describeFaults(injected), injected] as const,
  );

  it.each(rounds)(
    'keeps every promise at every step: %s',
    async (name, injected) => {
      const { violations, activity } = await testbed.runWithFaults(injected);
      expect(violations).toEqual([]);
      const unattempted = Object.entries(steps.STEPS)
        .filter(([step]) => IMPOSSIBLE_CELLS[name]?.[step] === undefined)
        .filter(([, countEvidence]) => countEvidence(activity) === 0)
        .map(([step]) => step);
      expect(unattempted).toEqual([]);
    },
    ROUND_TIMEOUT_MS,
  );
});
