/**
 * Replicas crash one after the other under the items of a job and under their scoring calls, while
 * callers send requests of the same content that are in quarantine.
 */
import * as gateway from '@azureworks/gateway';
import * as evidenceRows from '../src/quarantine/evidence-rows';
import * as jobRecords from '../src/jobs/job-record';
import * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

/** More than crash in any test within the time of a restart. */
const REPLICAS = 12;
const ENGINES = Array.from({ length: REPLICAS }, (_unused, index) => `e${index}`);
const PLAIN = Array.from({ length: REPLICAS }, (_unused, index) => `p${index}`);
/** One more than the crashes that quarantine any request of a caller. */
const CRASHES = 4;
const STEP_MS = 20;
/** Events after which a replica crashes under an item: some of its text is there. */
const EVENTS_BEFORE_CRASH = 3;
const EVENT_MS = 20;
const EVENTS = 80;
/** The longest backoff before an item or a scoring call is sent once more, and a step. */
const MOST_DELAY_MS = 150 + STEP_MS;
const JOB_LIMIT_MS = 30_000;
const TAKEOVER_MS = 8000;
const STREAM_PATH = '/stream/item';
const NEVER_ABORTED = new AbortController().signal;

describe('an item under which replicas crash', () => {
  let system: systems.TestSystem;
  let attempts: number;

  beforeEach(() => {
    jest.useFakeTimers();
    attempts = 0;
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ENGINES.forEach((id) => system.addReplica(id));
    PLAIN.forEach((id) => system.addReplica(id, { isPlain: true }));
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function createJob(id: string, groups = 1, size = 1): gateway.BatchJob {
    const job = systems.createJob(id, groups, size);
    job.items.forEach((item) => system.replicas.eventCounts.set(item.id, EVENTS));
    return job;
  }

  async function submit(entry: gateway.Gateway, job: gateway.BatchJob): Promise<void> {
    expect((await time.settle(entry.jobs.submit(job))).isOk).toBe(true);
  }

  function listRuns(id: string): readonly fakeReplicas.RecordedRun[] {
    return system.replicas.runs.filter(({ itemId }) => itemId === id);
  }

  /** Crashes the replica on which an item runs; returns the time until the item ran again. */
  async function crashOnceUnderItem(id: string): Promise<number> {
    await time.advance(EVENT_MS * EVENTS_BEFORE_CRASH + EVENT_MS / 2);
    const seen = listRuns(id).length;
    const crashedMs = time.nowMs();
    system.replicas.crash(listRuns(id).at(-1)?.replica ?? '');
    const limitMs = crashedMs + JOB_LIMIT_MS;
    while (listRuns(id).length === seen && time.nowMs() < limitMs) await time.advance(STEP_MS);
    return (listRuns(id)[seen]?.startedMs ?? Infinity) - crashedMs;
  }

  async function crashUnderItem(id: string, crashes: number): Promise<number[]> {
    const delaysMs: number[] = [];
    while (delaysMs.length < crashes) delaysMs.push(await crashOnceUnderItem(id));
    return delaysMs;
  }

  /** Crashes each replica that runs a scoring call, until a number of them have crashed. */
  async function crashUnderScoring(callId: string, crashes: number): Promise<number[]> {
    const { replicas } = system;
    const startsMs: number[] = [];
    const limitMs = time.nowMs() + JOB_LIMIT_MS;
    for (let seen = 0; startsMs.length < crashes && time.nowMs() < limitMs;) {
      await time.advance(STEP_MS / 4);
      const added = replicas.calls.filter(({ id }) => id === callId).slice(seen);
      seen += added.length;
      startsMs.push(...added.map((call) => call.startedMs));
      added.forEach((call) => replicas.crash(call.replica));
    }
    return startsMs;
  }

  function listEvidence(): readonly gateway.Row[] {
    return system.store
      .inspect(jobRecords.NOTICES_TABLE)
      .filter((row) => row.partition === evidenceRows.EVIDENCE_PARTITION);
  }

  async function send(entry: gateway.Gateway, path: string, body: Buffer): Promise<string> {
    attempts += 1;
    const reply = await time.settle(
      entry.handle(
        {
          request: {
            id: `attempt-${attempts}`,
            method: 'POST',
            target: path,
            host: systems.HOST,
            headers: [],
            body,
          },
          path,
          deadlineMs: 3000,
          receivedMs: time.nowMs(),
          signal: new AbortController().signal,
          afterEvent: undefined,
        },
        { begin: () => {}, receive: () => {} },
      ),
    );
    if (reply.kind === 'failure') return reply.failure.code;
    return reply.kind === 'answer' ? String(reply.answer.status) : reply.kind;
  }

  /** Has a caller's request quarantined by crashing each replica that runs it. */
  async function quarantine(entry: gateway.Gateway, path: string, body: Buffer): Promise<void> {
    system.replicas.deadlyBodies.add(body.toString());
    for (let round = 0; round < CRASHES; round += 1) await send(entry, path, body);
    await time.advance(2 * fakeReplicas.RESTART_MS);
    expect(await send(entry, path, body)).toBe('request-quarantined');
    system.replicas.deadlyBodies.delete(body.toString());
  }

  async function expectCompleted(entry: gateway.Gateway, job: gateway.BatchJob): Promise<void> {
    let results: readonly gateway.ItemResult[] = [];
    const limitMs = time.nowMs() + JOB_LIMIT_MS;
    while (results.length < job.items.length && time.nowMs() < limitMs) {
      const answer = await time.settle(entry.jobs.results.read(job.id, 0, 0, NEVER_ABORTED));
      if (!answer.isOk) throw new Error(answer.failure.message);
      results = answer.value.results;
    }
    expect(results.map(({ itemId }) => itemId).sort()).toEqual(
      job.items.map(({ id }) => id).sort(),
    );
    results.forEach(({ itemId, state, text, score }) => {
      expect(state).toBe('completed');
      expect(text).toBe(fakeReplicas.createText(itemId, EVENTS));
      expect(score).toBe(`signature of score-${itemId}`);
    });
  }

  it('is sent on after each crash without further delay, and completed', async () => {
    const entry = await system.start('vm-1');
    const job = createJob('job');
    await submit(entry, job);
    const delaysMs = await crashUnderItem('job-0', CRASHES);
    expect(delaysMs).toHaveLength(CRASHES);
    delaysMs.forEach((delayMs) => expect(delayMs).toBeLessThanOrEqual(MOST_DELAY_MS));
    await expectCompleted(entry, job);
    expect(listEvidence()).toEqual([]);
  });

  it('is still owed by the gateway that a stopping one passes it to', async () => {
    const gateways = [await system.start('vm-1'), await system.start('vm-2')];
    await time.advance(1500);
    const job = createJob('job');
    await submit(gateways[0], job);
    await crashUnderItem('job-0', CRASHES);
    const [stopping] = gateways.filter((entry) => entry.jobs.has('job'));
    const [remaining] = gateways.filter((entry) => entry !== stopping);
    stopping.prepareStop(time.GRACE_PERIOD_MS);
    await time.settle(stopping.releaseJobs());
    await time.advance(300);
    expect(remaining.jobs.has('job')).toBe(true);
    const delaysMs = await crashUnderItem('job-0', CRASHES);
    expect(delaysMs).toHaveLength(CRASHES);
    delaysMs.forEach((delayMs) => expect(delayMs).toBeLessThanOrEqual(MOST_DELAY_MS));
    await expectCompleted(remaining, job);
  });

  it('is still owed by the gateway that takes it over, which goes on from a checkpoint', async () => {
    const connectivity = { isDirectCut: false, isDead: false };
    const first = await system.start('vm-1', 'vm-1-first', connectivity);
    const second = await system.start('vm-2');
    const job = createJob('job');
    // Long enough for a checkpoint before the gateway dies.
    ENGINES.forEach((id) => {
      system.replicas.getBehaviour(id).eventMs = 100;
    });
    await submit(first, job);
    await time.advance(1000);
    await crashUnderItem('job-0', CRASHES);
    await time.advance(1000);
    const before = system.replicas.runs.length;
    connectivity.isDead = true;
    await time.advance(TAKEOVER_MS);
    expect(system.replicas.runs.slice(before).map(({ itemId }) => itemId)).toContain('job-0');
    expect(system.replicas.runs[before]?.afterEvent).toBeGreaterThan(EVENTS_BEFORE_CRASH);
    await expectCompleted(second, job);
  });

  it('gets its score although replicas crashed under its scoring call at both of two gateways', async () => {
    const connectivity = { isDirectCut: false, isDead: false };
    const first = await system.start('vm-1', 'vm-1-first', connectivity);
    const second = await system.start('vm-2');
    const job = createJob('job');
    await submit(first, job);
    expect(await crashUnderScoring('score-job-0', CRASHES)).toHaveLength(CRASHES);
    connectivity.isDead = true;
    const startsMs = await crashUnderScoring('score-job-0', CRASHES);
    expect(startsMs).toHaveLength(CRASHES);
    await expectCompleted(second, job);
    expect(listEvidence()).toEqual([]);
  });

  it('does not keep a step from its end: all items are listed as completed', async () => {
    const entry = await system.start('vm-1');
    const job = createJob('job', 2, 3);
    await submit(entry, job);
    for (const { id } of job.items.slice(0, 2)) await crashUnderItem(id, 2);
    await expectCompleted(entry, job);
    await time.advance(1000);
    expect(entry.jobs.openCount).toBe(0);
  });

  it('is not refused beside a quarantined request of a caller with the same path and body', async () => {
    const entry = await system.start('vm-1');
    const body = Buffer.from('body of job-0');
    await quarantine(entry, STREAM_PATH, body);
    const job = createJob('job');
    const items = job.items.map((item) => ({ ...item, path: STREAM_PATH, body }));
    const startedMs = time.nowMs();
    await submit(entry, { ...job, items });
    await time.advance(MOST_DELAY_MS);
    const run = system.replicas.runs.findLast(({ itemId }) => itemId === 'job-0');
    expect((run?.startedMs ?? Infinity) - startedMs).toBeLessThanOrEqual(MOST_DELAY_MS);
    await crashUnderItem('job-0', CRASHES);
    await expectCompleted(entry, job);
    // The answer to the item does not vouch for the caller's request.
    expect(await send(entry, STREAM_PATH, body)).toBe('request-quarantined');
  });

  it('gets its score beside a quarantined request of a caller that equals its scoring call', async () => {
    const entry = await system.start('vm-1');
    const job = createJob('job');
    const [{ scoring }] = job.items;
    const path = scoring?.path ?? '';
    const body = scoring?.body ?? Buffer.alloc(0);
    await quarantine(entry, path, body);
    await submit(entry, job);
    await crashUnderScoring('score-job-0', CRASHES);
    await expectCompleted(entry, job);
    expect(await send(entry, path, body)).toBe('request-quarantined');
  });

  it('is no evidence against a request of a caller with the same path and body', async () => {
    const entry = await system.start('vm-1');
    const other = await system.start('vm-2');
    const body = Buffer.from('body of job-0');
    const job = createJob('job');
    const items = job.items.map((item) => ({ ...item, path: STREAM_PATH, body }));
    const [{ scoring }] = items;
    await submit(entry, { ...job, items });
    await crashUnderItem('job-0', CRASHES);
    await crashUnderScoring('score-job-0', CRASHES);
    expect(listEvidence()).toEqual([]);
    await time.advance(fakeReplicas.RESTART_MS);
    for (const sender of [entry, other]) {
      expect(await send(sender, STREAM_PATH, body)).toBe('streamed');
      const scoringBody = scoring?.body ?? Buffer.alloc(0);
      expect(await send(sender, scoring?.path ?? '', scoringBody)).toBe('200');
    }
    await expectCompleted(entry, job);
  });
});
