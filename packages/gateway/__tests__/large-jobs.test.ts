import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;
const MEBIBYTE = 1024 * 1024;
/** More than a gateway holds of one job. */
const ITEMS = 3000;
/** The events of an item, and how long the replicas take for one. */
const EVENTS = 2;
const EVENT_MS = 1;
const SLOW_READ_MS = 300;
/** So that reading what a gateway holds of the job takes many reads. */
const LONG_BODY_BYTES = 3000;

async function readAll(from: gateway.Gateway, id: string): Promise<gateway.ItemResult[]> {
  const results: gateway.ItemResult[] = [];
  for (;;) {
    const answer = await time.settle(from.jobs.results.read(id, results.length, 0, NEVER_ABORTED));
    if (!answer.isOk) throw new Error(answer.failure.message);
    if (answer.value.results.length === 0) return results;
    results.push(...answer.value.results);
  }
}

describe('a job with more items than a gateway holds', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1, { itemLifetimeMs: 1_000_000 }));
    Array.from({ length: 12 }, (_unused, index) => `e${index}`).forEach((id) => {
      system.addReplica(id);
      system.replicas.getBehaviour(id).eventMs = EVENT_MS;
    });
    ['p1', 'p2', 'p3', 'p4'].forEach((id) => {
      system.addReplica(id, { isPlain: true });
      system.replicas.getBehaviour(id).answerMs = 1;
    });
  });

  afterEach(async () => {
    await system.stopAll();
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  function createJob(): gateway.BatchJob {
    const job = systems.createJob('job', ITEMS / 4, 4);
    job.items.forEach(({ id }) => system.replicas.eventCounts.set(id, EVENTS));
    return job;
  }

  async function runToEnd(at: gateway.Gateway): Promise<void> {
    for (let waits = 0; waits < 100 && at.jobs.openCount > 0; waits += 1) await time.advance(500);
    expect(at.jobs.openCount).toBe(0);
  }

  it('is run as a whole, and each item is listed once', async () => {
    const runner = await system.start('vm-1');
    const job = createJob();
    expect((await time.settle(runner.jobs.submit(job))).isOk).toBe(true);
    await time.advance(1000);
    await runToEnd(runner);
    const listed = (await readAll(runner, 'job')).map(({ itemId }) => itemId);
    expect(listed.sort()).toEqual(job.items.map(({ id }) => id).sort());
  });

  // Items that were done while the reads after theirs were in flight were scored and listed again.
  it('is listed once when the reads of its items take long', async () => {
    const runner = await system.start('vm-1');
    const read = system.store.read.bind(system.store);
    jest.spyOn(system.store, 'read').mockImplementation(async (range) => {
      const outcome = await read(range);
      if (range.from?.startsWith('items')) await time.pause(SLOW_READ_MS);
      return outcome;
    });
    const transact = system.store.transact.bind(system.store);
    jest.spyOn(system.store, 'transact').mockImplementation(async (transaction) => {
      if (transaction.writes.some(({ table }) => table === 'results'))
        await time.pause(SLOW_READ_MS);
      return transact(transaction);
    });
    const job = createJob();
    const items = job.items.map((item) => ({ ...item, body: Buffer.alloc(LONG_BODY_BYTES) }));
    expect((await time.settle(runner.jobs.submit({ ...job, items }))).isOk).toBe(true);
    await time.advance(5000);
    await runToEnd(runner);
    const listed = (await readAll(runner, 'job')).map(({ itemId }) => itemId);
    expect(listed.sort()).toEqual(job.items.map(({ id }) => id).sort());
  });

  it('is accepted again without a write', async () => {
    const runner = await system.start('vm-1');
    const other = await system.start('vm-2');
    const job = createJob();
    const items = job.items.map((item) => ({ ...item, body: Buffer.alloc(LONG_BODY_BYTES) }));
    expect((await time.settle(runner.jobs.submit({ ...job, items }))).isOk).toBe(true);
    const transact = jest.spyOn(system.store, 'transact');
    expect((await time.settle(other.jobs.submit({ ...job, items }))).isOk).toBe(true);
    const written = transact.mock.calls.flatMap(([{ writes }]) => writes.map(({ key }) => key));
    expect(written.filter((key) => key.startsWith('items'))).toEqual([]);
  });

  it('is finished by another gateway when its gateway is gone', async () => {
    const connectivity: systems.Connectivity = { isDirectCut: false };
    const first = await system.start('vm-1', 'vm-1-first', connectivity);
    const job = createJob();
    expect((await time.settle(first.jobs.submit(job))).isOk).toBe(true);
    await time.advance(1500);
    connectivity.isDead = true;
    const next = await system.start('vm-2');
    await time.advance(10_000);
    await runToEnd(next);
    const listed = (await readAll(next, 'job')).map(({ itemId }) => itemId);
    expect(listed.sort()).toEqual(job.items.map(({ id }) => id).sort());
  });

  it('gives the body of each item, held or not', async () => {
    const runner = await system.start('vm-1');
    const other = await system.start('vm-2');
    const job = createJob();
    expect((await time.settle(runner.jobs.submit(job))).isOk).toBe(true);
    for (const at of [runner, other]) {
      const last = `job-${ITEMS - 1}`;
      const body = await time.settle(at.jobs.results.readBody('job', last));
      expect(body).toEqual({ isOk: true, value: Buffer.from(`body of ${last}`) });
    }
  });
});

describe('the memory of batch jobs', () => {
  let system: systems.TestSystem;
  let runner: gateway.Gateway;

  beforeEach(async () => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2'].forEach((id) => system.addReplica(id));
    system.addReplica('p1', { isPlain: true });
    runner = await system.start('vm-1');
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function createLargeJob(id: string, bodyBytes: number): gateway.BatchJob {
    const job = systems.createJob(id, 1, 4);
    return { ...job, items: job.items.map((item) => ({ ...item, body: Buffer.alloc(bodyBytes) })) };
  }

  /** Runs a job for a while and ends it. */
  async function endWithTexts(id: string): Promise<void> {
    const job = systems.createJob(id, 1, 8);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 400));
    expect((await time.settle(runner.jobs.submit(job))).isOk).toBe(true);
    await time.advance(500);
    expect((await time.settle(runner.jobs.end(id))).isOk).toBe(true);
  }

  function getHeldBytes(): number {
    return system.getMemory('vm-1').heldBytes;
  }

  // The items of closed jobs were held until their rows were removed, three minutes later.
  it('is given back when they are finished or ended', async () => {
    const job = createLargeJob('job', MEBIBYTE);
    expect((await time.settle(runner.jobs.submit(job))).isOk).toBe(true);
    await time.advance(100);
    expect(getHeldBytes()).toBeGreaterThan(4 * MEBIBYTE);
    await time.advance(3000);
    expect(getHeldBytes()).toBeLessThan(MEBIBYTE / 4);

    const ended = createLargeJob('ended', MEBIBYTE);
    ended.items.forEach(({ id }) => system.replicas.eventCounts.set(id, 400));
    expect((await time.settle(runner.jobs.submit(ended))).isOk).toBe(true);
    await time.advance(100);
    expect((await time.settle(runner.jobs.end('ended'))).isOk).toBe(true);
    expect(getHeldBytes()).toBeLessThan(MEBIBYTE / 4);
  });

  // A gateway took jobs over without end while others of their size ran there.
  it('is what a job waits for in the store', async () => {
    const held = system.getMemory('vm-1').tryTake(time.MEMORY_BYTES - 10 * MEBIBYTE);
    const job = createLargeJob('job', MEBIBYTE);
    expect((await time.settle(runner.jobs.submit(job))).isOk).toBe(true);
    await time.advance(5000);
    expect(system.replicas.runs).toHaveLength(0);
    expect(system.getMemory('vm-1').heldBytes).toBe(held?.bytes);
    held?.release();
    await time.advance(5000);
    expect(system.replicas.runs).toHaveLength(4);
    expect(runner.jobs.openCount).toBe(0);
  });

  // Further items were read only when results of the same job were listed, however long its items took.
  it('is used for the other items of a job as soon as it is free again', async () => {
    const held = system.getMemory('vm-1').tryTake(time.MEMORY_BYTES - 22 * MEBIBYTE);
    const job = createLargeJob('job', 2 * MEBIBYTE);
    job.items.forEach(({ id }) => system.replicas.eventCounts.set(id, 400));
    expect((await time.settle(runner.jobs.submit(job))).isOk).toBe(true);
    await time.advance(2000);
    const started = system.replicas.runs.length;
    expect(started).toBeGreaterThan(0);
    expect(started).toBeLessThan(4);
    held?.release();
    await time.advance(1000);
    expect(system.replicas.runs).toHaveLength(4);
  });

  // The texts of ended jobs were kept for later jobs, and left no room for a job that was open.
  it('is not kept from a job by the texts of jobs that were ended', async () => {
    system.replicas.eventBytes = 20_000;
    const ids = Array.from({ length: 30 }, (_unused, index) => `ended-${index}`);
    for (const id of ids) await endWithTexts(id);
    system.replicas.eventBytes = 0;
    expect(getHeldBytes()).toBeGreaterThan(time.MEMORY_BYTES / 2);
    const runs = system.replicas.runs.length;
    const job = createLargeJob('job', 8 * MEBIBYTE);
    expect((await time.settle(runner.jobs.submit(job))).isOk).toBe(true);
    await time.advance(3000);
    expect(system.replicas.runs).toHaveLength(runs + 4);
    expect(runner.jobs.openCount).toBe(0);
  });

  // The texts of items had no end: valid events were kept as fast as they came.
  it('does not hold more events of an item than it has output tokens', async () => {
    const job = systems.createJob('job', 1, 2);
    const items = job.items.map((item) => ({ ...item, maximumOutputTokens: 50 }));
    system.replicas.eventCounts.set('job-0', 20_000);
    system.replicas.eventCounts.set('job-1', 50);
    ['e1', 'e2'].forEach((id) => Object.assign(system.replicas.getBehaviour(id), { eventMs: 1 }));
    expect((await time.settle(runner.jobs.submit({ ...job, items }))).isOk).toBe(true);
    await time.advance(4000);
    expect(getHeldBytes()).toBeLessThan(MEBIBYTE / 10);
    const partials = system.store.inspect('partials');
    partials.forEach(({ value }) => {
      const { events } = JSON.parse(value.toString()) as { readonly events: readonly string[] };
      expect(events.length).toBeLessThanOrEqual(50);
    });
    const results = await readAll(runner, 'job');
    expect(results.map(({ itemId }) => itemId)).toEqual(['job-1']);
    // The next run of the item does not go on with what came without end.
    system.replicas.eventCounts.set('job-0', 10);
    await time.advance(12_000);
    expect((await readAll(runner, 'job')).map(({ itemId }) => itemId)).toEqual(['job-1', 'job-0']);
  });
});
