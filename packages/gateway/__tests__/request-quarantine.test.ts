/**
 * A request that crashes each replica that runs it returns at one gateway after another.
 */
import * as gateway from '@azureworks/gateway';
import * as evidenceRows from '../src/quarantine/evidence-rows';
import * as jobRecords from '../src/jobs/job-record';
import * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const REPLICAS = ['p1', 'p2', 'p3'];
const DEADLY = 'deadly body';
/** Within this time of the third crash, all gateways must refuse the request. */
const SHARED_WITHIN_MS = 3000;
const EXPIRY_MS = 600_000;
/** The longest time from the second end to the first trial at a gateway. */
const LATEST_TRIAL_MS = 120_000;
const RETURN_INTERVAL_MS = 1000;
const TRIAL_TEST_TIMEOUT_MS = 60_000;

describe('a request that crashes each replica that runs it', () => {
  let system: systems.TestSystem;
  let attempts: number;

  beforeEach(() => {
    jest.useFakeTimers();
    attempts = 0;
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    let starts = 1;
    REPLICAS.forEach((id) => system.addReplica(id, { isPlain: true }));
    system.replicas.deadlyBodies.add(DEADLY);
    system.replicas.onRestart = (id) => {
      starts += 1;
      system.addReplica(id, { isPlain: true, bornMs: starts });
    };
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function send(
    entry: gateway.Gateway,
    body: string,
    headers: readonly string[] = [],
  ): Promise<gateway.GatewayReply> {
    attempts += 1;
    return entry.handle(
      {
        request: {
          id: `attempt-${attempts}`,
          method: 'POST',
          target: '/plain/x',
          host: systems.HOST,
          headers,
          body: Buffer.from(body),
        },
        path: '/plain/x',
        deadlineMs: 1000,
        receivedMs: time.nowMs(),
        signal: new AbortController().signal,
        afterEvent: undefined,
      },
      { begin: () => {}, receive: () => {} },
    );
  }

  async function sendAndSettle(...request: Parameters<typeof send>): Promise<string> {
    const reply = await time.settle(send(...request));
    if (reply.kind === 'failure') return reply.failure.code;
    return reply.kind === 'answer' ? String(reply.answer.status) : reply.kind;
  }

  function startAll(): Promise<gateway.Gateway[]> {
    return ['vm1', 'vm2', 'vm3'].reduce(
      async (started, vm) => [...(await started), await system.start(vm)],
      Promise.resolve<gateway.Gateway[]>([]),
    );
  }

  function listEvidence(): readonly gateway.Row[] {
    return system.store
      .inspect(jobRecords.NOTICES_TABLE)
      .filter((row) => row.partition === evidenceRows.EVIDENCE_PARTITION);
  }

  it('is refused by every gateway after it crashed three replicas', async () => {
    const gateways = await startAll();
    await sendAndSettle(gateways[0], DEADLY);
    await sendAndSettle(gateways[1], DEADLY);
    await time.advance(fakeReplicas.RESTART_MS + SHARED_WITHIN_MS);
    const { length } = system.replicas.crashes;
    expect(length).toBeLessThanOrEqual(3);
    for (const entry of [...gateways, ...gateways]) {
      expect(await sendAndSettle(entry, DEADLY)).toBe('request-quarantined');
      await time.advance(fakeReplicas.RESTART_MS);
    }
    expect(system.replicas.crashes).toHaveLength(length);
    expect(await sendAndSettle(gateways[2], 'another body')).toBe('200');
  });

  it('is refused with a promise that this attempt did not run', async () => {
    const [entry] = await startAll();
    await sendAndSettle(entry, DEADLY);
    await time.advance(fakeReplicas.RESTART_MS);
    const reply = await time.settle(send(entry, DEADLY));
    expect(reply).toMatchObject({
      kind: 'failure',
      failure: { code: 'request-quarantined', verdict: 'not-run' },
    });
  });

  it('is told apart from the same request of another caller', async () => {
    const [entry] = await startAll();
    await sendAndSettle(entry, DEADLY, ['X-Caller', 'one']);
    await time.advance(fakeReplicas.RESTART_MS);
    system.replicas.deadlyBodies.clear();
    expect(await sendAndSettle(entry, DEADLY, ['X-Caller', 'one'])).toBe('request-quarantined');
    expect(await sendAndSettle(entry, DEADLY, ['X-Caller', 'two'])).toBe('200');
  });

  it('is refused by a gateway that starts later, also after the history was dropped', async () => {
    const [entry] = await startAll();
    await sendAndSettle(entry, DEADLY);
    system.store.dropHistory();
    await time.advance(fakeReplicas.RESTART_MS);
    const late = await system.start('vm4');
    const restarted = await system.start('vm1', 'vm1-second');
    expect(await sendAndSettle(late, DEADLY)).toBe('request-quarantined');
    expect(await sendAndSettle(restarted, DEADLY)).toBe('request-quarantined');
  });

  it('is refused everywhere soon after the store is back, if the store was away meanwhile', async () => {
    const gateways = await startAll();
    system.store.faults.isUnreachable = true;
    await sendAndSettle(gateways[0], DEADLY);
    await time.advance(fakeReplicas.RESTART_MS);
    expect(await sendAndSettle(gateways[0], DEADLY)).toBe('request-quarantined');
    system.store.faults.isUnreachable = false;
    await time.advance(SHARED_WITHIN_MS);
    expect(await sendAndSettle(gateways[1], DEADLY)).toBe('request-quarantined');
    expect(await sendAndSettle(gateways[2], DEADLY)).toBe('request-quarantined');
  });

  it('does not take the requests beside it into quarantine', async () => {
    const gateways = await startAll();
    REPLICAS.forEach((id) => {
      system.replicas.getBehaviour(id).answerMs = 60;
    });
    const innocents = gateways.flatMap((entry, index) =>
      Array.from({ length: 4 }, (_unused, request) => send(entry, `innocent ${index} ${request}`)),
    );
    await time.advance(20);
    await sendAndSettle(gateways[0], DEADLY);
    await time.settle(Promise.all(innocents));
    await time.advance(2 * fakeReplicas.RESTART_MS);
    for (const [index, entry] of gateways.entries()) {
      for (let request = 0; request < 4; request += 1) {
        expect(await sendAndSettle(entry, `innocent ${index} ${request}`)).toBe('200');
      }
      expect(await sendAndSettle(entry, DEADLY)).toBe('request-quarantined');
    }
  });

  it('is cleared once a replica has answered it, which costs the store nothing', async () => {
    const [first, second] = await startAll();
    const transact = jest.spyOn(system.store, 'transact');
    system.replicas.getBehaviour('p2').answerMs = 100;
    system.replicas.getBehaviour('p3').answerMs = 100;
    const reply = send(first, 'innocent');
    await time.advance(5);
    system.replicas.crash(system.replicas.calls[0]?.replica ?? '');
    expect(await time.settle(reply)).toMatchObject({ kind: 'answer' });
    await time.advance(1000);
    expect(listEvidence()).toEqual([]);
    const rows = transact.mock.calls.flatMap(([{ writes, removals }]) => [...writes, ...removals]);
    expect(rows.map(({ partition }) => partition)).not.toContain(evidenceRows.EVIDENCE_PARTITION);
    expect(await sendAndSettle(second, 'innocent')).toBe('200');
  });

  it('is cleared everywhere if a replica answers it after the evidence was shared', async () => {
    const [first, second] = await startAll();
    system.configure(systems.createConfiguration(2, { maximumAttempts: 1 }));
    await time.advance(1000);
    await sendAndSettle(first, DEADLY);
    await time.advance(1000);
    expect(listEvidence()).toHaveLength(1);
    system.replicas.deadlyBodies.clear();
    // With one attempt, the replica that crashed would refuse it until it is back.
    await time.advance(fakeReplicas.RESTART_MS);
    expect(await sendAndSettle(second, DEADLY)).toBe('200');
    await time.advance(1000);
    expect(listEvidence()).toEqual([]);
  });

  it('is recognised by gateways that see one crash each', async () => {
    system.configure(systems.createConfiguration(2, { maximumAttempts: 1 }));
    const gateways = await startAll();
    for (const entry of [...gateways, ...gateways]) {
      await sendAndSettle(entry, DEADLY);
      await time.advance(200);
    }
    expect(system.replicas.crashes.length).toBeLessThanOrEqual(3);
    await time.advance(fakeReplicas.RESTART_MS);
    expect(await sendAndSettle(gateways[0], DEADLY)).toBe('request-quarantined');
  });

  it('may be sent again once the evidence has expired, and its rows are removed', async () => {
    const [entry] = await startAll();
    await sendAndSettle(entry, DEADLY);
    await time.advance(1000);
    expect(listEvidence().length).toBeGreaterThanOrEqual(2);
    system.replicas.deadlyBodies.clear();
    await time.advance(EXPIRY_MS);
    expect(await sendAndSettle(entry, DEADLY)).toBe('200');
    await time.advance(120_000);
    expect(listEvidence()).toEqual([]);
  }, 60_000);

  it('can be released by removing the rows of evidence', async () => {
    const gateways = await startAll();
    await sendAndSettle(gateways[0], DEADLY);
    await time.advance(fakeReplicas.RESTART_MS);
    system.replicas.deadlyBodies.clear();
    listEvidence().forEach((row) => system.store.remove(row.table, row.partition, row.key));
    await time.advance(SHARED_WITHIN_MS);
    for (const entry of gateways) expect(await sendAndSettle(entry, DEADLY)).toBe('200');
  });

  it('is retried in another failure domain, and recognised by its second crash', async () => {
    system.configure(systems.createConfiguration(2, { maximumAttempts: 2 }));
    REPLICAS.forEach((id) => system.store.remove('replicas', '', id));
    ['a1', 'a2', 'a3', 'a4', 'b1'].forEach((id) =>
      system.addReplica(id, { isPlain: true, failureDomain: `domain-${id.slice(0, 1)}` }),
    );
    const [first, second] = await startAll();
    await sendAndSettle(first, DEADLY);
    const domains = system.replicas.crashes.map((id) => id.slice(0, 1));
    expect([...domains].sort()).toEqual(['a', 'b']);
    await time.advance(1000);
    expect(await sendAndSettle(first, DEADLY)).toBe('request-quarantined');
    expect(await sendAndSettle(second, DEADLY)).toBe('request-quarantined');
    expect(system.replicas.crashes).toHaveLength(2);
  });

  it('is not retried at a replica that is known to be down while it is suspect', async () => {
    system.configure(systems.createConfiguration(2, { maximumAttempts: 2 }));
    REPLICAS.forEach((id) => system.store.remove('replicas', '', id));
    // None is in the failure domain of the gateway, so all are used.
    ['x1', 'x2', 'y1'].forEach((id) =>
      system.addReplica(id, { isPlain: true, failureDomain: `domain-${id.slice(0, 1)}` }),
    );
    const [entry] = await startAll();
    system.replicas.crash('y1');
    // A connection that is refused shows that the replica is down.
    for (let count = 0; count < 3; count += 1) await sendAndSettle(entry, `other ${count}`);
    ['x1', 'x2'].forEach((id) => {
      system.replicas.getBehaviour(id).answerMs = 60;
    });
    const reply = send(entry, 'innocent');
    await time.advance(20);
    system.replicas.crash(system.replicas.calls.at(-1)?.replica ?? '');
    expect(await time.settle(reply)).toMatchObject({ kind: 'answer', answer: { status: 200 } });
  });

  it('is refused as a stream, too', async () => {
    const configuration = systems.createConfiguration(2);
    const [, plain] = configuration.routes;
    const routes = [{ ...plain, kind: gateway.RouteKind.Streaming }];
    system.configure({ ...configuration, routes });
    const [first, second] = await startAll();
    expect(await sendAndSettle(first, 'innocent')).toBe('streamed');
    expect(await sendAndSettle(first, DEADLY)).toBe('target-failed');
    expect(await sendAndSettle(second, DEADLY)).toBe('target-failed');
    await time.advance(fakeReplicas.RESTART_MS);
    expect(await sendAndSettle(first, DEADLY)).toBe('request-quarantined');
    expect(await sendAndSettle(second, DEADLY)).toBe('request-quarantined');
    expect(system.replicas.crashes).toHaveLength(2);
    expect(await sendAndSettle(second, 'innocent')).toBe('streamed');
  });

  describe('when it crashed only two replicas', () => {
    let gateways: gateway.Gateway[];

    let startedMs: number;

    beforeEach(async () => {
      startedMs = time.nowMs();
      system.configure(systems.createConfiguration(2, { maximumAttempts: 1 }));
      gateways = await startAll();
      for (const entry of gateways.slice(0, 2)) {
        await sendAndSettle(entry, DEADLY);
        await time.advance(fakeReplicas.RESTART_MS + SHARED_WITHIN_MS);
      }
      expect(await sendAndSettle(gateways[2], DEADLY)).toBe('request-quarantined');
      expect(system.replicas.crashes).toHaveLength(2);
    });

    it('is sent on trial and cleared everywhere by an answer, so an innocent one is not refused for long', async () => {
      system.replicas.deadlyBodies.clear();
      const refusedMs = time.nowMs();
      let answered = 'request-quarantined';
      for (let count = 0; answered !== '200'; count += 1) {
        expect(time.nowMs() - refusedMs).toBeLessThan(LATEST_TRIAL_MS);
        await time.advance(RETURN_INTERVAL_MS);
        answered = await sendAndSettle(gateways[count % gateways.length], DEADLY);
      }
      await time.advance(SHARED_WITHIN_MS);
      for (const entry of gateways) expect(await sendAndSettle(entry, DEADLY)).toBe('200');
      expect(listEvidence()).toEqual([]);
    });

    it(
      'crashes a third replica on trial, and none after that while the evidence lasts',
      async () => {
        const { crashes } = system.replicas;
        // The evidence of each end expires by itself, that of the first crash at first.
        const endMs = startedMs + EXPIRY_MS - 2 * RETURN_INTERVAL_MS;
        for (let count = 0; time.nowMs() < endMs; count += 1) {
          await time.advance(RETURN_INTERVAL_MS);
          await sendAndSettle(gateways[count % gateways.length], DEADLY);
        }
        expect(crashes).toHaveLength(3);
      },
      TRIAL_TEST_TIMEOUT_MS,
    );

    it('is on trial on one replica, with one attempt of a gateway at a time', async () => {
      system.configure(systems.createConfiguration(3, { maximumAttempts: 3 }));
      await time.advance(LATEST_TRIAL_MS);
      const { length } = system.replicas.calls;
      const [entry] = gateways;
      const replies = [send(entry, DEADLY), send(entry, DEADLY), send(entry, DEADLY)];
      await time.settle(Promise.all(replies));
      expect(system.replicas.calls.slice(length)).toHaveLength(1);
      expect(system.replicas.crashes).toHaveLength(3);
    });

    it('may be on trial once more if its caller left before the end of the first trial', async () => {
      system.replicas.deadlyBodies.clear();
      REPLICAS.forEach((id) => {
        system.replicas.getBehaviour(id).isSilent = true;
      });
      await time.advance(LATEST_TRIAL_MS);
      expect(await sendAndSettle(gateways[0], DEADLY)).not.toBe('request-quarantined');
      REPLICAS.forEach((id) => {
        system.replicas.getBehaviour(id).isSilent = false;
      });
      expect(await sendAndSettle(gateways[0], DEADLY)).toBe('request-quarantined');
      await time.advance(LATEST_TRIAL_MS);
      expect(await sendAndSettle(gateways[0], DEADLY)).toBe('200');
    });
  });

  describe('compared with a request on a replica that did not crash', () => {
    async function breakOff(interrupt: (replica: string) => void): Promise<void> {
      const [entry] = await startAll();
      REPLICAS.forEach((id) => {
        system.replicas.getBehaviour(id).answerMs = 60;
      });
      const replies: Promise<gateway.GatewayReply>[] = [];
      for (let round = 0; round < 4; round += 1) {
        const seen = system.replicas.calls.length;
        replies.push(send(entry, 'innocent'));
        await time.advance(20);
        interrupt(system.replicas.calls[seen]?.replica ?? '');
        await time.advance(500);
      }
      await time.settle(Promise.all(replies));
      expect(listEvidence()).toEqual([]);
      await time.advance(fakeReplicas.RESTART_MS);
      expect(await sendAndSettle(entry, 'innocent')).toBe('200');
    }

    it('leaves a request alone whose connection was reset', () =>
      breakOff((id) => system.replicas.resetConnections(id)));

    it('leaves a request alone whose replica cannot be reached any more', () =>
      breakOff((id) => {
        system.replicas.getBehaviour(id).listening = gateway.ListeningState.Unknown;
        system.replicas.resetConnections(id);
      }));

    it('leaves a request alone whose replica was draining', () =>
      breakOff((id) => {
        system.addReplica(id, { isPlain: true, isDraining: true });
        setTimeout(() => system.replicas.crash(id), 20);
      }));

    it('leaves a request alone whose replica had left the directory', () =>
      breakOff((id) => {
        system.store.remove('replicas', '', id);
        setTimeout(() => system.replicas.crash(id), 20);
      }));
  });
});
