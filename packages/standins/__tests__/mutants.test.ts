import * as path from 'node:path';
import * as testbeds from './matrix/testbed';
import type * as checker from './matrix/checker';
import * as faults from './matrix/faults';

const TIMEOUT_MS = 180_000;
const INJECTED_FAULTS = [
  'cut after the hand-over, before the answer',
  'cut in the middle of the answer',
];

/** The mutants, each with the promise whose violation must be detected and the staleness bound. */
const MUTANTS: [string, string, number][] = [
  ['label-names-first-version', 'labels are true', 2],
  ['staleness-not-checked', 'no sample beyond the bound', 0],
  ['held-groups-ignored', 'each sample once', 2],
  ['broken-answer-passed-on', 'whole answers', 2],
  ['every-refusal-says-not-run', '"not run" is true', 2],
  ['claims-always-granted', 'at most once', 2],
  ['leaving-not-announced', 'leaving targets get no work', 2],
  ['answers-cut-at-stop', 'planned stops lose nothing', 2],
  ['revision-not-applied', 'changes are in force', 2],
  ['operators-not-compared', 'changes do not conflict', 2],
];

async function runMutant(
  flags: readonly string[],
  stalenessBound: number,
): Promise<checker.Violation[]> {
  const testbed = await testbeds.Testbed.create(flags, stalenessBound);
  try {
    const planned = await testbed.runPlannedStops();
    const injected = faults.OTHER_FAULTS.filter((fault) => INJECTED_FAULTS.includes(fault.name));
    const faulty = await testbed.runWithFaults(injected);
    return [...planned.violations, ...faulty.violations];
  } finally {
    await testbed.stop();
  }
}

describe('mutants', () => {
  it.each([0, 2])(
    'keeps every promise when nothing is switched off, with a staleness bound of %i',
    async (stalenessBound) => {
      expect(await runMutant([], stalenessBound)).toEqual([]);
    },
    TIMEOUT_MS,
  );

  it.each(MUTANTS)(
    'is caught when switched off: %s',
    async (mutant, promise, stalenessBound) => {
      const file = path.join(__dirname, 'mutants', `${mutant}.js`);
      const violations = await runMutant(['--require', file], stalenessBound);
      expect(violations.map((violation) => violation.promise)).toContain(promise);
    },
    TIMEOUT_MS,
  );
});
