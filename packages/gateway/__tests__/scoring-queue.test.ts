/**
 * Replicas that score texts take fewer calls than the engines produce texts.
 */
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const GROUPS = 6;
const GROUP_SIZE = 8;
const EVENTS = 3;
const SCORING_MS = 400;
/** Slots of the only replica that scores. */
const SLOTS = 4;
const JOB_MS = 12_000;

describe('scoring calls beyond what the replicas take', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    system.addReplica('p1', { isPlain: true });
    system.replicas.getBehaviour('p1').answerMs = SCORING_MS;
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  it('wait at the gateway, so that they neither fill the queues of replicas nor are refused there', async () => {
    const entry = await system.start('vm-1');
    const job = systems.createJob('job', GROUPS, GROUP_SIZE);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, EVENTS));
    await time.settle(entry.jobs.submit(job));
    await time.advance(JOB_MS);
    const startsMs = system.replicas.calls.map(({ startedMs }) => startedMs);
    const countRunning = (atMs: number): number =>
      startsMs.filter((startMs) => startMs <= atMs && atMs < startMs + SCORING_MS).length;
    const most = Math.max(...startsMs.map(countRunning));
    expect(most).toBeLessThanOrEqual(SLOTS);
    expect(system.replicas.calls).toHaveLength(job.items.length);
    const page = await time.settle(
      entry.jobs.results.read('job', 0, 0, new AbortController().signal),
    );
    if (page.isOk) expect(page.value.results).toHaveLength(job.items.length);
  });

  it('do not hold up the calls of another route, whose replicas are free', async () => {
    const entry = await system.start('vm-1');
    system.replicas.getBehaviour('p1').isSilent = true;
    system.addReplica('o1', { isOther: true });
    const [busy, free] = ['busy', 'free'].map((id) => systems.createJob(id, 2, GROUP_SIZE));
    const items = free.items.map((item) => ({
      ...item,
      scoring: item.scoring && { ...item.scoring, path: '/other/score' },
    }));
    [...busy.items, ...items].forEach((item) => {
      system.replicas.eventCounts.set(item.id, EVENTS);
    });
    await time.settle(entry.jobs.submit(busy));
    await time.settle(entry.jobs.submit({ ...free, items }));
    await time.advance(3000);
    const page = await time.settle(
      entry.jobs.results.read('free', 0, 0, new AbortController().signal),
    );
    expect(page).toMatchObject({ isOk: true });
    if (page.isOk) expect(page.value.results).toHaveLength(items.length);
  });

  it('are made for one group after the other, the oldest job first', async () => {
    const entry = await system.start('vm-1');
    const jobs = [systems.createJob('old', 3, GROUP_SIZE), systems.createJob('new', 3, GROUP_SIZE)];
    jobs
      .flatMap((job) => job.items)
      .forEach((item) => system.replicas.eventCounts.set(item.id, EVENTS));
    await time.settle(entry.jobs.submit(jobs[0]));
    await time.settle(entry.jobs.submit(jobs[1]));
    await time.advance(JOB_MS);
    const scored = system.replicas.calls.map(({ id }) => id);
    const lastOld = scored.findLastIndex((id) => id.startsWith('score-old'));
    const newBefore = scored.slice(0, lastOld).filter((id) => id.startsWith('score-new'));
    // Only calls that found a free slot before older texts were complete.
    expect(newBefore.length).toBeLessThanOrEqual(2 * SLOTS);
    expect(scored).toHaveLength(2 * 3 * GROUP_SIZE);
  });
});
