import type * as gateway from '@azureworks/gateway';
import * as sendRates from './support/send-rate';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const MODELS = Array.from({ length: 12 }, (_unused, index) => `model-${index}`);
/** How long a gateway waits for an answer of the store, and when a call without one takes effect. */
const CALL_TIMEOUT_MS = 1200;
const LATE_EFFECT_MS = 3000;
/** Replicas that limit their rate, of which each of two gateways issues permits for some. */
const LIMITED = ['p2', 'p3', 'p4', 'p5', 'p6'];
const RATE_LIMIT = 4;
const STEP_MS = 20;

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
    first.prepareStop(time.GRACE_PERIOD_MS);
    await time.settle(first.releaseJobs());
    await time.settle(first.stop());
    return system.start('vm-1', 'vm-1-second');
  }

  /** Restarts the first gateway; the other one may learn of the members before it learns of the stop. */
  async function restartUnnoticed(
    first: gateway.Gateway,
    connectivity: systems.Connectivity,
    isOutOfStep: boolean,
  ): Promise<gateway.Gateway> {
    connectivity.isIsolated = isOutOfStep;
    isNoticeFeedHeld = isOutOfStep;
    const second = await restart(first);
    await time.advance(2500);
    connectivity.isIsolated = false;
    await time.advance(1500);
    isNoticeFeedHeld = false;
    await time.advance(7000);
    return second;
  }

  async function sendTo(to: gateway.Gateway, id: string): Promise<gateway.GatewayReply> {
    return to.handle(
      {
        request: {
          id,
          method: 'POST',
          target: '/plain/x',
          host: systems.HOST,
          headers: [],
          body: Buffer.from(id),
        },
        path: '/plain/x',
        deadlineMs: 800,
        receivedMs: time.nowMs(),
        signal: new AbortController().signal,
        afterEvent: undefined,
      },
      { begin: () => {}, receive: () => {} },
    );
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
    const second = await restartUnnoticed(first, connectivity, isOutOfStep);
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

  it.each([
    ['in calm', false],
    ['with a gateway that was out of step meanwhile', true],
  ])('does not exceed the limits of replicas %s', async (_when, isOutOfStep) => {
    const connectivity = { isDirectCut: false, isIsolated: false };
    const first = await system.start('vm-1');
    const other = await system.start('vm-2', 'vm-2-first', connectivity);
    system.store.remove('replicas', '', 'p1');
    LIMITED.forEach((id) => {
      system.addReplica(id, { isPlain: true });
      system.replicas.getBehaviour(id).rateLimit = RATE_LIMIT;
    });
    await time.advance(1500);
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 1)));
    system.replicas.getBehaviour('e1').isSilent = true;
    await submitAt(other, 'before');
    const second = await restartUnnoticed(first, connectivity, isOutOfStep);
    const startMs = time.nowMs();
    const replies: Promise<gateway.GatewayReply>[] = [];
    for (let elapsedMs = 0; elapsedMs < 14_000; elapsedMs += STEP_MS) {
      replies.push(sendTo(second, `second-${elapsedMs}`), sendTo(other, `other-${elapsedMs}`));
      await time.advance(STEP_MS);
    }
    await time.advance(1000);
    await Promise.all(replies);
    LIMITED.forEach((replica) => {
      const sendsMs = system.replicas.calls
        .filter((call) => call.replica === replica && call.startedMs >= startMs)
        .map((call) => call.startedMs)
        .filter((sentMs) => sentMs >= startMs + sendRates.STABLE_WINDOW_MS);
      expect(sendRates.countMostInWindow(sendsMs)).toBeGreaterThan(0);
      expect(sendRates.countMostInWindow(sendsMs)).toBeLessThanOrEqual(
        sendRates.getAllowance(RATE_LIMIT),
      );
    });
  });
});
