/**
 * All healthy replicas are full, and others that reset every request have free slots.
 */
import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const HEALTHY = ['e1', 'e2', 'e3'];
const RESETTING = ['r1', 'r2'];
const PLAIN = ['p1', 'p2'];
const RESETTING_PLAIN = 'q1';
/** Far more than the healthy replicas have slots for. */
const GROUPS = 6;
const GROUP_SIZE = 8;
const EVENTS = 100;
const EVENT_MS = 20;
const SLOTS = 4;
/** By then each resetting replica has failed often enough to be ejected. */
const FIRST_FAILURES_MS = 100;
/** Ejections last 1, 2 and 4 s: within this time they allow two further requests. */
const LOAD_MS = 6000;
const REQUESTS_ON_PROBATION = 2;

describe('replicas under heavy load', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    [...HEALTHY, ...RESETTING].forEach((id) => system.addReplica(id));
    [...PLAIN, RESETTING_PLAIN].forEach((id) => system.addReplica(id, { isPlain: true }));
    [...RESETTING, RESETTING_PLAIN].forEach((id) => {
      system.replicas.getBehaviour(id).resetsRequests = true;
    });
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  async function submit(entry: gateway.Gateway, groups = GROUPS): Promise<void> {
    const job = systems.createJob('job', groups, GROUP_SIZE);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, EVENTS));
    expect((await time.settle(entry.jobs.submit(job))).isOk).toBe(true);
  }

  function countRuns(ids: readonly string[], sinceMs: number): number {
    const isCounted = ({ replica, startedMs }: { replica: string; startedMs: number }): boolean =>
      ids.includes(replica) && startedMs >= sinceMs;
    return system.replicas.runs.filter(isCounted).length;
  }

  async function sendPlain(entry: gateway.Gateway, id: string): Promise<void> {
    await entry.handle(
      {
        request: {
          id,
          method: 'POST',
          target: '/plain/one',
          host: systems.HOST,
          headers: [],
          body: Buffer.from(id),
        },
        path: '/plain/one',
        deadlineMs: 3000,
        receivedMs: time.nowMs(),
        signal: new AbortController().signal,
        afterEvent: undefined,
      },
      { begin: () => {}, receive: () => {} },
    );
  }

  // Items that filled the only free slots, those of the ejected replicas, made 2,975 of 3,456 runs break off.
  it('send no items to ejected replicas while the healthy ones are full', async () => {
    const entry = await system.start('vm-1');
    await submit(entry);
    await time.advance(FIRST_FAILURES_MS);
    const sinceMs = time.nowMs();
    await time.advance(LOAD_MS);
    RESETTING.forEach((id) => {
      expect(countRuns([id], sinceMs)).toBeLessThanOrEqual(REQUESTS_ON_PROBATION);
    });
    expect(countRuns(HEALTHY, 0)).toBeGreaterThanOrEqual(GROUPS * GROUP_SIZE * 0.75);
    const figures = system.getMetrics('vm-1').format();
    expect(figures).toMatch(/items_waiting\{reason="room only at ejected"\} \d/);
    expect(figures).toMatch(/replicas_avoided\{condition="ejected"\} 3\n/);
    expect(figures).toMatch(/run_backoffs\{service="engines"\} \d/);
  });

  // Other gateways fill the healthy replicas, which this one learns from refusals.
  it('send no items to ejected replicas while the healthy ones refuse because they are full', async () => {
    HEALTHY.forEach((id) => {
      const behaviour = system.replicas.getBehaviour(id);
      behaviour.refusals = Infinity;
      behaviour.refusalLoad = { running: 4, waiting: 0, slots: 4 };
    });
    const entry = await system.start('vm-1');
    await submit(entry);
    await time.advance(FIRST_FAILURES_MS);
    const sinceMs = time.nowMs();
    await time.advance(LOAD_MS);
    RESETTING.forEach((id) => {
      expect(countRuns([id], sinceMs)).toBeLessThanOrEqual(REQUESTS_ON_PROBATION);
    });
  });

  // While no replica is healthy, items must neither stop being tried nor be tried without a bound.
  it('are each tried at a bounded rate while none is healthy, and all used after the first success', async () => {
    HEALTHY.forEach((id) => {
      system.replicas.getBehaviour(id).resetsRequests = true;
    });
    const entry = await system.start('vm-1');
    await submit(entry, 1);
    await time.advance(FIRST_FAILURES_MS);
    const sinceMs = time.nowMs();
    await time.advance(LOAD_MS);
    [...HEALTHY, ...RESETTING].forEach((id) => {
      const runs = countRuns([id], sinceMs);
      expect(runs).toBeGreaterThanOrEqual(2);
      expect(runs).toBeLessThanOrEqual((4 * LOAD_MS) / 1000 + 1);
    });
    HEALTHY.forEach((id) => {
      system.replicas.getBehaviour(id).resetsRequests = false;
    });
    await time.advance(2500);
    const running = new Set(
      system.replicas.runs.filter(({ replica }) => HEALTHY.includes(replica)).slice(-GROUP_SIZE),
    );
    expect(new Set([...running].map(({ itemId }) => itemId)).size).toBe(GROUP_SIZE);
  });

  // One request at a time until a whole text is there would leave most slots free for seconds.
  it('are all used again soon after this gateway stood still, for which it ejected them all', async () => {
    const connectivity = { isDirectCut: false, isCutFromReplicas: false };
    const entry = await system.start('vm-1', 'vm-1-first', connectivity);
    await submit(entry);
    await time.advance(FIRST_FAILURES_MS);
    connectivity.isCutFromReplicas = true;
    await time.advance(FIRST_FAILURES_MS);
    connectivity.isCutFromReplicas = false;
    const sinceMs = time.nowMs();
    // All streams that were cut end as silent together.
    await time.advance(EVENTS * EVENT_MS - FIRST_FAILURES_MS);
    await time.advance(500);
    expect(countRuns(HEALTHY, sinceMs)).toBeGreaterThanOrEqual(HEALTHY.length * SLOTS);
  });

  it('get no plain calls while ejected, whether or not the healthy ones are full', async () => {
    PLAIN.forEach((id) => {
      system.replicas.getBehaviour(id).answerMs = 1000;
    });
    const entry = await system.start('vm-1');
    const send = async (count: number): Promise<void> => {
      for (let sent = 0; sent < count; sent += 1) {
        sendPlain(entry, `request-${time.nowMs()}`);
        await time.advance(20);
      }
    };
    await send(20);
    const sinceMs = time.nowMs();
    const isCounted = ({ replica, startedMs }: { replica: string; startedMs: number }): boolean =>
      replica === RESETTING_PLAIN && startedMs >= sinceMs;
    await send(LOAD_MS / 20);
    const { calls } = system.replicas;
    expect(calls.filter(isCounted).length).toBeLessThanOrEqual(REQUESTS_ON_PROBATION);
  });
});
