/**
 * Drives gateways on one store through random orders of submissions, readings, ends, stops, cuts
 * and store failures, and compares what callers are told with a simple model: a list of results
 * for each job that only grows.
 */
import * as fastCheck from 'fast-check';
import type * as gateway from '@azureworks/gateway';
import * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/small-system';
import * as time from './support/virtual-time';

const NEVER = new AbortController().signal;
const VMS = 3;
/** Calls may go on for this long while the store fails, in milliseconds. */
const LIMIT_MS = 15_000;
/** Lengths of the items of a job: some are whole at once, some after several seconds. */
const EVENTS = [5, 40, 150, 300];
/** Lapses of members, looks for open jobs and the items of all jobs fit into it several times. */
const QUIET_MS = 40_000;
const LOOK_MS = 400;
const RECENT_JOBS = 2;
const LONG_LIFETIME_MS = 10_000_000;
const SEED = Number(process.env.AZUREWORKS_TEST_SEED ?? 20261204);

/** What callers were told of a job. */
interface KnownJob {
  readonly job: gateway.BatchJob;
  fate: 'accepted' | 'refused' | 'unknown';
  isEnded: boolean;
  readonly seen: gateway.ItemResult[];
}

interface Slot {
  running: gateway.Gateway;
  reach: systems.Reach;
  starts: number;
}

/** What callers know. */
interface Model {
  readonly jobs: KnownJob[];
  version: number;
}

/** The system under test. */
class Trial {
  readonly system = systems.SmallSystem.create();

  readonly slots: Slot[] = [];

  static async create(): Promise<Trial> {
    const trial = new Trial();
    const { system } = trial;
    system.configure(systems.createConfiguration(1, { itemLifetimeMs: LONG_LIFETIME_MS }));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
    for (let index = 0; index < VMS; index += 1) await trial.start(index, 1);
    return trial;
  }

  /** Starts a process on a VM. */
  async start(index: number, starts: number): Promise<void> {
    const reach: systems.Reach = { isCut: false, isAlone: false };
    const running = await this.system.start(`vm-${index}`, `vm-${index}-${starts}`, reach);
    this.slots[index] = { running, reach, starts };
  }

  heal(): void {
    const { faults } = this.system.store;
    Object.assign(faults, { isAway: false, isRefusing: false, loseAnswers: 0, applyLate: 0 });
    faults.slowMs = 0;
    this.slots.forEach(({ reach }) => {
      reach.isCut = false;
      reach.isAlone = false;
    });
  }
}

function settle<Value>(promise: Promise<Value>): Promise<Value> {
  return time.settle(promise, LIMIT_MS);
}

/** Reads a job from a position on and holds the answer against what was read before. */
async function readAndCompare(
  trial: Trial,
  known: KnownJob,
  slot: number,
  position: number,
): Promise<void> {
  const answer = await settle(
    trial.slots[slot].running.jobs.results.read(known.job.id, position, 0, NEVER),
  );
  if (!answer.isOk) {
    // An accepted job exists for as long as it must be readable.
    if (known.fate === 'accepted') expect(answer.failure.code).not.toBe('unknown-job');
    return;
  }
  expect(known.fate).not.toBe('refused');
  expect(answer.value.total).toBe(known.job.items.length);
  const { results } = answer.value;
  expect(results.length).toBeGreaterThanOrEqual(known.seen.length - position);
  results.forEach((result, offset) => {
    const index = position + offset;
    if (index < known.seen.length) expect(result).toEqual(known.seen[index]);
    else known.seen.push(result);
  });
  const ids = known.seen.map((result) => result.itemId);
  expect(new Set(ids).size).toBe(ids.length);
}

type Command = fastCheck.AsyncCommand<Model, Trial>;

/** A step that is possible at any time. */
function createStep(name: string, act: Command['run']): Command {
  return { check: () => true, run: act, toString: () => name };
}

function pick(model: Model, choice: number): KnownJob | undefined {
  return model.jobs[choice % Math.max(1, model.jobs.length)];
}

const slotChoice = fastCheck.nat({ max: VMS - 1 });
const jobChoice = fastCheck.nat({ max: 50 });

const submissions = slotChoice.map((slot) =>
  createStep(`submit at ${slot}`, async (model, trial) => {
    const job = systems.createJob(`job-${model.jobs.length}`, 2, 2);
    const known: KnownJob = { job, fate: 'unknown', isEnded: false, seen: [] };
    model.jobs.push(known);
    job.items.forEach((item, index) => trial.system.replicas.lengths.set(item.id, EVENTS[index]));
    const answer = await settle(trial.slots[slot].running.jobs.submit(job));
    if (answer.isOk) known.fate = 'accepted';
    else if (answer.failure.verdict === 'not-run') known.fate = 'refused';
  }),
);

const readings = fastCheck
  .tuple(slotChoice, jobChoice, fastCheck.nat({ max: 4 }))
  .map(([slot, choice, position]) =>
    createStep(`read ${choice} from ${position} at ${slot}`, async (model, trial) => {
      const known = pick(model, choice);
      if (known) await readAndCompare(trial, known, slot, Math.min(position, known.seen.length));
    }),
  );

const ends = fastCheck.tuple(slotChoice, jobChoice).map(([slot, choice]) =>
  createStep(`end ${choice} at ${slot}`, async (model, trial) => {
    const known = pick(model, choice);
    if (!known || known.fate !== 'accepted') return;
    // Whatever the answer, it may be in force from now on.
    known.isEnded = true;
    const answer = await settle(trial.slots[slot].running.jobs.end(known.job.id));
    if (!answer.isOk) expect(answer.failure.code).not.toBe('unknown-job');
  }),
);

const restarts = fastCheck.tuple(slotChoice, fastCheck.boolean()).map(([slot, isPlanned]) =>
  createStep(`${isPlanned ? 'stop' : 'kill'} ${slot}`, async (_model, trial) => {
    const { running, reach, starts } = trial.slots[slot];
    if (isPlanned) {
      running.prepareStop();
      await settle(running.release());
      await settle(running.stop());
    }
    reach.isDead = true;
    await trial.start(slot, starts + 1);
  }),
);

const cuts = fastCheck
  .tuple(slotChoice, fastCheck.boolean(), fastCheck.integer({ min: 500, max: 8000 }))
  .map(([slot, isAlone, durationMs]) =>
    createStep(
      `vm ${slot} cut off${isAlone ? ' from all' : ''} for ${durationMs} ms`,
      async (_model, trial) => {
        const { reach } = trial.slots[slot];
        Object.assign(reach, { isCut: true, isAlone });
        time.pause(durationMs).then(() => {
          Object.assign(reach, { isCut: false, isAlone: false });
        });
      },
    ),
  );

const storeFaults = fastCheck
  .record({
    isAway: fastCheck.boolean(),
    isRefusing: fastCheck.constantFrom(false, false, true),
    loseAnswers: fastCheck.nat({ max: 3 }),
    applyLate: fastCheck.nat({ max: 3 }),
    lateMs: fastCheck.integer({ min: 100, max: 4000 }),
    slowMs: fastCheck.constantFrom(0, 0, 50, 400),
  })
  .map((faults) =>
    createStep(`store ${JSON.stringify(faults)}`, async (_model, trial) => {
      Object.assign(trial.system.store.faults, faults);
    }),
  );

const forgettings = fastCheck.constant(
  createStep('history dropped', async (_model, trial) => trial.system.store.dropHistory()),
);

const healings = fastCheck.constant(
  createStep('all well', async (_model, trial) => {
    trial.heal();
  }),
);

const namings = fastCheck.constant(
  createStep('version named', async (model, trial) => {
    model.version += 1;
    trial.system.store.write('operator', '', 'weights', `model=${model.version}`);
  }),
);

/** Callers read again and again while time passes. */
const pauses = fastCheck
  .tuple(slotChoice, fastCheck.integer({ min: 1, max: 16 }))
  .map(([slot, looks]) =>
    createStep(`look ${looks} times at ${slot}`, async (model, trial) => {
      for (let look = 0; look < looks; look += 1) {
        await time.pass(LOOK_MS);
        const recent = model.jobs.slice(-RECENT_JOBS);
        for (const known of recent) await readAndCompare(trial, known, slot, 0);
      }
    }),
  );

/** Once all is well again, every accepted job is whole, and no refused one was run. */
async function compareAtEnd(model: Model, trial: Trial): Promise<void> {
  trial.heal();
  await time.pass(QUIET_MS);
  for (const known of model.jobs) {
    await readAndCompare(trial, known, 0, 0);
    if (known.fate === 'accepted' && !known.isEnded) {
      expect(known.seen).toHaveLength(known.job.items.length);
    }
    known.seen.forEach((result) => {
      expect(result.state).toBe('completed');
      const index = known.job.items.findIndex((item) => item.id === result.itemId);
      expect(result.text).toBe(fakeReplicas.createText(result.itemId, EVENTS[index]));
    });
  }
  const refused = model.jobs
    .filter((known) => known.fate === 'refused')
    .flatMap((known) => known.job.items.map((item) => item.id));
  const ran = new Set(trial.system.replicas.runs.map((run) => run.itemId));
  expect(refused.filter((id) => ran.has(id))).toEqual([]);
}

/** One holder for each fencing number, and no order after one of a later holder. */
function expectOneHolder(orders: fakeReplicas.FakeReplicas['orders']): void {
  const holders = new Map<number, string>();
  let highest = 0;
  orders.forEach(({ fence, holder }) => {
    expect(holders.get(fence) ?? holder).toBe(holder);
    holders.set(fence, holder);
    expect(fence).toBeGreaterThanOrEqual(highest);
    highest = fence;
  });
}

describe('rows under lost and late writes', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('lose no accepted job, list no item twice, move no position, and have one order giver', async () => {
    const steps = fastCheck.commands(
      [
        submissions,
        submissions,
        readings,
        readings,
        pauses,
        cuts,
        cuts,
        ends,
        restarts,
        cuts,
        storeFaults,
        storeFaults,
        healings,
        forgettings,
        namings,
      ],
      { maxCommands: 30, size: 'max' },
    );
    await fastCheck.assert(
      fastCheck.asyncProperty(steps, async (commands) => {
        const model: Model = { jobs: [], version: 1 };
        const trial = await Trial.create();
        await fastCheck.asyncModelRun(() => ({ model, real: trial }), commands);
        await compareAtEnd(model, trial);
        expectOneHolder(trial.system.replicas.orders);
        await trial.system.stopAll();
      }),
      { seed: SEED, numRuns: Number(process.env.AZUREWORKS_TEST_RUNS ?? 40), endOnFailure: true },
    );
  }, 600_000);
});
