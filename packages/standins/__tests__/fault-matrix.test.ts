import * as arenas from './matrix/arena';
import * as faults from './matrix/faults';
import * as steps from './matrix/steps';

const ROUND_TIMEOUT_MS = 180_000;

/** Cells of the matrix that cannot happen, with the reason; every other cell must show evidence. */
const IMPOSSIBLE: Readonly<Record<string, Readonly<Record<string, string>>>> = {};

const SINGLES = [...faults.STORE_FAULTS, ...faults.OTHER_FAULTS].map((fault) => [fault]);
const PAIRS = faults.OTHER_FAULTS.flatMap((fault) =>
  faults.STORE_FAULTS.map((storeFault) => [fault, storeFault]),
);

function describeFaults(struck: readonly faults.Fault[]): string {
  return struck.map((fault) => fault.name).join(' with ');
}

describe('fault matrix', () => {
  let arena: arenas.Arena;

  beforeAll(async () => {
    arena = await arenas.Arena.create();
  }, ROUND_TIMEOUT_MS);

  afterAll(async () => {
    await arena.stop();
  }, ROUND_TIMEOUT_MS);

  it(
    'loses nothing in planned stops without any fault',
    async () => {
      const { violations } = await arena.runPlannedStops();
      expect(violations).toEqual([]);
    },
    ROUND_TIMEOUT_MS,
  );

  const rounds = [...SINGLES, ...PAIRS].map((struck) => [describeFaults(struck), struck] as const);

  it.each(rounds)(
    'keeps every promise at every step: %s',
    async (name, struck) => {
      const { violations, activity } = await arena.run(struck);
      expect(violations).toEqual([]);
      const unattempted = Object.entries(steps.STEPS)
        .filter(([step]) => IMPOSSIBLE[name]?.[step] === undefined)
        .filter(([, countEvidence]) => countEvidence(activity) === 0)
        .map(([step]) => step);
      expect(unattempted).toEqual([]);
    },
    ROUND_TIMEOUT_MS,
  );
});
