/**
 * Model-based test: runs gateways on one store through random sequences of submissions, reads,
 * ends, stops, network cuts and store failures, and compares the answers to callers with a simple
 * model: a list of results for each job that only grows. It guards against lost jobs, repeated
 * items and results that change their position when writes are lost or take effect late.
 */
import * as fastCheck from 'fast-check';
import type * as gateway from '@azureworks/gateway';
import * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;
const VM_COUNT = 3;
/** Calls may take this long while the store fails. */
const CALL_TIMEOUT_MS = 15_000;
/** Events of each item of a job: some items complete at once, some after several seconds. */
const EVENT_COUNTS = [5, 40, 150, 300];
/** Several times as long as the expiry of members, searches for open jobs and all items take. */
const RECOVERY_MS = 40_000;
const READ_INTERVAL_MS = 400;
const RECENT_JOBS = 2;
const LONG_LIFETIME_MS = 10_000_000;
const SEED = Number(process.env.AZUREWORKS_TEST_SEED ?? 20261204);

/** What callers were answered about a job. */
interface TrackedJob {
  readonly job: gateway.BatchJob;
  submissionOutcome: 'accepted' | 'refused' | 'unknown';
  isEnded: boolean;
  readonly seenResults: gateway.ItemResult[];
}

interface GatewaySlot {
  runningGateway: gateway.Gateway;
  connectivity: systems.Connectivity;
  startCount: number;
}

/** What callers have been answered so far. */
interface Model {
  readonly jobs: TrackedJob[];
  version: number;
}

/** The system under test: gateways on VMs, with their store and replicas. */
class Cluster {
  readonly system = systems.TestSystem.create();

  readonly slots: GatewaySlot[] = [];

  static async create(): Promise<Cluster> {
    const cluster = new Cluster();
    const { system } = cluster;
    system.configure(systems.createConfiguration(1, { itemLifetimeMs: LONG_LIFETIME_MS }));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
    for (let index = 0; index < VM_COUNT; index += 1) await cluster.start(index, 1);
    return cluster;
  }

  /** Starts a gateway process on a VM. */
  async start(index: number, startCount: number): Promise<void> {
    const connectivity: systems.Connectivity = { isDirectCut: false, isIsolated: false };
    const runningGateway = await this.system.start(
      `vm-${index}`,
      `vm-${index}-${startCount}`,
      connectivity,
    );
    this.slots[index] = { runningGateway, connectivity, startCount };
  }

  clearFaults(): void {
    const { faults } = this.system.store;
    Object.assign(faults, {
      isUnreachable: false,
      isRefusing: false,
      loseAnswers: 0,
      applyLate: 0,
    });
    faults.slowMs = 0;
    this.slots.forEach(({ connectivity }) => {
      connectivity.isDirectCut = false;
      connectivity.isIsolated = false;
    });
  }
}

function settle<Value>(promise: Promise<Value>): Promise<Value> {
  return time.settle(promise, CALL_TIMEOUT_MS);
}

/** Reads a job from a position onwards and compares the answer with earlier ones. */
async function readAndCompare(
  cluster: Cluster,
  tracked: TrackedJob,
  slot: number,
  position: number,
): Promise<void> {
  const answer = await settle(
    cluster.slots[slot].runningGateway.jobs.results.read(
      tracked.job.id,
      position,
      0,
      NEVER_ABORTED,
    ),
  );
  if (!answer.isOk) {
    // An accepted job is never unknown while it must be readable.
    if (tracked.submissionOutcome === 'accepted')
      expect(answer.failure.code).not.toBe('unknown-job');
    return;
  }
  expect(tracked.submissionOutcome).not.toBe('refused');
  expect(answer.value.total).toBe(tracked.job.items.length);
  const { results } = answer.value;
  expect(results.length).toBeGreaterThanOrEqual(tracked.seenResults.length - position);
  results.forEach((result, offset) => {
    const index = position + offset;
    if (index < tracked.seenResults.length) expect(result).toEqual(tracked.seenResults[index]);
    else tracked.seenResults.push(result);
  });
  const ids = tracked.seenResults.map((result) => result.itemId);
  expect(new Set(ids).size).toBe(ids.length);
}

type Command = fastCheck.AsyncCommand<Model, Cluster>;

/** Creates a command that is possible at any time. */
function createCommand(name: string, act: Command['run']): Command {
  return { check: () => true, run: act, toString: () => name };
}

function pickJob(model: Model, jobNumber: number): TrackedJob | undefined {
  return model.jobs[jobNumber % Math.max(1, model.jobs.length)];
}

const slotChoice = fastCheck.nat({ max: VM_COUNT - 1 });
const jobChoice = fastCheck.nat({ max: 50 });

const submissions = slotChoice.map((slot) =>
  createCommand(`submit at ${slot}`, async (model, cluster) => {
    const job = systems.createJob(`job-${model.jobs.length}`, 2, 2);
    const tracked: TrackedJob = {
      job,
      submissionOutcome: 'unknown',
      isEnded: false,
      seenResults: [],
    };
    model.jobs.push(tracked);
    job.items.forEach((item, index) =>
      cluster.system.replicas.eventCounts.set(item.id, EVENT_COUNTS[index]),
    );
    const answer = await settle(cluster.slots[slot].runningGateway.jobs.submit(job));
    if (answer.isOk) tracked.submissionOutcome = 'accepted';
    else if (answer.failure.verdict === 'not-run') tracked.submissionOutcome = 'refused';
  }),
);

const readings = fastCheck
  .tuple(slotChoice, jobChoice, fastCheck.nat({ max: 4 }))
  .map(([slot, jobNumber, position]) =>
    createCommand(`read ${jobNumber} from ${position} at ${slot}`, async (model, cluster) => {
      const tracked = pickJob(model, jobNumber);
      if (tracked)
        await readAndCompare(
          cluster,
          tracked,
          slot,
          Math.min(position, tracked.seenResults.length),
        );
    }),
  );

const ends = fastCheck.tuple(slotChoice, jobChoice).map(([slot, jobNumber]) =>
  createCommand(`end ${jobNumber} at ${slot}`, async (model, cluster) => {
    const tracked = pickJob(model, jobNumber);
    if (!tracked || tracked.submissionOutcome !== 'accepted') return;
    // Whatever the answer, the end may have taken effect.
    tracked.isEnded = true;
    const answer = await settle(cluster.slots[slot].runningGateway.jobs.end(tracked.job.id));
    if (!answer.isOk) expect(answer.failure.code).not.toBe('unknown-job');
  }),
);

const restarts = fastCheck.tuple(slotChoice, fastCheck.boolean()).map(([slot, isPlanned]) =>
  createCommand(`${isPlanned ? 'stop' : 'kill'} ${slot}`, async (_model, cluster) => {
    const { runningGateway, connectivity, startCount } = cluster.slots[slot];
    if (isPlanned) {
      runningGateway.prepareStop(time.GRACE_PERIOD_MS);
      await settle(runningGateway.releaseJobs());
      await settle(runningGateway.stop());
    }
    connectivity.isDead = true;
    await cluster.start(slot, startCount + 1);
  }),
);

const networkCuts = fastCheck
  .tuple(slotChoice, fastCheck.boolean(), fastCheck.integer({ min: 500, max: 8000 }))
  .map(([slot, isIsolated, durationMs]) =>
    createCommand(
      `vm ${slot} cut off${isIsolated ? ' from all' : ''} for ${durationMs} ms`,
      async (_model, cluster) => {
        const { connectivity } = cluster.slots[slot];
        Object.assign(connectivity, { isDirectCut: true, isIsolated });
        time.pause(durationMs).then(() => {
          Object.assign(connectivity, { isDirectCut: false, isIsolated: false });
        });
      },
    ),
  );

const storeFaults = fastCheck
  .record({
    isUnreachable: fastCheck.boolean(),
    isRefusing: fastCheck.constantFrom(false, false, true),
    loseAnswers: fastCheck.nat({ max: 3 }),
    applyLate: fastCheck.nat({ max: 3 }),
    applyDelayMs: fastCheck.integer({ min: 100, max: 4000 }),
    slowMs: fastCheck.constantFrom(0, 0, 50, 400),
  })
  .map((faults) =>
    createCommand(`store ${JSON.stringify(faults)}`, async (_model, cluster) => {
      Object.assign(cluster.system.store.faults, faults);
    }),
  );

const historyDrops = fastCheck.constant(
  createCommand('drop the history of the store', async (_model, cluster) =>
    cluster.system.store.dropHistory(),
  ),
);

const recoveries = fastCheck.constant(
  createCommand('clear all faults', async (_model, cluster) => {
    cluster.clearFaults();
  }),
);

const weightsUpdates = fastCheck.constant(
  createCommand('name a new weights version', async (model, cluster) => {
    model.version += 1;
    cluster.system.store.write('operator', '', 'weights', `model=${model.version}`);
  }),
);

/** Callers read repeatedly while time passes. */
const repeatedReads = fastCheck
  .tuple(slotChoice, fastCheck.integer({ min: 1, max: 16 }))
  .map(([slot, reads]) =>
    createCommand(`read ${reads} times at ${slot}`, async (model, cluster) => {
      for (let read = 0; read < reads; read += 1) {
        await time.advance(READ_INTERVAL_MS);
        const recent = model.jobs.slice(-RECENT_JOBS);
        for (const tracked of recent) await readAndCompare(cluster, tracked, slot, 0);
      }
    }),
  );

/** After all faults are cleared, every accepted job completes and no refused job was run. */
async function compareAtEnd(model: Model, cluster: Cluster): Promise<void> {
  cluster.clearFaults();
  await time.advance(RECOVERY_MS);
  for (const tracked of model.jobs) {
    await readAndCompare(cluster, tracked, 0, 0);
    if (tracked.submissionOutcome === 'accepted' && !tracked.isEnded) {
      expect(tracked.seenResults).toHaveLength(tracked.job.items.length);
    }
    tracked.seenResults.forEach((result) => {
      expect(result.state).toBe('completed');
      const index = tracked.job.items.findIndex((item) => item.id === result.itemId);
      expect(result.text).toBe(fakeReplicas.createText(result.itemId, EVENT_COUNTS[index]));
    });
  }
  const refused = model.jobs
    .filter((tracked) => tracked.submissionOutcome === 'refused')
    .flatMap((tracked) => tracked.job.items.map((item) => item.id));
  const ran = new Set(cluster.system.replicas.runs.map((run) => run.itemId));
  expect(refused.filter((id) => ran.has(id))).toEqual([]);
}

/** Expects one holder for each fencing token, and no order after one with a higher token. */
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

describe('stored jobs and leases under lost and late writes', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('lose no accepted job, list no item twice, move no result, and have one holder of orders', async () => {
    const commandSequences = fastCheck.commands(
      [
        submissions,
        submissions,
        readings,
        readings,
        repeatedReads,
        networkCuts,
        networkCuts,
        ends,
        restarts,
        networkCuts,
        storeFaults,
        storeFaults,
        recoveries,
        historyDrops,
        weightsUpdates,
      ],
      { maxCommands: 30, size: 'max' },
    );
    await fastCheck.assert(
      fastCheck.asyncProperty(commandSequences, async (commands) => {
        const model: Model = { jobs: [], version: 1 };
        const cluster = await Cluster.create();
        await fastCheck.asyncModelRun(() => ({ model, real: cluster }), commands);
        await compareAtEnd(model, cluster);
        expectOneHolder(cluster.system.replicas.orders);
        await cluster.system.stopAll();
      }),
      { seed: SEED, numRuns: Number(process.env.AZUREWORKS_TEST_RUNS ?? 40), endOnFailure: true },
    );
  }, 600_000);
});
