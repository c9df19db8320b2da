/**
 * Replicas that say in their answers that they are leaving, while the store says so late or not at all.
 */
import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const STEP_MS = 20;
const DEADLINE_MS = 800;

describe('a replica that says that it is leaving', () => {
  let system: systems.TestSystem;
  let connectivity: systems.Connectivity;
  let entry: gateway.Gateway;
  let requests: number;

  beforeEach(async () => {
    jest.useFakeTimers();
    requests = 0;
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2'].forEach((id) => system.addReplica(id));
    ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
    connectivity = { isDirectCut: false, isIsolated: false };
    entry = await system.start('vm-1', 'first', connectivity);
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function leave(id: string): void {
    system.replicas.getBehaviour(id).isLeaving = true;
  }

  async function send(): Promise<gateway.GatewayReply> {
    requests += 1;
    return entry.handle(
      {
        request: {
          id: `attempt-${requests}`,
          method: 'POST',
          target: '/plain/x',
          host: systems.HOST,
          headers: [],
          body: Buffer.from('body'),
        },
        path: '/plain/x',
        deadlineMs: DEADLINE_MS,
        receivedMs: time.nowMs(),
        signal: new AbortController().signal,
        afterEvent: undefined,
      },
      { begin: () => {}, receive: () => {} },
    );
  }

  async function load(durationMs: number): Promise<gateway.GatewayReply[]> {
    const replies: Promise<gateway.GatewayReply>[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      replies.push(send());
      await time.advance(STEP_MS);
    }
    await time.advance(DEADLINE_MS);
    return Promise.all(replies);
  }

  function countSent(id: string): number {
    const { calls, runs } = system.replicas;
    return [...calls, ...runs].filter(({ replica }) => replica === id).length;
  }

  it('gets no request after its first answer that says so, also when the store cannot be reached', async () => {
    connectivity.isIsolated = true;
    leave('p1');
    await load(400);
    const sent = countSent('p1');
    expect(sent).toBeGreaterThan(0);
    const replies = await load(2000);
    expect(countSent('p1')).toBe(sent);
    expect(replies.every((reply) => reply.kind === 'answer')).toBe(true);
  });

  it.each([
    ['a refusal', (id: string) => Object.assign(system.replicas.getBehaviour(id), { refusals: 1 })],
    ['an error', (id: string) => Object.assign(system.replicas.getBehaviour(id), { status: 500 })],
  ])('is believed when it says so in %s', async (_what, answerWith) => {
    leave('p1');
    answerWith('p1');
    await load(200);
    const sent = countSent('p1');
    expect(sent).toBeGreaterThan(0);
    await load(1000);
    expect(countSent('p1')).toBe(sent);
  });

  it('finishes the texts that it runs and gets no further items, once it says so at their start', async () => {
    leave('e1');
    const job = systems.createJob('job', 4, 6);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 40));
    await time.settle(entry.jobs.submit(job));
    await time.advance(300);
    const sent = countSent('e1');
    expect(sent).toBeGreaterThan(0);
    await time.advance(12_000);
    expect(countSent('e1')).toBe(sent);
    const page = await time.settle(
      entry.jobs.results.read('job', 0, 0, new AbortController().signal),
    );
    if (page.isOk) expect(page.value.results).toHaveLength(job.items.length);
    const resumed = system.replicas.runs.filter((run) => run.afterEvent !== undefined);
    expect(resumed).toEqual([]);
  });

  it('stays out of use when a later row says that it is ready, or its row lapses and returns', async () => {
    leave('p1');
    await load(400);
    const sent = countSent('p1');
    system.addReplica('p1', { isPlain: true, version: 2 });
    await load(400);
    system.store.remove('replicas', '', 'p1');
    await load(400);
    system.addReplica('p1', { isPlain: true });
    await load(400);
    expect(countSent('p1')).toBe(sent);
  });

  it('is used again when it was started again under its id and address', async () => {
    leave('p1');
    await load(400);
    const sent = countSent('p1');
    system.replicas.getBehaviour('p1').isLeaving = false;
    system.addReplica('p1', { isPlain: true, bornMs: 2 });
    await load(400);
    expect(countSent('p1')).toBeGreaterThan(sent);
  });

  it('is not mistaken for another replica that takes its address', async () => {
    leave('p1');
    await load(400);
    system.store.remove('replicas', '', 'p1');
    system.addReplica('p3', { isPlain: true, address: 'p1:1' });
    await load(400);
    expect(countSent('p3')).toBeGreaterThan(0);
    const sent = countSent('p1');
    system.addReplica('p1', { isPlain: true });
    await load(400);
    expect(countSent('p1')).toBe(sent);
  });

  it('has its connections closed once, whether an answer or the store says so first', async () => {
    leave('p1');
    await load(400);
    system.addReplica('p1', { isPlain: true, isDraining: true });
    await time.advance(200);
    expect(system.replicas.closedConnections).toEqual(['p1']);
  });

  it('leaves its callers a refusal at once, as not run, when all others leave, too', async () => {
    leave('p1');
    leave('p2');
    await load(400);
    const startMs = time.nowMs();
    const reply = await time.settle(send(), 200);
    expect(time.nowMs() - startMs).toBeLessThanOrEqual(100);
    expect(reply).toMatchObject({ failure: { code: 'no-target', verdict: 'not-run' } });
    if (reply.kind === 'failure') expect(reply.failure.retryAfterMs).toBeGreaterThan(0);
  });
});
