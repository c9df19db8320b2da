/**
 * A store that answers every call, but late, while a gateway is cut off.
 */
import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

/** Forty times as long as the fastest response of the store; a slow one takes up to sixty times. */
const RESPONSE_MS = 600;
/** The longest pause between two renewals of two gateways: an interval of 516 ms and its jitter. */
const LONGEST_PAUSE_MS = 516 * 1.1;
const NEVER_ABORTED = new AbortController().signal;

describe('while the store is slow', () => {
  let system: systems.TestSystem;
  let responseMs: number;

  beforeEach(() => {
    jest.useFakeTimers();
    responseMs = 0;
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2'].forEach((id) => system.addReplica(id));
    system.addReplica('p1', { isPlain: true });
    const transact = system.store.transact.bind(system.store);
    jest.spyOn(system.store, 'transact').mockImplementation(async (...call) => {
      await time.pause(responseMs);
      return transact(...call);
    });
    const read = system.store.read.bind(system.store);
    jest.spyOn(system.store, 'read').mockImplementation(async (...call) => {
      await time.pause(responseMs);
      return read(...call);
    });
  });

  afterEach(async () => {
    responseMs = 0;
    await system.stopAll();
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  it('the job of a gateway that is cut off goes on at another one and is listed', async () => {
    const connectivity = { first: createConnectivity(), second: createConnectivity() };
    const first = await system.start('vm-1', 'vm-1-first', connectivity.first);
    const second = await system.start('vm-2', 'vm-2-first', connectivity.second);
    await time.advance(3000);
    const job = systems.createJob('job', 1, 4);
    job.items.forEach(({ id }) => system.replicas.eventCounts.set(id, 200));
    await time.settle(first.jobs.submit(job));
    await time.advance(1000);
    const isFirstOwner = first.jobs.openCount === 1;
    const [cut, other]: [systems.Connectivity, gateway.Gateway] = isFirstOwner
      ? [connectivity.first, second]
      : [connectivity.second, first];
    responseMs = RESPONSE_MS;
    await time.advance(3000);
    cut.isIsolated = true;
    await time.advance(20_000);
    const answer = await time.settle(other.jobs.results.read('job', 0, 0, NEVER_ABORTED), 5000);
    expect(answer.isOk && answer.value.results.length).toBe(job.items.length);
  });

  it('a gateway renews its row once in the time of one call and the pause', async () => {
    await system.start('vm-1');
    await system.start('vm-2');
    await time.advance(3000);
    responseMs = RESPONSE_MS;
    await time.advance(3000);
    const transact = jest.mocked(system.store.transact);
    transact.mockClear();
    await time.advance(10_000);
    const renewals = transact.mock.calls.filter(([{ writes }]) =>
      writes.some(({ table, key }) => table === 'members' && key === 'vm-1'),
    );
    const expected = Math.floor(10_000 / (RESPONSE_MS + LONGEST_PAUSE_MS));
    expect(renewals.length).toBeGreaterThanOrEqual(expected);
  });
});

function createConnectivity(): systems.Connectivity {
  return { isDirectCut: false, isIsolated: false };
}
