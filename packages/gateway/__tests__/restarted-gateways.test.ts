import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const MODELS = Array.from({ length: 12 }, (_unused, index) => `model-${index}`);
/** How long a gateway waits for an answer of the store, and when a call without one takes effect. */
const CALL_TIMEOUT_MS = 1200;
const LATE_EFFECT_MS = 3000;

// A notice of the former process was attributed to the present one, which then got no work from there.
describe('a gateway that was stopped and started again', () => {
  let system: systems.TestSystem;
  let isNoticeFeedHeld: boolean;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    system.addReplica('e1');
    system.addReplica('p1', { isPlain: true });
    isNoticeFeedHeld = false;
    const waitForChanges = system.store.waitForChanges.bind(system.store);
    jest.spyOn(system.store, 'waitForChanges').mockImplementation(async (...call) => {
      const outcome = await waitForChanges(...call);
      while (isNoticeFeedHeld && call[0] === 'notices') await time.pause(50);
      return outcome;
    });
  });

  afterEach(async () => {
    await system.stopAll();
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  async function submitAt(at: gateway.Gateway, round: string): Promise<void> {
    for (const model of MODELS) {
      await time.settle(at.jobs.submit({ ...systems.createJob(`${round}-${model}`, 1, 1), model }));
    }
    await time.advance(200);
  }

  async function restart(first: gateway.Gateway): Promise<gateway.Gateway> {
    first.prepareStop();
    await time.settle(first.releaseJobs());
    await time.settle(first.stop());
    return system.start('vm-1', 'vm-1-second');
  }

  it.each([
    ['in calm', false],
    ['that was out of step meanwhile', true],
  ])('gets new jobs from a gateway %s', async (_when, isOutOfStep) => {
    const connectivity = { isDirectCut: false, isIsolated: false };
    const first = await system.start('vm-1');
    const other = await system.start('vm-2', 'vm-2-first', connectivity);
    await time.advance(1500);
    system.replicas.getBehaviour('e1').isSilent = true;
    await submitAt(other, 'before');
    expect(first.jobs.openCount).toBeGreaterThan(0);
    connectivity.isIsolated = isOutOfStep;
    isNoticeFeedHeld = isOutOfStep;
    const second = await restart(first);
    await time.advance(2500);
    connectivity.isIsolated = false;
    await time.advance(1500);
    isNoticeFeedHeld = false;
    await time.advance(7000);
    const openBefore = second.jobs.openCount;
    await submitAt(other, 'after');
    expect(second.jobs.openCount).toBeGreaterThan(openBefore);
  });

  it.each([
    ['at once', false],
    ['late', true],
  ])('keeps its jobs when its former process is removed %s', async (_when, isLate) => {
    const transact = system.store.transact.bind(system.store);
    jest.spyOn(system.store, 'transact').mockImplementation(async (transaction) => {
      const isRemoval = transaction.removals.some(({ table }) => table === 'members');
      if (!isLate || !isRemoval) return transact(transaction);
      time.pause(LATE_EFFECT_MS).then(() => transact(transaction));
      await time.pause(CALL_TIMEOUT_MS);
      return { status: 'unknown', reason: 'no answer' };
    });
    const first = await system.start('vm-1');
    const other = await system.start('vm-2');
    await time.advance(1500);
    system.replicas.getBehaviour('e1').isSilent = true;
    const second = await restart(first);
    await time.advance(1000);
    await submitAt(second, 'own');
    const counts = [second.jobs.openCount, other.jobs.openCount];
    expect(Math.min(...counts)).toBeGreaterThan(0);
    await time.advance(LATE_EFFECT_MS + 2000);
    expect([second.jobs.openCount, other.jobs.openCount]).toEqual(counts);
  });
});
