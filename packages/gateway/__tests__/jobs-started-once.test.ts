import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

/** How long the gateway waits for an answer of the store. */
const CALL_TIMEOUT_MS = 1200;
/** An item or its scoring call that is run later than this after the end of its job breaks a rule. */
const CANCEL_MS = 3000;
/** The replicas take 8 s for them. */
const TEXT_EVENTS = 400;

// The search for jobs and the submission both started the job, each without knowing of the other.
describe.each([
  { answer: 'slow', delayMs: 300, isLost: false },
  { answer: 'lost', delayMs: CALL_TIMEOUT_MS, isLost: true },
])('a job that is found before the $answer answer to its submission', ({ delayMs, isLost }) => {
  let system: systems.TestSystem;
  let owner: gateway.Gateway;

  beforeEach(async () => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    system.addReplica('p1', { isPlain: true });
    owner = await system.start('vm-1');
    ['job-0', 'job-1'].forEach((id) => system.replicas.eventCounts.set(id, TEXT_EVENTS));
    const transact = system.store.transact.bind(system.store);
    let isSubmitted = false;
    jest.spyOn(system.store, 'transact').mockImplementation(async (transaction) => {
      const outcome = await transact(transaction);
      const isHead = transaction.writes.some(
        ({ table, key }) => table === 'jobs' && key === 'head',
      );
      if (isSubmitted || !isHead) return outcome;
      isSubmitted = true;
      await time.pause(delayMs);
      return isLost ? { status: 'unknown', reason: 'no answer' } : outcome;
    });
    const submission = owner.jobs.submit(systems.createJob('job', 1, 2));
    await time.advance(100);
    // The gateway reads the notices in full again and then searches for jobs.
    system.store.dropHistory();
    expect((await time.settle(submission)).isOk).toBe(true);
    await time.advance(1000);
  });

  afterEach(async () => {
    await system.stopAll();
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  it('runs each item once', () => {
    expect(system.replicas.runs.map((run) => run.itemId).sort()).toEqual(['job-0', 'job-1']);
  });

  it('scores no item after it was ended', async () => {
    expect((await time.settle(owner.jobs.end('job'))).isOk).toBe(true);
    await time.advance(CANCEL_MS);
    const calls = system.replicas.calls.length;
    await time.advance(TEXT_EVENTS * 20);
    expect(system.replicas.calls.length - calls).toBe(0);
  });
});
