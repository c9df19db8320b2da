import * as decisions from '@azureworks/decisions';
import * as gateway from '@azureworks/gateway';
import type * as runtime from '@azureworks/runtime';
import type * as activeConfigurations from '../src/configuration/active-configuration';
import * as routeTables from '../src/configuration/route-table';
import * as permitRequesters from '../src/limits/permit-requester';
import * as rateLimits from '../src/limits/rate-limits';
import type * as permitIssuers from '../src/limits/permit-issuer';
import * as requestQuarantines from '../src/quarantine/request-quarantine';
import type * as directories from '../src/replicas/directory';
import * as forwarders from '../src/requests/forwarder';
import * as plannedStops from '../src/requests/planned-stop';
import * as plainDirectories from './support/plain-directory';
import * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

/** How a call to a replica ends, unless it is aborted before. */
interface ScriptedCall {
  readonly afterMs: number;
  /** A status, or how the call fails. */
  readonly end: number | 'broken' | 'not-run';
}

interface RecordedCall {
  readonly replica: string;
  readonly startMs: number;
  abortedMs?: number;
}

const ON = { share: 1, quantile: 0.95 };
/** The fixed delay of the plain route, in milliseconds. */
const DELAY_MS = 100;
const SLOW: ScriptedCall = { afterMs: 5000, end: 200 };
const FAST: ScriptedCall = { afterMs: 10, end: 200 };

describe('a slow plain request', () => {
  let calls: RecordedCall[];
  let lines: string[];
  let environment: gateway.Environment;
  let directory: directories.ReplicaDirectory;
  let plannedStop: plannedStops.PlannedStop;
  let limits: rateLimits.RateLimits;

  const [, route] = systems.createConfiguration(1).routes as gateway.Route[];
  const nonIdempotent = { ...route, kind: gateway.RouteKind.NonIdempotent };

  beforeEach(() => {
    jest.useFakeTimers();
    calls = [];
    lines = [];
    const log: runtime.Log = { info: (line) => lines.push(line), warn: (line) => lines.push(line) };
    environment = { ...time.createEnvironment('vm'), log };
    directory = plainDirectories.createDirectory(environment, ['r1', 'r2', 'r3']);
    plannedStop = plannedStops.PlannedStop.create(time.nowMs);
    limits = rateLimits.RateLimits.create(environment);
  });

  afterEach(() => {
    plannedStop.complete();
    jest.useRealTimers();
  });

  /** A client whose calls end as scripted, in the order in which they are made. */
  function createClient(script: readonly ScriptedCall[]): gateway.ReplicaClient {
    const client = fakeReplicas.FakeReplicas.create();
    const remaining = [...script];
    client.probe = () => Promise.resolve(gateway.ListeningState.Refusing);
    client.call = (replica, _request, { signal }) => {
      const { afterMs, end } = remaining.shift() ?? FAST;
      const call: RecordedCall = { replica: replica.id, startMs: time.nowMs() };
      calls.push(call);
      return new Promise((resolve) => {
        const body = Buffer.from(replica.id);
        const answer = { status: Number(end), headers: [], body, signature: 's' };
        const outcome: gateway.CallOutcome =
          typeof end === 'number'
            ? { status: gateway.CallStatus.Answered, answer, load: undefined }
            : { status: end, reason: 'scripted', isConnectionLost: end === 'broken' };
        setTimeout(() => resolve(outcome), afterMs);
        signal.addEventListener('abort', () => {
          call.abortedMs ??= time.nowMs();
          resolve({ status: gateway.CallStatus.Cancelled, reason: 'aborted' });
        });
      });
    };
    return client;
  }

  function createForwarder(
    script: readonly ScriptedCall[],
    extraAttempts: decisions.ExtraAttemptSettings | null,
  ): forwarders.Forwarder {
    const replicaClient = createClient(script);
    const configuration = {
      routeTable: routeTables.RouteTable.create([route]),
    } as activeConfigurations.ActiveConfiguration;
    return forwarders.Forwarder.create({
      environment,
      configuration,
      directory,
      replicaClient,
      quarantine: requestQuarantines.RequestQuarantine.create({
        environment,
        quarantine: decisions.Quarantine.create({ nowMs: time.nowMs }),
        trials: time.NO_TRIALS,
        reporter: { report: () => {}, withdraw: () => {}, flush: () => Promise.resolve() },
        directory,
        replicaClient,
        storeNowMs: time.nowMs,
        callerHeaders: [],
      }),
      permits: permitRequesters.PermitRequester.create({
        environment,
        limits,
        issuer: {} as permitIssuers.PermitIssuer,
        peers: { requestPermits: () => Promise.resolve(undefined) },
        listIssuers: () => [],
      }),
      origins: { find: () => Promise.resolve(undefined), record: () => {} },
      plannedStop,
      ...(extraAttempts && { extraAttempts }),
    });
  }

  function createCaller(): gateway.CallerRequest {
    return {
      request: {
        id: 'attempt',
        method: 'POST',
        target: '/plain/x',
        host: systems.HOST,
        headers: [],
        body: Buffer.alloc(0),
      },
      path: '/plain/x',
      deadlineMs: 3000,
      receivedMs: time.nowMs(),
      signal: new AbortController().signal,
      afterEvent: undefined,
    };
  }

  async function run(
    script: readonly ScriptedCall[],
    extraAttempts: decisions.ExtraAttemptSettings | null = ON,
    options: Parameters<typeof forward>[1] = {},
  ): ReturnType<typeof forward> {
    return forward(createForwarder(script, extraAttempts), options);
  }

  async function forward(
    forwarder: forwarders.Forwarder,
    options: {
      readonly caller?: Partial<gateway.CallerRequest>;
      readonly route?: gateway.Route;
    } = {},
  ): Promise<{ readonly reply: gateway.Reply; readonly tookMs: number }> {
    const startMs = time.nowMs();
    const caller = { ...createCaller(), ...options.caller };
    return time.settle(
      forwarder
        .forward(caller, options.route ?? route)
        .then((reply) => ({ reply, tookMs: time.nowMs() - startMs })),
    );
  }

  const getCount = (outcome: string): number =>
    environment.metrics.readCount('extra_attempts', { outcome });

  /** Makes all replicas but the first as loaded as they have slots. */
  function fillOthers(): void {
    directory
      .listAll()
      .slice(1)
      .forEach((tracked) => {
        Object.assign(tracked, { otherGatewaysLoad: 4, otherGatewaysLoadUpdatedMs: time.nowMs() });
      });
  }

  it('is answered by the second replica, and the first attempt is cancelled at once', async () => {
    const { reply, tookMs } = await run([SLOW, FAST]);
    expect(reply).toMatchObject({ kind: 'answer', answer: { status: 200 } });
    // The fake setImmediate takes up to a millisecond.
    expect(tookMs).toBeLessThanOrEqual(DELAY_MS + FAST.afterMs + 1);
    expect(calls).toHaveLength(2);
    expect(calls[0]).toMatchObject({ abortedMs: calls[0].startMs + tookMs });
    expect(calls[1].replica).not.toBe(calls[0].replica);
    expect([getCount('sent'), getCount('won'), getCount('lost')]).toEqual([1, 1, 0]);
    expect(lines.filter((line) => line === 'extra attempt sent')).toHaveLength(1);
  });

  it('is answered by the first replica when that is sooner, and the second one is cancelled', async () => {
    const { tookMs } = await run([{ afterMs: 150, end: 200 }, SLOW]);
    expect(tookMs).toBe(150);
    expect(calls[1]).toMatchObject({ abortedMs: calls[0].startMs + tookMs });
    expect([getCount('sent'), getCount('won'), getCount('lost')]).toEqual([1, 0, 1]);
  });

  it('has one extra attempt at most', async () => {
    await run([SLOW, SLOW, FAST], { ...ON, share: 4 });
    expect(calls).toHaveLength(2);
  });

  it.each([
    [
      'of the extra attempt',
      [
        { afterMs: 300, end: 200 },
        { afterMs: 10, end: 503 },
      ],
    ],
    [
      'of the first attempt',
      [
        { afterMs: 200, end: 500 },
        { afterMs: 300, end: 200 },
      ],
    ],
  ])('is not answered with an error %s while the other one runs', async (_which, script) => {
    const { reply } = await run(script);
    expect(reply).toMatchObject({ kind: 'answer', answer: { status: 200 } });
    expect(calls).toHaveLength(2);
  });

  it.each(['broken', 'not-run', 500] as const)(
    'is retried without a budget when its first attempt ends as %s',
    async (end) => {
      const { reply } = await run([{ afterMs: 50, end }, FAST], { ...ON, share: 1e-6 });
      expect(reply).toMatchObject({ kind: 'answer', answer: { status: 200 } });
      expect(calls.map(({ startMs }) => startMs - calls[0].startMs)).toEqual([0, 50]);
      expect(getCount('sent')).toBe(0);
    },
  );

  it('goes on alone when the budget is used up', async () => {
    await run([SLOW], { ...ON, share: 1e-6 });
    expect(calls).toHaveLength(1);
    expect(getCount('withheld-no-budget')).toBe(1);
  });

  it('does not use up the budget while no replica is free', async () => {
    const forwarder = createForwarder([FAST, { afterMs: 150, end: 200 }, SLOW], {
      ...ON,
      share: 0.5,
    });
    await forward(forwarder);
    fillOthers();
    await forward(forwarder);
    await time.advance(2000);
    await forward(forwarder);
    expect([getCount('withheld-no-free-replica'), getCount('sent')]).toEqual([1, 1]);
  });

  it('waits longer as attempts take longer, also when these were cancelled', async () => {
    const script = Array.from({ length: 40 }, () => [SLOW, FAST]).flat();
    const forwarder = createForwarder(script, ON);
    for (let count = 0; count < 40; count += 1) await forward(forwarder);
    const [first, second] = calls.slice(-2);
    expect(second.startMs - first.startMs).toBeGreaterThan(DELAY_MS + FAST.afterMs / 2);
  });

  it('runs once when it is not idempotent, whatever its replica does', async () => {
    await run([SLOW], ON, { route: nonIdempotent });
    await run([{ afterMs: 200, end: 'broken' }], ON, { route: nonIdempotent });
    expect(calls).toHaveLength(2);
    expect(getCount('withheld-not-idempotent')).toBe(2);
  });

  it('that the gateway itself makes has no extra attempt', async () => {
    const { request, signal } = createCaller();
    const forwarder = createForwarder([SLOW], ON);
    await time.settle(forwarder.send({ request, path: '/plain/x', deadlineMs: 3000, signal }));
    expect(calls).toHaveLength(1);
  });

  it.each([
    ['no-free-replica', 'the other replicas are full', () => fillOthers()],
    [
      'no-free-replica',
      'the other replicas are ejected',
      () =>
        directory
          .listAll()
          .slice(1)
          .forEach(({ health }) => {
            for (let count = 0; count < 10; count += 1) health.recordFailure(time.nowMs(), true);
          }),
    ],
    [
      'no-free-replica',
      'the other replicas need permits and none is issued',
      () =>
        directory
          .listAll()
          .slice(1)
          .forEach(({ replica }) => limits.record(replica, 1, time.nowMs())),
    ],
    ['memory', 'the memory is short', () => environment.memory.open().grow(time.MEMORY_BYTES)],
    ['stopping', 'the gateway stops', () => plannedStop.begin(time.GRACE_PERIOD_MS)],
  ])('has no extra attempt (%s) when %s', async (reason, _when, prepare) => {
    prepare();
    await run([{ afterMs: 1000, end: 200 }]);
    expect(calls).toHaveLength(1);
    expect(getCount(`withheld-${reason}`)).toBe(1);
  });

  it('has no extra attempt while it is suspect because its first replica ended', async () => {
    await run([
      { afterMs: 10, end: 'broken' },
      { afterMs: 1000, end: 200 },
    ]);
    expect(calls).toHaveLength(2);
    expect(getCount('withheld-no-free-replica')).toBe(1);
  });

  it('has no extra attempt once its key was taken away', async () => {
    const endMs = time.nowMs() + DELAY_MS / 2;
    const organisation = { name: 'o', priority: undefined };
    const authorisation = { organisation, isValid: () => time.nowMs() < endMs };
    await run([{ afterMs: 1000, end: 200 }], ON, { caller: { authorisation } });
    expect(calls).toHaveLength(1);
  });

  it('is hedged after the fixed delay without budget or metrics when the setting is off', async () => {
    fillOthers();
    await run([SLOW, SLOW, FAST], null);
    expect(calls.map(({ startMs }) => startMs - calls[0].startMs)).toEqual([0, 100, 200]);
    expect(environment.metrics.format()).not.toContain('extra_attempts');
    expect(lines).not.toContain('extra attempt sent');
  });
});
