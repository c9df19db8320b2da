/**
 * Replicas that name a limit on the requests per second that they take from all gateways together.
 */
import type * as gateway from '@azureworks/gateway';
import * as sendRates from './support/send-rate';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const GATEWAYS = 7;
const STEP_MS = 20;
const DURATION_MS = 14_000;
const REQUEST_DEADLINE_MS = 800;
const ITEM_LIMIT = 0.5;
const ITEM_EVENTS = 60;

describe('a replica that names a rate limit', () => {
  let system: systems.TestSystem;
  let gateways: gateway.Gateway[];
  let connectivities: systems.Connectivity[];
  let requests = 0;

  beforeEach(async () => {
    jest.useFakeTimers();
    requests = 0;
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    ['p1', 'p2', 'p3'].forEach((id) => system.addReplica(id, { isPlain: true }));
    gateways = [];
    connectivities = Array.from({ length: GATEWAYS }, () => ({ isDirectCut: false }));
    for (let index = 0; index < GATEWAYS; index += 1) {
      gateways.push(await system.start(`vm${index}`, 'first', connectivities[index]));
    }
    await time.advance(3000);
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function limit(ids: readonly string[], rateLimit: number | undefined): void {
    ids.forEach((id) => {
      system.replicas.getBehaviour(id).rateLimit = rateLimit;
    });
  }

  async function send(): Promise<gateway.GatewayReply> {
    const attempt = requests;
    requests += 1;
    return gateways[attempt % gateways.length].handle(
      {
        request: {
          id: `attempt-${attempt}`,
          method: 'POST',
          target: '/plain/x',
          host: systems.HOST,
          headers: [],
          body: Buffer.from(`body ${attempt}`),
        },
        path: '/plain/x',
        deadlineMs: REQUEST_DEADLINE_MS,
        receivedMs: time.nowMs(),
        signal: new AbortController().signal,
        afterEvent: undefined,
      },
      { begin: () => {}, receive: () => {} },
    );
  }

  /** Sends a request every `intervalMs` to the gateways in turn; returns the replies. */
  async function load(
    intervalMs: number,
    durationMs: number,
    onStep: (elapsedMs: number) => Promise<void> | void = () => {},
  ): Promise<gateway.GatewayReply[]> {
    const replies: Promise<gateway.GatewayReply>[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      await onStep(elapsedMs);
      if (elapsedMs % intervalMs === 0) replies.push(send());
      await time.advance(STEP_MS);
    }
    await time.advance(REQUEST_DEADLINE_MS);
    return Promise.all(replies);
  }

  /** Times at which requests were sent to a replica from a time on. */
  function listSends(id: string, fromMs: number): number[] {
    const { calls, runs } = system.replicas;
    return [...calls, ...runs]
      .filter(({ replica, startedMs }) => replica === id && startedMs >= fromMs)
      .map(({ startedMs }) => startedMs)
      .sort((first, second) => first - second);
  }

  function countMost(id: string, fromMs: number): number {
    return sendRates.countMostInWindow(listSends(id, fromMs));
  }

  it('gets no more plain requests than it takes, whichever gateways they come to', async () => {
    limit(['p1', 'p2', 'p3'], 1);
    const startMs = time.nowMs();
    await load(40, DURATION_MS);
    ['p1', 'p2', 'p3'].forEach((id) => {
      const most = countMost(id, startMs + sendRates.STABLE_WINDOW_MS);
      expect(most).toBeLessThanOrEqual(sendRates.getAllowance(1));
      expect(most).toBeGreaterThan(0);
    });
  });

  it('gets no more items than it takes', async () => {
    limit(['e1', 'e2'], ITEM_LIMIT);
    const jobs = ['one', 'two', 'three'].map((id) => systems.createJob(id, 8, 8));
    jobs
      .flatMap((job) => job.items)
      .forEach((item) => system.replicas.eventCounts.set(item.id, ITEM_EVENTS));
    const startMs = time.nowMs();
    await Promise.all(jobs.map((job) => time.settle(gateways[0].jobs.submit(job))));
    await time.advance(DURATION_MS);
    ['e1', 'e2'].forEach((id) => {
      const most = countMost(id, startMs + sendRates.STABLE_WINDOW_MS);
      expect(most).toBeLessThanOrEqual(sendRates.getAllowance(ITEM_LIMIT));
      expect(most).toBeGreaterThan(0);
    });
  });

  function expectLimitKept(ids: readonly string[], rateLimit: number, startMs: number): void {
    ids.forEach((id) => {
      const most = countMost(id, startMs + sendRates.STABLE_WINDOW_MS);
      expect(most).toBeLessThanOrEqual(sendRates.getAllowance(rateLimit));
      expect(most).toBeGreaterThan(0);
    });
  }

  it('gets no more than it takes while gateways die and start again', async () => {
    limit(['p1', 'p2', 'p3'], 1);
    const startMs = time.nowMs();
    await load(40, DURATION_MS, async (elapsedMs) => {
      if (elapsedMs === 0 || elapsedMs % 2000 !== 0) return;
      const index = (elapsedMs / 2000) % GATEWAYS;
      connectivities[index].isDead = true;
      connectivities[index] = { isDirectCut: false };
      const incarnation = `after ${elapsedMs}`;
      gateways[index] = await system.start(`vm${index}`, incarnation, connectivities[index]);
    });
    expectLimitKept(['p1', 'p2', 'p3'], 1, startMs);
  });

  it('gets no more than it takes while no gateway reaches the store', async () => {
    const startMs = time.nowMs();
    await load(40, DURATION_MS, (elapsedMs) => {
      if (elapsedMs === 1000) limit(['p1', 'p2', 'p3'], 1);
      system.isStoreAway = elapsedMs >= 500 && elapsedMs < 9000;
    });
    expectLimitKept(['p1', 'p2', 'p3'], 1, startMs + 1000);
  });

  it('is not sent requests beyond its limit by a gateway that starts later and has not heard of it', async () => {
    limit(['p1', 'p2', 'p3'], 0);
    await load(100, 4000);
    const late = await system.start('vm-late');
    const startMs = time.nowMs();
    gateways = [late];
    await load(40, 4000);
    ['p1', 'p2', 'p3'].forEach((id) => expect(countMost(id, startMs)).toBeLessThanOrEqual(3));
  });

  it('makes its callers return later: a request beyond all limits is refused at once, as not run', async () => {
    limit(['p1', 'p2', 'p3'], 0.5);
    await load(40, 4000);
    const sentBefore = system.replicas.calls.length;
    const replies = await load(40, 400);
    const failures = replies.flatMap((reply) => (reply.kind === 'failure' ? [reply.failure] : []));
    expect(failures.length + system.replicas.calls.length - sentBefore).toBe(replies.length);
    expect(failures.length).toBeGreaterThan(0);
    failures.forEach((failure) => {
      expect(failure).toMatchObject({ code: 'rate-limited', verdict: 'not-run' });
      expect(failure.retryAfterMs).toBeGreaterThanOrEqual(100);
    });
    const delays = new Set(failures.map(({ retryAfterMs }) => retryAfterMs));
    expect(delays.size).toBeGreaterThan(failures.length / 2);
  });

  it('gets its usual requests again once its answers name no limit', async () => {
    limit(['p1', 'p2', 'p3'], 1);
    await load(40, 6000);
    limit(['p1', 'p2', 'p3'], undefined);
    await load(40, 3000);
    const replies = await load(40, 1000);
    expect(replies.filter((reply) => reply.kind === 'answer')).toHaveLength(replies.length);
  });
});
