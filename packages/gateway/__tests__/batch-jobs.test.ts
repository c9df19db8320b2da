import type * as gateway from '@azureworks/gateway';
import * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/test-system';
import * as gatewayChoices from '../src/jobs/gateway-choice';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;

async function readAll(from: gateway.Gateway, id: string): Promise<readonly gateway.ItemResult[]> {
  const answer = await from.jobs.results.read(id, 0, 0, NEVER_ABORTED);
  if (!answer.isOk) throw new Error(answer.failure.message);
  return answer.value.results;
}

function expectAllCompleted(results: readonly gateway.ItemResult[], job: gateway.BatchJob): void {
  expect([...results.map((result) => result.itemId)].sort()).toEqual(
    job.items.map((item) => item.id).sort(),
  );
  results.forEach((result) => {
    expect(result.state).toBe('completed');
    expect(result.text).toBe(fakeReplicas.createText(result.itemId, 10));
    expect(result.score).toBe(`signature of score-${result.itemId}`);
  });
}

/** A job of two items that the gateway on `vm` runs, if it is one of three. */
function createJobFor(vm: string, oldestVersion: number): gateway.BatchJob {
  const vms = ['vm-1', 'vm-2', 'vm-3'];
  const candidates = vms.map((candidate) => ({ vm: candidate, capacity: 1 }));
  const models = Array.from({ length: 100 }, (_unused, index) => `model-${index}`);
  const model = models.find((name) => gatewayChoices.chooseGateway(name, candidates)?.vm === vm);
  return { ...systems.createJob('job', 1, 2, oldestVersion), model: model ?? '' };
}

describe('batch jobs', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  it('lists every item once, complete, with versions and score, at every gateway', async () => {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    const job = systems.createJob('job', 3, 4);
    expect((await time.settle(first.jobs.submit(job))).isOk).toBe(true);
    await time.advance(3000);
    const results = await time.settle(readAll(first, 'job'));
    expectAllCompleted(results, job);
    results.forEach((result) => expect(result.versions).toEqual([1]));
    expect(await time.settle(readAll(second, 'job'))).toEqual(results);
  });

  it('accepts a job once when it is submitted repeatedly and at several gateways', async () => {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    const job = systems.createJob('job', 1, 2);
    const answers = [first.jobs.submit(job), second.jobs.submit(job), first.jobs.submit(job)];
    const ends = await time.settle(Promise.all(answers));
    expect(ends.map((end) => end.isOk)).toEqual([true, true, true]);
    await time.advance(2000);
    expect(system.replicas.runs).toHaveLength(2);
  });

  it('accepts a job and runs it once when the answer to its first write is lost', async () => {
    const first = await system.start('vm-1');
    system.store.faults.loseAnswers = 1;
    const job = systems.createJob('job', 1, 2);
    expect((await time.settle(first.jobs.submit(job))).isOk).toBe(true);
    await time.advance(2000);
    expectAllCompleted(await time.settle(readAll(first, 'job')), job);
    expect(system.replicas.runs).toHaveLength(2);
  });

  it('refuses a job as not run only when no write of it can take effect later', async () => {
    const first = await system.start('vm-1');
    system.store.faults.isRefusing = true;
    const refused = await time.settle(first.jobs.submit(systems.createJob('refused', 1, 2)));
    expect(refused).toMatchObject({ isOk: false, failure: { code: 'store-unavailable' } });
    system.store.faults.isRefusing = false;
    await time.advance(10_000);
    expect(system.store.inspect('jobs')).toHaveLength(0);

    system.store.faults.applyLate = 1000;
    system.store.faults.applyDelayMs = 20_000;
    const unknown = await time.settle(first.jobs.submit(systems.createJob('unknown', 1, 2)));
    expect(unknown).toMatchObject({ isOk: false, failure: { code: 'outcome-unknown' } });
  });

  it('runs a job whose write took effect after the caller got outcome-unknown', async () => {
    const first = await system.start('vm-1');
    system.store.faults.applyLate = 1000;
    system.store.faults.applyDelayMs = 4000;
    const job = systems.createJob('late', 1, 2);
    const answer = await time.settle(first.jobs.submit(job));
    expect(answer).toMatchObject({ isOk: false, failure: { code: 'outcome-unknown' } });
    system.store.faults.applyLate = 0;
    await time.advance(12_000);
    expectAllCompleted(await time.settle(readAll(first, 'late')), job);
  });

  it('continues the texts that a stopping gateway left, without repeating an event', async () => {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    const job = systems.createJob('job', 1, 3);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 30));
    system.replicas.eventCounts.set('job-0', 3);
    await time.settle(first.jobs.submit(job));
    // The append of one result is in flight while the other texts are still growing.
    system.store.faults.slowMs = 150;
    await time.advance(100);
    first.prepareStop(time.GRACE_PERIOD_MS);
    await time.settle(first.releaseJobs());
    system.store.faults.slowMs = 0;
    await time.settle(first.stop());
    await time.advance(3000);
    const results = await time.settle(readAll(second, 'job'));
    results
      .filter((result) => result.itemId !== 'job-0')
      .forEach((result) => {
        expect(result.text).toBe(fakeReplicas.createText(result.itemId, 30));
      });
    expect(results).toHaveLength(3);
    expect(system.replicas.runs.some((run) => run.afterEvent !== undefined)).toBe(true);
  });

  it('generates a text from its beginning when replicas do not continue one', async () => {
    const first = await system.start('vm-1');
    ['e1', 'e2', 'e3'].forEach((id) => {
      system.replicas.getBehaviour(id).ignoresResume = true;
      system.replicas.getBehaviour(id).breakAfterEvents = 4;
    });
    const job = systems.createJob('job', 1, 2);
    await time.settle(first.jobs.submit(job));
    await time.advance(300);
    ['e1', 'e2', 'e3'].forEach((id) => {
      system.replicas.getBehaviour(id).breakAfterEvents = undefined;
    });
    await time.advance(8000);
    expectAllCompleted(await time.settle(readAll(first, 'job')), job);
    expect(system.replicas.runs.length).toBeLessThan(20);
  });

  it('continues the checkpointed texts when the gateway dies', async () => {
    const connectivity = { isDirectCut: false, isIsolated: false };
    const first = await system.start('vm-1', 'vm-1-first', connectivity);
    const second = await system.start('vm-2');
    const job = systems.createJob('job', 1, 2);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 200));
    await time.settle(first.jobs.submit(job));
    await time.advance(2500);
    connectivity.isIsolated = true;
    const before = system.replicas.runs.length;
    await time.advance(4500);
    const later = system.replicas.runs.slice(before);
    expect(later.length).toBeGreaterThanOrEqual(2);
    later.forEach((run) => expect(run.afterEvent).toBeGreaterThan(40));
    await time.advance(5000);
    const results = await time.settle(readAll(second, 'job'));
    results.forEach((result) => {
      expect(result.text).toBe(fakeReplicas.createText(result.itemId, 200));
    });
    expect(results).toHaveLength(2);
  });

  it('takes over the jobs of the former process on its VM at once', async () => {
    const connectivity = { isDirectCut: false, isIsolated: false };
    const former = await system.start('vm-1', 'vm-1-first', connectivity);
    const job = systems.createJob('job', 1, 2);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 100));
    await time.settle(former.jobs.submit(job));
    await time.advance(200);
    connectivity.isIsolated = true;
    await system.start('vm-1', 'vm-1-second');
    await time.advance(300);
    const owner = JSON.parse(
      system.store
        .inspect('jobs')
        .find((row) => row.key === 'head')
        ?.value.toString() ?? '{}',
    ) as { readonly owner: { readonly incarnation: string } };
    expect(owner.owner.incarnation).toBe('vm-1-second');
  });

  it('appends results through a peer when its VM cannot reach the store directly', async () => {
    const connectivity = { isDirectCut: false };
    const first = await system.start('vm-1', 'vm-1-first', connectivity);
    await system.start('vm-2');
    await time.advance(1500);
    connectivity.isDirectCut = true;
    const job = systems.createJob('job', 1, 4);
    expect((await time.settle(first.jobs.submit(job))).isOk).toBe(true);
    await time.advance(5000);
    expect(first.jobs.openCount).toBe(0);
    expectAllCompleted(await time.settle(readAll(first, 'job')), job);
    expect(system.replicas.runs).toHaveLength(4);
  });

  it('runs all jobs of a model on one gateway, wherever they are submitted', async () => {
    const all = [
      await system.start('vm-1'),
      await system.start('vm-2'),
      await system.start('vm-3'),
    ];
    await time.advance(1500);
    const runners: number[] = [];
    for (const [index, accepting] of all.entries()) {
      const job = systems.createJob(`job-${index}`, 1, 4);
      expect((await time.settle(accepting.jobs.submit(job))).isOk).toBe(true);
      await time.advance(60);
      runners.push(all.findIndex((candidate) => candidate.jobs.has(job.id)));
      const started = time.nowMs();
      const reading = accepting.jobs.results.read(job.id, 0, 1000, NEVER_ABORTED);
      const answer = await time.settle(reading);
      expect(answer.isOk && answer.value.results.length).toBeGreaterThan(0);
      expect(time.nowMs() - started).toBeLessThan(500);
      await time.advance(1000);
      expectAllCompleted(await time.settle(readAll(accepting, job.id)), job);
    }
    expect(new Set(runners).size).toBe(1);
    expect(runners[0]).toBeGreaterThanOrEqual(0);
  });

  it('passes a job that is assigned to a stopping gateway to another', async () => {
    const all = [
      await system.start('vm-1'),
      await system.start('vm-2'),
      await system.start('vm-3'),
    ];
    await time.advance(1500);
    const first = systems.createJob('first', 1, 1);
    await time.settle(all[0].jobs.submit(first));
    await time.advance(100);
    const runner = all.find((candidate) => candidate.jobs.has('first'))!;
    const accepting = all.find((candidate) => candidate !== runner)!;
    // The accepting gateway does not know yet that the other is about to stop.
    runner.prepareStop(time.GRACE_PERIOD_MS);
    const job = systems.createJob('second', 1, 2);
    await time.settle(accepting.jobs.submit(job));
    await time.settle(runner.releaseJobs());
    // Shorter than the interval at which the rows of the members are read.
    await time.advance(300);
    expect(all.some((candidate) => candidate.jobs.has('second'))).toBe(true);
    await time.advance(1000);
    expect(runner.jobs.has('second')).toBe(false);
    expectAllCompleted(await time.settle(readAll(accepting, 'second')), job);
  });

  it('starts an assigned job soon when the store did not answer as its notice came', async () => {
    const others = [await system.start('vm-2'), await system.start('vm-3')];
    const submitting = await system.start('vm-1');
    await time.advance(1500);
    const read = system.store.read.bind(system.store);
    const silentUntilMs = time.nowMs() + 300;
    jest
      .spyOn(system.store, 'read')
      .mockImplementation((range) =>
        range.partition === 'job' && time.nowMs() < silentUntilMs
          ? Promise.resolve({ status: 'not-done', reason: 'busy' })
          : read(range),
      );
    await time.settle(submitting.jobs.submit(createJobFor('vm-2', 1)));
    await time.advance(1500);
    expect(others[0]?.jobs.has('job')).toBe(true);
    expect(system.replicas.runs).toHaveLength(2);
    jest.restoreAllMocks();
  });

  it('keeps the positions of results when two gateways both act as the owner', async () => {
    const connectivity = { isDirectCut: false, isIsolated: false };
    const first = await system.start('vm-1', 'vm-1-first', connectivity);
    const second = await system.start('vm-2');
    const job = systems.createJob('job', 2, 4);
    job.items.forEach((item, index) => system.replicas.eventCounts.set(item.id, 20 + index * 20));
    await time.settle(first.jobs.submit(job));
    await time.advance(900);
    const early = await time.settle(readAll(first, 'job'));
    expect(early.length).toBeGreaterThan(0);
    connectivity.isIsolated = true;
    await time.advance(3000);
    connectivity.isIsolated = false;
    await time.advance(12_000);
    const results = await time.settle(readAll(second, 'job'));
    expect(results.slice(0, early.length)).toEqual(early);
    expect(new Set(results.map((result) => result.itemId)).size).toBe(8);
    expect(results).toHaveLength(8);
    expect(await time.settle(readAll(first, 'job'))).toEqual(results);
  });

  it('answers unknown-job only after the store was read', async () => {
    const first = await system.start('vm-1');
    const missing = await time.settle(first.jobs.results.read('nowhere', 0, 0, NEVER_ABORTED));
    expect(missing).toMatchObject({ isOk: false, failure: { code: 'unknown-job' } });
    system.store.faults.isRefusing = true;
    const unsure = await time.settle(first.jobs.results.read('nowhere', 0, 0, NEVER_ABORTED));
    expect(unsure).toMatchObject({ isOk: false, failure: { code: 'store-unavailable' } });
  });

  it('does not answer that there are no results once another gateway may run the job', async () => {
    const first = await system.start('vm-1');
    const job = systems.createJob('job', 1, 2);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 1000));
    await time.settle(first.jobs.submit(job));
    system.store.faults.isRefusing = true;
    await time.advance(2500);
    const unsure = await time.settle(first.jobs.results.read('job', 0, 0, NEVER_ABORTED));
    expect(unsure).toMatchObject({ isOk: false, failure: { code: 'store-unavailable' } });
  });

  it('stops all runs soon after the job was ended at another gateway', async () => {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    const job = systems.createJob('job', 1, 4);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 1000));
    await time.settle(first.jobs.submit(job));
    await time.advance(200);
    expect((await time.settle(second.jobs.end('job'))).isOk).toBe(true);
    expect((await time.settle(first.jobs.end('job'))).isOk).toBe(true);
    await time.advance(200);
    expect(first.jobs.openCount).toBe(0);
    const runs = system.replicas.runs.length;
    await time.advance(5000);
    expect(system.replicas.runs).toHaveLength(runs);
    const body = await time.settle(second.jobs.results.readBody('job', 'job-0'));
    expect(body).toMatchObject({ isOk: false, failure: { code: 'unknown-item' } });
  });

  /** Starts a job with a short and a long item; returns the gateway that runs it, and another. */
  async function startJobWithShortAndLongItem(): Promise<{
    readonly owner: gateway.Gateway;
    readonly other: gateway.Gateway;
  }> {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    system.replicas.eventCounts.set('job-0', 3);
    system.replicas.eventCounts.set('job-1', 500);
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
    const owner = first.jobs.has('job') ? first : second;
    return { owner, other: owner === first ? second : first };
  }

  it('shows results whose append had lost its answer when the job was ended', async () => {
    const { owner, other } = await startJobWithShortAndLongItem();
    system.store.faults.loseAnswers = 1;
    await time.advance(60);
    // The append of the first result took effect, and the owner does not know it yet.
    expect(system.store.inspect('results')).toHaveLength(1);
    await time.settle(other.jobs.end('job'));
    await time.advance(1000);
    const results = await time.settle(readAll(other, 'job'));
    expect(results.map((result) => result.itemId)).toEqual(['job-0']);
    expect(await time.settle(readAll(owner, 'job'))).toEqual(results);
  });

  it('shows results whose append has no answer yet', async () => {
    const { owner, other } = await startJobWithShortAndLongItem();
    system.store.faults.loseAnswers = 6;
    await time.advance(60);
    const results = await time.settle(readAll(other, 'job'));
    expect(results.map((result) => result.itemId)).toEqual(['job-0']);
    expect(await time.settle(readAll(owner, 'job'))).toEqual(results);
  });

  it('does not start a job that it already runs', async () => {
    const first = await system.start('vm-1');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
    const row = system.store.inspect('jobs').find((candidate) => candidate.key === 'head');
    const head = JSON.parse(row?.value.toString() ?? '') as never;
    await time.settle(first.jobs.takeOver('job', { head, revision: row?.revision ?? 0 }));
    await time.advance(2000);
    expect(system.replicas.runs).toHaveLength(2);
  });

  function listJobRows(): readonly gateway.Row[] {
    return ['jobs', 'results', 'partials', 'notices', 'open'].flatMap((table) =>
      system.store.inspect(table),
    );
  }

  // The results of a step went a minute after the time for which they had to be kept, read or not.
  it('keeps a finished job until its trainer ends it, however late', async () => {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
    await time.advance(400_000);
    expect(await time.settle(readAll(first, 'job'))).toHaveLength(2);
    expect(await time.settle(readAll(second, 'job'))).toHaveLength(2);
    expect((await time.settle(second.jobs.end('job'))).isOk).toBe(true);
    expect((await time.settle(first.jobs.end('job'))).isOk).toBe(true);
    await time.advance(90_000);
    expect(listJobRows()).toHaveLength(0);
  });

  it('removes a job from the store once callers can no longer read it', async () => {
    const first = await system.start('vm-1');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
    await time.advance(3000);
    expect((await time.settle(first.jobs.end('job'))).isOk).toBe(true);
    await time.advance(107_000);
    expect(await time.settle(readAll(first, 'job'))).toHaveLength(2);
    await time.advance(90_000);
    expect(listJobRows()).toHaveLength(0);
  });

  it('removes a job that was ended while the store gave no answer to its removal', async () => {
    const first = await system.start('vm-1');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
    await time.advance(3000);
    expect((await time.settle(first.jobs.end('job'))).isOk).toBe(true);
    await time.advance(150_000);
    system.store.faults.isRefusing = true;
    await time.advance(60_000);
    system.store.faults.isRefusing = false;
    await time.advance(90_000);
    expect(listJobRows()).toHaveLength(0);
  });

  // The gateway that ran the job and the one that ended it both remove its rows, and repeat a removal that failed.
  it('does not remove a job that was submitted under the id of one that it removes late', async () => {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
    await time.advance(3000);
    expect((await time.settle(second.jobs.end('job'))).isOk).toBe(true);
    expect((await time.settle(first.jobs.end('job'))).isOk).toBe(true);
    await time.advance(100_000);
    ['jobs', 'results', 'partials', 'notices', 'open'].forEach((table) =>
      system.store.inspect(table).forEach(({ partition, key }) => {
        system.store.remove(table, partition, key);
      }),
    );
    await time.advance(30_000);
    expect((await time.settle(second.jobs.submit(systems.createJob('job', 1, 2)))).isOk).toBe(true);
    await time.advance(90_000);
    expect(system.store.inspect('jobs')).not.toEqual([]);
  });

  it('returns the body of an item without a result, at every gateway', async () => {
    const first = await system.start('vm-1');
    const second = await system.start('vm-2');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
    for (const from of [first, second]) {
      const body = await time.settle(from.jobs.results.readBody('job', 'job-1'));
      expect(body).toMatchObject({ isOk: true, value: Buffer.from('body of job-1') });
    }
  });

  it('does not run an item on weights that are older than the job accepts', async () => {
    system.addReplica('e4', { version: 2 });
    const first = await system.start('vm-1');
    const job = systems.createJob('job', 1, 3, 2);
    await time.settle(first.jobs.submit(job));
    await time.advance(3000);
    const results = await time.settle(readAll(first, 'job'));
    expect(results).toHaveLength(3);
    results.forEach((result) => expect(result.versions).toEqual([2]));
    expect(new Set(system.replicas.runs.map((run) => run.replica))).toEqual(new Set(['e4']));
  });

  it('trusts the weights version in an answer over the one in the row of the replica', async () => {
    const first = await system.start('vm-1');
    system.store.write(
      'replicas',
      '',
      'e1',
      JSON.stringify({ service: 'engines', version: 3, isDraining: false }),
    );
    system.addReplica('e4', { version: 3 });
    const job = systems.createJob('job', 1, 8, 3);
    await time.settle(first.jobs.submit(job));
    await time.advance(4000);
    const results = await time.settle(readAll(first, 'job'));
    expect(results).toHaveLength(8);
    results.forEach((result) => expect(result.versions).toEqual([3]));
  });

  // A late order took a replica back under running texts, and the first event of that version was part of them.
  it('leaves events of weights that are older than the job accepts out of a text that it continues', async () => {
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id, { version: 3 }));
    const first = await system.start('vm-1');
    const job = systems.createJob('job', 1, 8, 3);
    await time.settle(first.jobs.submit(job));
    await time.advance(100);
    ['e1', 'e2', 'e3'].forEach((id) => system.replicas.versions.set(id, 2));
    await time.advance(500);
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id, { version: 4 }));
    await time.advance(8000);
    const results = await time.settle(readAll(first, 'job'));
    expectAllCompleted(results, job);
    results.forEach((result) => expect(Math.min(...(result.versions ?? []))).toBeGreaterThan(2));
    expect(results.some((result) => result.versions?.length === 2)).toBe(true);
  });

  // The row of a replica went for newer than its answers, and each item was sent to it thousands of times.
  it('sends no item again to a replica whose answers tell older weights than its row', async () => {
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id, { version: 3 }));
    ['e1', 'e2', 'e3'].forEach((id) => system.replicas.versions.set(id, 2));
    const first = await system.start('vm-1');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 8, 3)));
    await time.advance(1000);
    expect(system.replicas.runs.length).toBeLessThanOrEqual(8);
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id, { version: 4 }));
    await time.advance(1000);
    const results = await time.settle(readAll(first, 'job'));
    results.forEach((result) => expect(result.versions).toEqual([4]));
    expect(results).toHaveLength(8);
  });

  it('lists an item as terminated when its lifetime is over', async () => {
    system.configure(systems.createConfiguration(2, { itemLifetimeMs: 2000 }));
    const first = await system.start('vm-1');
    const job = systems.createJob('job', 1, 2, 9);
    await time.settle(first.jobs.submit(job));
    await time.advance(1500);
    expect(await time.settle(readAll(first, 'job'))).toHaveLength(0);
    await time.advance(2500);
    const results = await time.settle(readAll(first, 'job'));
    expect(results.map((result) => result.state)).toEqual(['terminated', 'terminated']);
  });

  it('gives no item up early that a gateway submitted which never reached the store directly', async () => {
    const connectivity = { isDirectCut: true, seeds: ['vm-2:1'] };
    const others = [await system.start('vm-2'), await system.start('vm-3')];
    const submitting = await system.start('vm-1', 'vm-1-first', connectivity);
    await time.advance(3000);
    const job = createJobFor('vm-2', 9);
    expect((await time.settle(submitting.jobs.submit(job))).isOk).toBe(true);
    await time.advance(3000);
    expect(await time.settle(readAll(others[0], 'job'))).toEqual([]);
    expect(others[0].jobs.openCount).toBe(1);
  });

  it('gives no item up early that a gateway submitted whose clock is behind', async () => {
    const connectivity = { isDirectCut: false, clockBehindMs: 60_000 };
    const others = [await system.start('vm-2'), await system.start('vm-3')];
    const submitting = await system.start('vm-1', 'vm-1-first', connectivity);
    await time.advance(3000);
    const job = createJobFor('vm-2', 9);
    expect((await time.settle(submitting.jobs.submit(job))).isOk).toBe(true);
    await time.advance(39_000);
    expect(await time.settle(readAll(others[0], 'job'))).toEqual([]);
    expect(others[0].jobs.openCount).toBe(1);
    await time.advance(3000);
    const results = await time.settle(readAll(others[0], 'job'));
    expect(results.map((result) => result.state)).toEqual(['terminated', 'terminated']);
  });

  it('gives no item up early when a gateway takes the job over whose submitter was behind', async () => {
    const submitter = { isDirectCut: false, clockBehindMs: 60_000 };
    const owner = { isDirectCut: false, isDead: false, isIsolated: false };
    const other = await system.start('vm-3');
    await system.start('vm-2', 'vm-2-first', owner);
    const submitting = await system.start('vm-1', 'vm-1-first', submitter);
    await time.advance(3000);
    const job = createJobFor('vm-2', 9);
    expect((await time.settle(submitting.jobs.submit(job))).isOk).toBe(true);
    owner.isDead = true;
    submitter.clockBehindMs = 0;
    await time.advance(25_000);
    expect(await time.settle(readAll(other, 'job'))).toEqual([]);
    expect([other, submitting].map((one) => one.jobs.openCount).sort()).toEqual([0, 1]);
  });

  it('gives no item up early when a gateway first reaches the store through peers, then directly', async () => {
    const connectivity = { isDirectCut: true, seeds: ['vm-9:1'] };
    const first = await system.start('vm-1', 'vm-1-first', connectivity);
    await time.advance(3000);
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2, 9)));
    await time.advance(1000);
    connectivity.isDirectCut = false;
    await time.advance(10_000);
    expect(await time.settle(readAll(first, 'job'))).toEqual([]);
    expect(first.jobs.openCount).toBe(1);
  });

  it('keeps the items of a job while its route is missing', async () => {
    system.configure(systems.createConfiguration(2, { itemLifetimeMs: 2000 }));
    const first = await system.start('vm-1');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2, 9)));
    await time.advance(500);
    system.configure(systems.createConfiguration(3, { hasNoRollout: true }));
    await time.advance(6000);
    expect(await time.settle(readAll(first, 'job'))).toEqual([]);
    system.configure(systems.createConfiguration(4));
    await time.advance(6000);
    expect(await time.settle(readAll(first, 'job'))).toEqual([]);
  });

  it('counts only the failed answers of its own runs', async () => {
    const countRuns = (): number => system.replicas.runs.length;
    ['e1', 'e2', 'e3'].forEach((id) => {
      system.replicas.getBehaviour(id).failedStreams = 100;
      system.replicas.getBehaviour(id).streamFailureMs = 200;
    });
    const owner = { isDirectCut: false, isDead: false };
    const first = await system.start('vm-1', 'vm-1-first', owner);
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 1)));
    await time.advance(300);
    expect(countRuns()).toBe(2);
    owner.isDead = true;
    const runsBefore = countRuns();
    const second = await system.start('vm-1', 'vm-1-second');
    await time.advance(3000);
    const results = await time.settle(readAll(second, 'job'));
    expect(results.map((result) => result.state)).toEqual(['terminated']);
    expect(countRuns() - runsBefore).toBe(3);

    // The same item in a later job is not charged with the failures in the earlier one.
    const runsOfFirstJob = countRuns();
    await time.settle(second.jobs.submit({ ...systems.createJob('job', 1, 1), id: 'later' }));
    await time.advance(4000);
    expect(countRuns() - runsOfFirstJob).toBe(3);
  });

  it('allows the lifetime of an earlier configuration when a newer one shortens it', async () => {
    system.configure(systems.createConfiguration(2, { itemLifetimeMs: 20_000 }));
    const first = await system.start('vm-1');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 2, 9)));
    await time.advance(3000);
    system.configure(systems.createConfiguration(3, { itemLifetimeMs: 2000 }));
    await time.advance(10_000);
    expect(await time.settle(readAll(first, 'job'))).toEqual([]);
    await time.advance(10_000);
    const results = await time.settle(readAll(first, 'job'));
    expect(results.map((result) => result.state)).toEqual(['terminated', 'terminated']);
  });

  it('allows the attempts of an earlier configuration when a newer one has fewer', async () => {
    system.configure(systems.createConfiguration(2, { maximumAttempts: 4 }));
    ['e1', 'e2', 'e3'].forEach((id) => {
      system.replicas.getBehaviour(id).failedStreams = 3;
    });
    system.replicas.getBehaviour('e1').streamFailureMs = 300;
    const first = await system.start('vm-1');
    const job = systems.createJob('job', 1, 1);
    await time.settle(first.jobs.submit(job));
    await time.advance(50);
    system.configure(systems.createConfiguration(3, { maximumAttempts: 1 }));
    await time.advance(3000);
    const results = await time.settle(readAll(first, 'job'));
    expect(results.map((result) => result.state)).toEqual(['terminated']);
    expect(system.replicas.runs).toHaveLength(4);
  });

  it('gives up scoring only after as many failures as the route allows attempts', async () => {
    system.configure(systems.createConfiguration(2, { maximumAttempts: 4 }));
    ['p1', 'p2'].forEach((id) => {
      system.replicas.getBehaviour(id).status = 500;
    });
    const first = await system.start('vm-1');
    const job = systems.createJob('job', 1, 1);
    await time.settle(first.jobs.submit(job));
    await time.advance(3000);
    const results = await time.settle(readAll(first, 'job'));
    expect(results.map((result) => result.state)).toEqual(['terminated']);
    expect(system.replicas.calls.length).toBeGreaterThanOrEqual(4);

    // With one replica left, each call has one failure.
    system.store.remove('replicas', '', 'p2');
    const calls = system.replicas.calls.length;
    await time.settle(first.jobs.submit(systems.createJob('second', 1, 1)));
    await time.advance(3000);
    expect(await time.settle(readAll(first, 'second'))).toHaveLength(1);
    expect(system.replicas.calls.length - calls).toBeGreaterThanOrEqual(4);
  });

  it('continues on another replica when one falls silent, and ejects that one for a while', async () => {
    const first = await system.start('vm-1');
    const job = systems.createJob('job', 2, 4);
    system.replicas.getBehaviour('e1').isSilent = true;
    await time.settle(first.jobs.submit(job));
    await time.advance(3000);
    expectAllCompleted(await time.settle(readAll(first, 'job')), job);
    const silent = system.replicas.runs.filter((run) => run.replica === 'e1');
    const asked = new Set(silent.map((run) => run.startedMs));
    expect(asked.size).toBe(1);
  });
});
