/**
 * Replicas of two versions of their software serve side by side. What two versions write does not
 * fit together, so a text goes on only at the version that began it.
 */
import type * as gateway from '@azureworks/gateway';
import type * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const DEADLINE_MS = 8000;

/** A stream as its caller sees it. */
interface CallerStream {
  readonly events: string[];
  reply: gateway.GatewayReply | undefined;
  readonly leave: () => void;
}

describe('replicas of two software versions', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    system.addReplica('p1', { isPlain: true });
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function addEngines(softwareVersion: string, ids: readonly string[]): void {
    ids.forEach((id) => system.addReplica(id, { softwareVersion }));
  }

  function removeEngines(ids: readonly string[]): void {
    ids.forEach((id) => {
      system.store.remove('replicas', '', id);
      system.replicas.resetConnections(id);
    });
  }

  /** The runs that went on with a text which another version had begun. */
  function listJoinedRuns(): fakeReplicas.RecordedRun[] {
    const beginnings = new Map<string, string | undefined>();
    return system.replicas.runs.filter(({ itemId, afterEvent, softwareVersion }) => {
      if (afterEvent === undefined) beginnings.set(itemId, softwareVersion);
      return beginnings.get(itemId) !== softwareVersion;
    });
  }

  function open(
    entry: gateway.Gateway,
    id: string,
    resumed: { readonly afterEvent?: number; readonly firstAttemptId?: string } = {},
  ): CallerStream {
    const abort = new AbortController();
    const stream: CallerStream = { events: [], reply: undefined, leave: () => abort.abort() };
    entry
      .handle(
        {
          request: {
            id,
            method: 'POST',
            target: '/stream/x',
            host: systems.HOST,
            headers: [],
            body: Buffer.from('stream'),
          },
          path: '/stream/x',
          deadlineMs: DEADLINE_MS,
          receivedMs: time.nowMs(),
          signal: abort.signal,
          afterEvent: undefined,
          ...resumed,
        },
        { begin: () => {}, receive: (raw) => stream.events.push(raw.toString()) },
      )
      .then((reply) => {
        stream.reply = reply;
      });
    return stream;
  }

  /** The version at which an attempt ran last. */
  function findVersion(attemptId: string): string | undefined {
    return system.replicas.runs.findLast(({ itemId }) => itemId === attemptId)?.softwareVersion;
  }

  /** Resumes a stream under a new attempt; returns whether it went on, and at which version. */
  async function resume(
    entry: gateway.Gateway,
    firstAttemptId: string,
    id: string,
  ): Promise<{ readonly isResumed: boolean; readonly version: string | undefined }> {
    const stream = open(entry, id, { afterEvent: 4, firstAttemptId });
    await time.advance(1500);
    stream.leave();
    return { isResumed: stream.events.length > 0, version: findVersion(id) };
  }

  describe('and a stream of a caller', () => {
    it('goes on within its answer only at the version that began it', async () => {
      addEngines('v1', ['e1']);
      const entry = await system.start('vm-1');
      addEngines('v2', ['e2', 'e3', 'e4']);
      addEngines('v1', ['e5']);
      system.replicas.getBehaviour('e1').breakAfterEvents = 4;
      system.replicas.getBehaviour('e5').eventMs = 5;
      ['e2', 'e3', 'e4'].forEach((id) => {
        system.replicas.getBehaviour(id).refusals = 1;
      });
      const streams = ['s1', 's2', 's3', 's4'].map((id) => open(entry, id));
      await time.advance(6000);
      expect(listJoinedRuns()).toEqual([]);
      const begun = streams.filter((stream) => stream.events.length > 0);
      expect(begun.length).toBeGreaterThan(0);
      begun.forEach((stream) => expect(stream.reply).toEqual({ kind: 'streamed', isWhole: true }));
    });

    it('breaks off within its answer when no replica of its version is left', async () => {
      addEngines('v1', ['e1']);
      const entry = await system.start('vm-1');
      system.replicas.getBehaviour('e1').breakAfterEvents = 4;
      const stream = open(entry, 's1');
      await time.advance(10);
      addEngines('v2', ['e2', 'e3']);
      await time.advance(3000);
      expect(stream.events).toHaveLength(4);
      expect(stream.reply).toEqual({ kind: 'streamed', isWhole: false });
    });

    it('goes on at the version that began it when its caller takes it up at another gateway', async () => {
      addEngines('v1', ['e1', 'e2']);
      addEngines('v2', ['e3', 'e4']);
      const entries = [await system.start('vm-1'), await system.start('vm-2')];
      let resumed = 0;
      for (let index = 0; index < 16; index += 1) {
        const first = `first-${index}`;
        system.replicas.eventCounts.set(first, 400);
        const stream = open(entries[0], first);
        await time.advance(600);
        stream.leave();
        const { isResumed, version } = await resume(entries[1], first, `second-${index}`);
        if (version !== undefined) expect(version).toBe(findVersion(first));
        resumed += Number(isResumed);
      }
      expect(resumed).toBeGreaterThanOrEqual(8);
    });

    it('goes on at the version that began it after all gateways lost power', async () => {
      addEngines('v1', ['e1', 'e2']);
      addEngines('v2', ['e3', 'e4']);
      const connectivities = [{ isDirectCut: false }, { isDirectCut: false }];
      const formers = [
        await system.start('vm-1', 'former', connectivities[0]),
        await system.start('vm-2', 'former', connectivities[1]),
      ];
      const firsts = Array.from({ length: 16 }, (_unused, index) => `first-${index}`);
      firsts.forEach((id, index) => {
        system.replicas.eventCounts.set(id, 400);
        open(formers[index % 2], id);
      });
      await time.advance(2000);
      connectivities.forEach((connectivity) => Object.assign(connectivity, { isDead: true }));
      const entries = [await system.start('vm-1', 'later'), await system.start('vm-2', 'later')];
      let resumed = 0;
      for (const [index, first] of firsts.entries()) {
        const { isResumed, version } = await resume(entries[index % 2], first, `later-${index}`);
        if (version !== undefined) expect(version).toBe(findVersion(first));
        resumed += Number(isResumed);
      }
      expect(resumed).toBeGreaterThanOrEqual(8);
    });

    it('is refused as not run when the replicas of its version are gone, however it is taken up', async () => {
      addEngines('v1', ['e1', 'e2']);
      const connectivity = { isDirectCut: false };
      const former = await system.start('vm-1', 'former', connectivity);
      system.replicas.eventCounts.set('first', 400);
      const stream = open(former, 'first');
      await time.advance(1000);
      stream.leave();
      addEngines('v2', ['e3', 'e4']);
      await time.advance(1000);
      removeEngines(['e1', 'e2']);
      await time.advance(200);
      const taken = open(former, 'second', { afterEvent: 4, firstAttemptId: 'first' });
      Object.assign(connectivity, { isDead: true });
      const later = await system.start('vm-1', 'later');
      const third = open(later, 'third', { afterEvent: 4, firstAttemptId: 'first' });
      await time.advance(3000);
      [taken, third].forEach((refused) => {
        expect(refused.events).toEqual([]);
        expect(refused.reply).toMatchObject({ kind: 'failure', failure: { verdict: 'not-run' } });
      });
    });

    it('is refused when nobody knows which version began it', async () => {
      addEngines('v1', ['e1', 'e2']);
      addEngines('v2', ['e3', 'e4']);
      const entry = await system.start('vm-1');
      const known = open(entry, 'other', { afterEvent: 4, firstAttemptId: 'never seen' });
      const unnamed = open(entry, 'another', { afterEvent: 4 });
      await time.advance(2000);
      [known, unnamed].forEach((refused) => {
        expect(refused.events).toEqual([]);
        expect(refused.reply).toMatchObject({ kind: 'failure', failure: { verdict: 'not-run' } });
      });
    });

    it('goes on anywhere while one version serves, also after all gateways lost power', async () => {
      addEngines('v1', ['e1', 'e2']);
      const connectivity = { isDirectCut: false };
      await system.start('vm-1', 'former', connectivity);
      await time.advance(60_000);
      Object.assign(connectivity, { isDead: true });
      const later = await system.start('vm-1', 'later');
      await time.advance(1000);
      expect(await resume(later, 'first', 'second')).toMatchObject({ isResumed: true });
    });
  });

  describe('and what is stored of streams', () => {
    const countReads = (table: string, read: jest.SpyInstance): number =>
      read.mock.calls.filter(([range]) => (range as gateway.RowRange).table === table).length;

    it('is nothing while one version serves, and nothing is read for take-ups', async () => {
      addEngines('v1', ['e1', 'e2']);
      const entry = await system.start('vm-1');
      await time.advance(40_000);
      const read = jest.spyOn(system.store, 'read');
      const streams = Array.from({ length: 20 }, (_unused, index) => open(entry, `s${index}`));
      await time.advance(2000);
      expect(streams.every(({ reply }) => reply?.kind === 'streamed')).toBe(true);
      expect(await resume(entry, 'unknown', 'later')).toMatchObject({ isResumed: true });
      expect(system.store.inspect('origins')).toEqual([]);
      expect(countReads('origins', read) + countReads('software', read)).toBe(0);
    });

    it('includes those that began before the second version came', async () => {
      addEngines('v1', ['e1', 'e2']);
      const connectivity = { isDirectCut: false };
      const former = await system.start('vm-1', 'former', connectivity);
      await time.advance(40_000);
      const firsts = Array.from({ length: 6 }, (_unused, index) => `first-${index}`);
      firsts.forEach((id) => {
        system.replicas.eventCounts.set(id, 400);
        open(former, id);
      });
      await time.advance(500);
      addEngines('v2', ['e3', 'e4']);
      await time.advance(1000);
      Object.assign(connectivity, { isDead: true });
      const later = await system.start('vm-1', 'later');
      for (const first of firsts) {
        const { isResumed, version } = await resume(later, first, `${first}-resumed`);
        expect({ isResumed, version }).toEqual({ isResumed: true, version: 'v1' });
      }
    });

    it('is many streams in a row, and is removed once they must have ended', async () => {
      addEngines('v1', ['e1', 'e2']);
      addEngines('v2', ['e3', 'e4']);
      const entry = await system.start('vm-1');
      for (let index = 0; index < 200; index += 1) {
        open(entry, `s${index}`);
        if (index % 10 === 9) await time.advance(100);
      }
      await time.advance(1000);
      const rows = system.store.inspect('origins');
      expect(rows.length).toBeGreaterThan(0);
      expect(rows.length).toBeLessThan(20);
      removeEngines(['e3', 'e4']);
      await time.advance(130_000);
      expect(system.store.inspect('origins')).toEqual([]);
    });
  });

  describe('and the texts of items', () => {
    async function run(entry: gateway.Gateway, events: number): Promise<gateway.BatchJob> {
      const job = systems.createJob('job', 2, 4);
      job.items.forEach((item) => system.replicas.eventCounts.set(item.id, events));
      await time.settle(entry.jobs.submit(job));
      return job;
    }

    it('go on at the version that began them, or begin anew', async () => {
      addEngines('v1', ['e1', 'e2']);
      addEngines('v2', ['e3', 'e4']);
      const entry = await system.start('vm-1');
      ['e1', 'e3'].forEach((id) => {
        system.replicas.getBehaviour(id).breakAfterEvents = 6;
      });
      await run(entry, 20);
      await time.advance(500);
      removeEngines(['e1', 'e2']);
      await time.advance(6000);
      expect(listJoinedRuns()).toEqual([]);
      const page = await time.settle(
        entry.jobs.results.read('job', 0, 0, new AbortController().signal),
      );
      expect(page).toMatchObject({ isOk: true, value: { total: 8 } });
      if (page.isOk) expect(page.value.results).toHaveLength(8);
      expect(system.replicas.runs.some((item) => item.afterEvent !== undefined)).toBe(true);
    });

    it('go on at the version that began them when another gateway takes their job over', async () => {
      addEngines('v1', ['e1', 'e2']);
      addEngines('v2', ['e3', 'e4']);
      const connectivity = { isDirectCut: false, isIsolated: false };
      const first = await system.start('vm-1', 'former', connectivity);
      await system.start('vm-2');
      await run(first, 200);
      await time.advance(2500);
      connectivity.isIsolated = true;
      await time.advance(9000);
      expect(listJoinedRuns()).toEqual([]);
      expect(system.replicas.runs.some((item) => (item.afterEvent ?? 0) > 40)).toBe(true);
    });

    it('begin anew when an earlier gateway did not save the version that began them', async () => {
      addEngines('v1', ['e1']);
      const connectivity = { isDirectCut: false, isIsolated: false };
      const first = await system.start('vm-1', 'former', connectivity);
      await run(first, 200);
      await time.advance(2500);
      connectivity.isIsolated = true;
      system.store.inspect('partials').forEach((row) => {
        const { software, ...text } = JSON.parse(row.value.toString()) as Record<string, unknown>;
        system.store.write('partials', row.partition, row.key, JSON.stringify(text));
      });
      const before = system.replicas.runs.length;
      await system.start('vm-2');
      await time.advance(8000);
      const later = system.replicas.runs.slice(before);
      expect(later.length).toBeGreaterThan(0);
      later.forEach((item) => expect(item.afterEvent).toBeUndefined());
    });
  });
});
