/**
 * Which requests of a whole gateway are reported.
 */
import * as gateway from '@azureworks/gateway';
import * as standins from '@azureworks/standins';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const KEY = 'the key';

describe('the usage of an organisation', () => {
  let system: systems.TestSystem;
  let started: gateway.Gateway;
  const api = standins.MemoryDutyApi.create({ ...time, checksFences: true, leaseMs: 3000 });

  async function start(isMetered: boolean): Promise<void> {
    jest.useFakeTimers({ now: 1_000_000 });
    system = systems.TestSystem.create();
    const timing = { windowMs: 5000, dueMs: 10_000, callsPerSecond: 50, checksFences: true };
    system.metering = isMetered ? { ...timing, api } : undefined;
    const keyRing = gateway.KeyRing.create([{ name: 'one', keys: [KEY], priority: undefined }]);
    system.configure({ ...systems.createConfiguration(1), keyRing });
    system.addReplica('p1', { isPlain: true });
    system.addReplica('e1');
    started = await system.start('vm-1');
  }

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  async function send(path: string): Promise<void> {
    const request = { id: path, method: 'POST', target: path, host: systems.HOST, headers: [] };
    const reply = started.handle(
      {
        request: { ...request, body: Buffer.alloc(0) },
        path,
        deadlineMs: undefined,
        receivedMs: time.nowMs(),
        signal: new AbortController().signal,
        afterEvent: undefined,
        key: KEY,
      },
      { begin: () => {}, receive: () => {} },
    );
    await time.settle(reply);
  }

  it('consists of its plain and streaming requests, without jobs and their scoring calls', async () => {
    await start(true);
    await send('/plain/1');
    await send('/plain/2');
    await send('/stream/1');
    await time.settle(started.jobs.submit(systems.createJob('job', 1, 2)));
    await time.advance(15_000);
    expect(system.replicas.calls.length).toBeGreaterThanOrEqual(4);
    const counts = new Map(api.calls.map((call) => [call.windowNo, call.counts.one ?? 0]));
    expect([...counts.values()].reduce((sum, count) => sum + count, 0)).toBe(3);
    expect(system.store.inspect('members')[0]?.value.toString()).toContain('clockOffsetMs');
  });

  it('leaves no trace where the deployment reports none', async () => {
    await start(false);
    await send('/plain/1');
    await time.advance(10_000);
    expect(system.store.inspect('usage')).toEqual([]);
    expect(system.store.inspect('leases').map(({ partition }) => partition)).toEqual(['weights']);
    expect(system.store.inspect('members')[0]?.value.toString()).not.toContain('clockOffsetMs');
  });
});
