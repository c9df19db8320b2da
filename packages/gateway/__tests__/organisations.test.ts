/**
 * Requests run for the organisation of their key. These tests guard against keys that reach replicas, work
 * after they were taken away, are refused because a gateway knows too little, or find another
 * organisation's jobs.
 */
import * as util from 'node:util';
import * as gateway from '@azureworks/gateway';
import * as confirmations from '../src/organisations/confirmation';
import * as keyRings from '../src/organisations/key-ring';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const REVOCATION_MS = 5000;
const NEVER_ABORTED = new AbortController().signal;
const KEY = 'a828m82thhkmgjqnirth';
const SECOND_KEY = '5mgjy5rcpihhacrudded';
const OTHER_KEY = 'other-organisations-key';

function createRing(keys: readonly string[]): gateway.KeyRing {
  return gateway.KeyRing.create([
    { name: 'first', priority: 0, keys },
    { name: 'second', priority: undefined, keys: [OTHER_KEY] },
  ]);
}

describe('the keys of organisations', () => {
  it('are found by their digests and held as nothing else', () => {
    const ring = createRing([KEY]);
    expect(ring.find(keyRings.digestKey(KEY))).toEqual({ name: 'first', priority: 0 });
    expect(ring.find(keyRings.digestKey('unknown'))).toBeUndefined();
    expect(util.inspect(ring, { depth: 9, showHidden: true })).not.toContain(KEY);
  });
});

describe('the confirmation of a configuration', () => {
  let nowMs: number;
  let suspendedMs: number;
  let confirmation: confirmations.ConfigurationConfirmation;

  beforeEach(() => {
    nowMs = 0;
    suspendedMs = 0;
    const clocks = { nowMs: () => nowMs, wallClockMs: () => nowMs + suspendedMs };
    confirmation = confirmations.ConfigurationConfirmation.create(clocks, REVOCATION_MS);
  });

  it('counts from before the read was sent, for less than the revocation time', () => {
    expect(confirmation.isValid).toBe(false);
    const confirm = confirmation.begin();
    nowMs = 1000;
    confirm();
    nowMs = 3999;
    expect(confirmation.isValid).toBe(true);
    nowMs = 4000;
    expect(confirmation.isValid).toBe(false);
  });

  it('ends with a suspension that the monotonic clock does not count', () => {
    confirmation.begin()();
    suspendedMs = 6000;
    expect(confirmation.isValid).toBe(false);
  });
});

describe('requests with keys', () => {
  let system: systems.TestSystem;
  let connectivity: systems.Connectivity;
  let entry: gateway.Gateway;
  let requests: number;

  beforeEach(async () => {
    jest.useFakeTimers();
    requests = 0;
    system = systems.TestSystem.create();
    system.revocationMs = REVOCATION_MS;
    connectivity = { isDirectCut: false };
    system.addReplica('plain-1', { isPlain: true });
    system.addReplica('plain-2', { isPlain: true });
    system.addReplica('other-1', { isOther: true });
    system.addReplica('engine-1');
    configure(1, [KEY]);
    entry = await system.start('vm', 'vm-first', connectivity);
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  /** The route of `/other/` is public. */
  function configure(version: number, keys: readonly string[]): void {
    const configuration = systems.createConfiguration(version);
    const routes = configuration.routes.map((route) => ({
      ...route,
      isPublic: route.name === 'other',
    }));
    system.configure({ ...configuration, routes, keyRing: createRing(keys) });
  }

  function send(key: string | undefined, path = '/plain/x'): Promise<gateway.GatewayReply> {
    return time.settle(start(key, path));
  }

  function start(key: string | undefined, path: string): Promise<gateway.GatewayReply> {
    requests += 1;
    const request = {
      id: `attempt-${requests}`,
      method: 'POST',
      target: path,
      host: systems.HOST,
      headers: [],
      body: Buffer.from('body'),
    };
    return entry.handle(
      {
        request,
        path,
        key,
        deadlineMs: 2000,
        receivedMs: time.nowMs(),
        signal: NEVER_ABORTED,
        afterEvent: undefined,
      },
      { begin: () => {}, receive: () => {} },
    );
  }

  it('run for the organisation of the key, whatever the route asks', async () => {
    expect(await send(KEY)).toMatchObject({ kind: 'answer' });
    expect(await send(undefined, '/other/x')).toMatchObject({ kind: 'answer' });
    expect([...system.replicas.organisations.values()]).toEqual(['first', null]);
  });

  it('are refused for good with a key that the store does not know', async () => {
    const unknown = await send('unknown');
    expect(unknown).toMatchObject({ kind: 'failure', failure: { code: 'unauthorized' } });
    expect(JSON.stringify(unknown)).not.toContain('unknown"');
    expect(await send(undefined)).toMatchObject({ failure: { code: 'unauthorized' } });
    expect(system.replicas.calls).toEqual([]);
  });

  it('run with a key that was added a moment ago', async () => {
    configure(2, [KEY, SECOND_KEY]);
    expect(await send(SECOND_KEY)).toMatchObject({ kind: 'answer' });
  });

  it('are refused as not run by a gateway that cannot ask whether their key is known', async () => {
    connectivity.isDirectCut = true;
    connectivity.isIsolated = true;
    expect(await send(SECOND_KEY)).toMatchObject({ failure: { code: 'revision-unconfirmed' } });
    expect(await send(KEY)).toMatchObject({ kind: 'answer' });
  });

  it('never run with a key that was taken away, at a gateway that does not learn of it', async () => {
    Object.assign(connectivity, { isDirectCut: true, isIsolated: true });
    configure(2, [SECOND_KEY]);
    await time.advance(REVOCATION_MS);
    const before = system.replicas.calls.length;
    expect(await send(KEY)).toMatchObject({ failure: { code: 'revision-unconfirmed' } });
    expect(entry.isReady).toBe(false);
    expect(system.replicas.calls).toHaveLength(before);
    expect(await send(undefined, '/other/x')).toMatchObject({ kind: 'answer' });
    Object.assign(connectivity, { isDirectCut: false, isIsolated: false });
    await time.advance(2000);
    expect(await send(KEY)).toMatchObject({ failure: { code: 'unauthorized' } });
    expect(await send(SECOND_KEY)).toMatchObject({ kind: 'answer' });
  });

  it('are not sent again with a key that was taken away meanwhile', async () => {
    ['plain-1', 'plain-2'].forEach((id) => {
      system.replicas.getBehaviour(id).status = 500;
      system.replicas.getBehaviour(id).answerMs = 300;
    });
    const reply = start(KEY, '/plain/x');
    await time.advance(20);
    configure(2, [SECOND_KEY]);
    await time.settle(reply);
    expect(system.replicas.calls.filter(({ id }) => id === 'attempt-1')).toHaveLength(1);
  });

  it('find the batch jobs of their own organisation only', async () => {
    const job = { ...systems.createJob('job', 1, 1), organisation: 'first' };
    await time.settle(entry.jobs.submit(job));
    await time.advance(2000);
    const read = (organisation?: string): ReturnType<typeof entry.jobs.results.read> =>
      time.settle(entry.jobs.results.read('job', 0, 0, NEVER_ABORTED, organisation));
    expect(await read('first')).toMatchObject({ isOk: true, value: { total: 1 } });
    const outcomes = [
      await read('second'),
      await read(),
      await time.settle(entry.jobs.results.readBody('job', 'job-0', 'second')),
      await time.settle(entry.jobs.end('job', 'second')),
    ];
    outcomes.forEach((outcome) => {
      expect(outcome).toMatchObject({ isOk: false, failure: { code: 'unknown-job' } });
    });
    expect(await time.settle(entry.jobs.submit({ ...job, organisation: 'second' }))).toMatchObject({
      failure: { code: 'conflict' },
    });
    expect(system.replicas.organisations.get('job-0')).toBe('first');
    expect(system.replicas.organisations.get('score-job-0')).toBeNull();
  });
});
