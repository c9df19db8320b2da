import type * as gateway from '@azureworks/gateway';
import * as gatewayChoices from '../src/jobs/gateway-choice';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const VMS = ['vm-1', 'vm-2'];
/** An item that starts later than this after the end of its job breaks a rule. */
const CANCEL_MS = 3000;
/** Longer than the retries of a submission and the search for its outcome. */
const FOLLOW_MS = 12_000;
/** How long the rows of the items take to arrive, as those of a large job do. */
const LOADING_MS = 800;

/** A job that the gateway on `vm` runs. */
function createJobFor(vm: string): gateway.BatchJob {
  const candidates = VMS.map((candidate) => ({ vm: candidate, capacity: 1 }));
  const models = Array.from({ length: 100 }, (_unused, index) => `model-${index}`);
  const model = models.find((name) => gatewayChoices.chooseGateway(name, candidates)?.vm === vm);
  return { ...systems.createJob('job', 1, 4), model: model ?? '' };
}

/** The value of the head row that a transaction writes. */
function findHeadWrite(transaction: gateway.Transaction): string | undefined {
  return transaction.writes
    .find(({ partition, key }) => `${partition}/${key}` === 'job/head')
    ?.value.toString();
}

// A job was started by a head that was read before its end, and ran to its end.
describe('a job that was ended before its gateway starts it', () => {
  let system: systems.TestSystem;
  let connectivity: { isDirectCut: boolean; isIsolated: boolean };
  let runner: gateway.Gateway;
  let other: gateway.Gateway;

  beforeEach(async () => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
    connectivity = { isDirectCut: false, isIsolated: false };
    runner = await system.start('vm-1', 'vm-1-first', connectivity);
    other = await system.start('vm-2');
    await time.advance(3000);
  });

  afterEach(async () => {
    await system.stopAll();
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  /** Delays the answers to all reads of items by LOADING_MS. */
  function slowLoading(): void {
    const read = system.store.read.bind(system.store);
    jest.spyOn(system.store, 'read').mockImplementation(async (range) => {
      const outcome = await read(range);
      if (range.from?.startsWith('items')) await time.pause(LOADING_MS);
      return outcome;
    });
  }

  /** Calls `act` once the first transaction that writes the head of the job was carried out. */
  function afterHeadWrite(act: () => Promise<unknown>): void {
    const transact = system.store.transact.bind(system.store);
    let isWritten = false;
    jest.spyOn(system.store, 'transact').mockImplementation(async (transaction) => {
      const outcome = await transact(transaction);
      if (isWritten || !findHeadWrite(transaction)) return outcome;
      isWritten = true;
      await act();
      return outcome;
    });
  }

  /**
   * The store carries out the first submission of the runner but does not answer it, nor carry out its
   * repetitions; nor does it list open jobs, until the returned function is called.
   */
  function loseSubmission(): () => void {
    const transact = system.store.transact.bind(system.store);
    const listPartitions = system.store.listPartitions.bind(system.store);
    let attempts = 0;
    let isLost = true;
    jest.spyOn(system.store, 'transact').mockImplementation(async (transaction) => {
      const isOfRunner = findHeadWrite(transaction)?.includes('"writeId":"vm-1') === true;
      if (!isLost || !isOfRunner) return transact(transaction);
      attempts += 1;
      if (attempts === 1) await transact(transaction);
      return { status: 'unknown', reason: 'no answer' };
    });
    jest.spyOn(system.store, 'listPartitions').mockImplementation(async (table) => {
      if (!isLost) return listPartitions(table);
      await time.pause(10);
      return { status: 'not-done', reason: 'no answer' };
    });
    return () => {
      isLost = false;
    };
  }

  async function expectNoRuns(durationMs: number): Promise<void> {
    await time.advance(durationMs);
    expect(system.replicas.runs).toEqual([]);
  }

  // The submitter polled for the outcome and took the job over although it was ended.
  it('is not run after a submission without an answer', async () => {
    const answerAgain = loseSubmission();
    const job = createJobFor('vm-1');
    const answer = await time.settle(runner.jobs.submit(job));
    expect(answer).toMatchObject({ isOk: false, failure: { code: 'outcome-unknown' } });
    expect((await time.settle(other.jobs.submit(job))).isOk).toBe(true);
    expect((await time.settle(other.jobs.end('job'))).isOk).toBe(true);
    answerAgain();
    await expectNoRuns(FOLLOW_MS);
  });

  // The notice of the end was forgotten, as the gateway did not hold the job yet.
  it('is not run when the notice comes before the answer to the submission', async () => {
    afterHeadWrite(async () => {
      await other.jobs.end('job');
      await time.pause(LOADING_MS);
    });
    expect((await time.settle(runner.jobs.submit(createJobFor('vm-1')))).isOk).toBe(true);
    await expectNoRuns(CANCEL_MS);
  });

  it('is not run when the end comes while an assigned job is loaded', async () => {
    slowLoading();
    expect((await time.settle(other.jobs.submit(createJobFor('vm-1')))).isOk).toBe(true);
    expect((await time.settle(other.jobs.end('job'))).isOk).toBe(true);
    await expectNoRuns(CANCEL_MS);
  });

  it('is not run when the end comes while the search loads the job', async () => {
    connectivity.isIsolated = true;
    expect((await time.settle(other.jobs.submit(createJobFor('vm-1')))).isOk).toBe(true);
    slowLoading();
    connectivity.isIsolated = false;
    await time.advance(LOADING_MS / 2);
    system.store.dropHistory();
    expect((await time.settle(other.jobs.end('job'))).isOk).toBe(true);
    await expectNoRuns(CANCEL_MS);
  });

  it('is not run when the end comes while a released job is loaded', async () => {
    expect((await time.settle(runner.jobs.submit(createJobFor('vm-1')))).isOk).toBe(true);
    await time.advance(100);
    slowLoading();
    runner.prepareStop(time.GRACE_PERIOD_MS);
    await time.settle(runner.releaseJobs());
    const runs = system.replicas.runs.length;
    expect((await time.settle(runner.jobs.end('job'))).isOk).toBe(true);
    await time.advance(CANCEL_MS);
    expect(system.replicas.runs).toHaveLength(runs);
  });

  it('is not run when the feed does not tell the end', async () => {
    slowLoading();
    jest.spyOn(runner.jobs, 'onJobEnded').mockImplementation(() => {});
    expect((await time.settle(other.jobs.submit(createJobFor('vm-1')))).isOk).toBe(true);
    expect((await time.settle(other.jobs.end('job'))).isOk).toBe(true);
    await expectNoRuns(CANCEL_MS);
  });
});

// A gateway that stops while the store answers its submission would keep the job until it counts as gone.
describe('a job that is accepted while its gateway begins to stop', () => {
  it('is released for another gateway at once', async () => {
    jest.useFakeTimers();
    const system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    system.addReplica('e1');
    system.addReplica('p1', { isPlain: true });
    const job = createJobFor('vm-1');
    job.items.forEach(({ id }) => system.replicas.eventCounts.set(id, 400));
    const runner = await system.start('vm-1');
    await system.start('vm-2');
    await time.advance(3000);
    system.store.faults.slowMs = 200;
    const submission = runner.jobs.submit(job);
    await time.advance(50);
    runner.prepareStop(time.GRACE_PERIOD_MS);
    await time.settle(runner.releaseJobs());
    expect((await time.settle(submission)).isOk).toBe(true);
    system.store.faults.slowMs = 0;
    await time.advance(1000);
    expect(system.replicas.runs.length).toBeGreaterThan(0);
    expect(runner.jobs.openCount).toBe(0);
    await system.stopAll();
    jest.useRealTimers();
  });
});
