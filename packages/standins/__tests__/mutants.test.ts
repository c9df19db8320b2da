import * as path from 'node:path';
import * as arenas from './matrix/arena';
import type * as checker from './matrix/checker';
import * as faults from './matrix/faults';

const TIMEOUT_MS = 180_000;
const FAULTS = ['cut after the hand-over, before the answer', 'cut in the middle of the answer'];

/** Each mechanism switched off, and the promise that must be seen to break. */
const MUTANTS: [string, string][] = [
  ['label-names-first-version', 'labels are true'],
  ['staleness-not-checked', 'no sample beyond the bound'],
  ['held-groups-ignored', 'each sample once'],
  ['broken-answer-passed-on', 'whole answers'],
  ['every-refusal-says-not-run', '"not run" is true'],
  ['claims-always-granted', 'at most once'],
  ['leaving-not-announced', 'leaving targets get no work'],
  ['answers-cut-at-stop', 'planned stops lose nothing'],
  ['revision-not-applied', 'changes are in force'],
  ['operators-not-compared', 'changes do not conflict'],
];

async function runMutant(flags: readonly string[]): Promise<checker.Violation[]> {
  const arena = await arenas.Arena.create(flags, 0);
  try {
    const planned = await arena.runPlannedStops();
    const struck = faults.OTHER_FAULTS.filter((fault) => FAULTS.includes(fault.name));
    const faulty = await arena.run(struck);
    return [...planned.violations, ...faulty.violations];
  } finally {
    await arena.stop();
  }
}

describe('mutants', () => {
  it(
    'keeps every promise when nothing is switched off',
    async () => {
      expect(await runMutant([])).toEqual([]);
    },
    TIMEOUT_MS,
  );

  it.each(MUTANTS)(
    'is caught when switched off: %s',
    async (mutant, promise) => {
      const file = path.join(__dirname, 'mutants', `${mutant}.js`);
      const violations = await runMutant(['--require', file]);
      expect(violations.map((violation) => violation.promise)).toContain(promise);
    },
    TIMEOUT_MS,
  );
});
