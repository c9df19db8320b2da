/**
 * Replicas of two versions of their software serve side by side. What two versions write does not
 * fit together, so a text goes on only at the version that began it.
 */
import * as decisions from '@azureworks/decisions';
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

    it('is not taken for the former version of a replica whose new row is late', async () => {
      addEngines('v1', ['e1']);
      const entry = await system.start('vm-1');
      await time.advance(1000);
      system.replicas.resetConnections('e1');
      system.replicas.actualSoftware.set('e1', 'v2');
      system.replicas.eventCounts.set('first', 400);
      const stream = open(entry, 'first');
      await time.advance(300);
      stream.leave();
      expect(findVersion('first')).toBe('v2');
      addEngines('v1', ['e2']);
      system.addReplica('e1', { softwareVersion: 'v2', bornMs: 2 });
      await time.advance(1000);
      expect((await resume(entry, 'first', 'second')).version).not.toBe('v1');
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

  describe('and a gateway out of step', () => {
    /** Begins streams until one runs at a version, and leaves it. */
    async function beginAt(entry: gateway.Gateway, version: string): Promise<string> {
      for (let index = 0; index < 20; index += 1) {
        const id = `first-${version}-${index}`;
        system.replicas.eventCounts.set(id, 400);
        const stream = open(entry, id);
        await time.advance(100);
        stream.leave();
        if (findVersion(id) === version) return id;
      }
      throw new Error(`no stream began at ${version}`);
    }

    /** Cuts a gateway from the store, and lets the wait that is in flight there end. */
    async function cut(connectivity: systems.Connectivity): Promise<void> {
      Object.assign(connectivity, { isIsolated: true });
      await time.advance(1500);
    }

    async function startTwo(): Promise<{
      readonly calm: gateway.Gateway;
      readonly late: gateway.Gateway;
      readonly connectivity: systems.Connectivity;
    }> {
      addEngines('v1', ['e1', 'e2']);
      const connectivity: systems.Connectivity = { isDirectCut: false };
      const calm = await system.start('vm-1');
      const late = await system.start('vm-2', 'vm-2-first', connectivity);
      await time.advance(40_000);
      return { calm, late, connectivity };
    }

    it('takes no stream for the version that it knew before it was cut from the store', async () => {
      const { calm, late, connectivity } = await startTwo();
      await cut(connectivity);
      addEngines('v2', ['e3', 'e4']);
      const first = await beginAt(calm, 'v2');
      const stream = open(late, 'second', { afterEvent: 4, firstAttemptId: first });
      await time.advance(4000);
      expect(findVersion('second')).toBeUndefined();
      expect(stream.reply).toMatchObject({
        kind: 'failure',
        failure: { code: 'unknown-stream', verdict: 'not-run' },
      });
      connectivity.isIsolated = false;
      await time.advance(3000);
      expect(await resume(late, first, 'third')).toEqual({ isResumed: true, version: 'v2' });
    });

    it('takes no stream for the version that it knew before it stood still', async () => {
      const { calm, late, connectivity } = await startTwo();
      connectivity.isStalled = true;
      addEngines('v2', ['e3', 'e4']);
      const first = await beginAt(calm, 'v2');
      await time.advance(3000);
      connectivity.isStalled = false;
      expect(await resume(late, first, 'second')).toEqual({ isResumed: true, version: 'v2' });
    });

    it('takes no stream for the version that it knows while no gateway reaches the store', async () => {
      const { late } = await startTwo();
      system.isStoreAway = true;
      const stream = open(late, 'second', { afterEvent: 4, firstAttemptId: 'unknown' });
      await time.advance(4000);
      expect(stream.reply).toMatchObject({
        kind: 'failure',
        failure: { code: 'unknown-stream', verdict: 'not-run' },
      });
    });

    it('takes no stream for the version that it knew before it missed that another came and left', async () => {
      const { calm, late, connectivity } = await startTwo();
      await cut(connectivity);
      addEngines('v2', ['e3', 'e4']);
      await time.advance(3000);
      const first = await beginAt(calm, 'v2');
      await time.advance(1000);
      removeEngines(['e3', 'e4']);
      await time.advance(1000);
      system.store.dropHistory();
      connectivity.isIsolated = false;
      await time.advance(3000);
      expect(await resume(late, first, 'second')).toEqual({
        isResumed: false,
        version: undefined,
      });
    });

    it('begins no stream at a version that left longer ago than a stream lasts', async () => {
      const { calm, late, connectivity } = await startTwo();
      addEngines('v2', ['e3', 'e4']);
      await time.advance(1000);
      await cut(connectivity);
      removeEngines(['e3', 'e4']);
      await time.advance(40_000);
      const first = await beginAt(late, 'v2');
      expect((await resume(calm, first, 'second')).version).not.toBe('v1');
    });

    it('confirms with few calls what it knows, for many streams that are taken up at once', async () => {
      const { late } = await startTwo();
      const wait = jest.spyOn(system.store, 'waitForChanges');
      const streams: CallerStream[] = [];
      for (let index = 0; index < 400; index += 1) {
        streams.push(
          open(late, `s${index}`, { afterEvent: 4, firstAttemptId: `unknown ${index}` }),
        );
        if (index % 4 === 3) await time.advance(10);
      }
      const replicaFeeds = wait.mock.calls.filter(([table]) => table === 'replicas');
      expect(replicaFeeds.length).toBeLessThanOrEqual(15);
      await time.advance(1000);
      expect(streams.every(({ events }) => events.length > 0)).toBe(true);
    });

    it('lets a stream go on at once while nothing is wrong', async () => {
      const { late } = await startTwo();
      const stream = open(late, 'second', { afterEvent: 4, firstAttemptId: 'unknown' });
      await time.advance(60);
      expect(stream.events.length).toBeGreaterThan(0);
      stream.leave();
    });

    const STEPS = 72;
    /** The other versions leave after so many steps, for longer than a stream lasts. */
    const STEPS_PER_ROUND = 12;
    const ROUND_PAUSE_MS = 35_000;
    const STEP_MS = 400;
    const EXIT_MS = 10_000;
    /** How long a gateway must have been undisturbed for its refusals to count. */
    const CALM_MS = 5000;

    /** One gateway of a random play. */
    interface Player {
      readonly entry: gateway.Gateway;
      readonly connectivity: systems.Connectivity;
      disturbedMs: number;
    }

    function disturb(player: Player, isIsolated: boolean, isStalled: boolean): void {
      Object.assign(player.connectivity, { isIsolated, isStalled });
      Object.assign(player, { disturbedMs: time.nowMs() });
    }

    /** Removes replicas, which serve for a while longer before they exit. */
    function remove(ids: readonly string[]): void {
      removeEngines(ids);
      setTimeout(() => {
        ids.forEach((id) => {
          system.replicas.getBehaviour(id).refusals = Infinity;
        });
      }, EXIT_MS);
    }

    /** Adds or removes a replica, keeping two of the first version. */
    function release(engines: Map<string, string>, random: () => number, step: number): void {
      const others = [...engines].filter(([, version]) => version !== 'v1');
      if (others.length > 0 && random() < 0.5) {
        const [id] = others[Math.floor(random() * others.length)] ?? [''];
        engines.delete(id);
        remove([id]);
        return;
      }
      const version = random() < 0.7 ? 'v2' : 'v3';
      engines.set(`r${step}`, version);
      addEngines(version, [`r${step}`]);
    }

    function isOut({ connectivity }: Player): boolean {
      return connectivity.isIsolated === true || connectivity.isStalled === true;
    }

    function isCalm(player: Player): boolean {
      return !isOut(player) && time.nowMs() - player.disturbedMs >= CALM_MS;
    }

    async function startPlayers(): Promise<Player[]> {
      const players: Player[] = [];
      for (const vm of ['vm-1', 'vm-2', 'vm-3']) {
        const connectivity = { isDirectCut: false };
        const entry = await system.start(vm, `${vm}-first`, connectivity);
        players.push({ entry, connectivity, disturbedMs: -Infinity });
      }
      return players;
    }

    it.each([1, 2, 3, 4, 5, 6, 7, 8])(
      'joins no versions in a random play of cuts, releases and take-ups (seed %i)',
      async (seed) => {
        const generator = decisions.SeededRandom.create(seed);
        const random = (): number => generator.next();
        addEngines('v1', ['e1', 'e2']);
        const players = await startPlayers();
        const pick = (): Player => players[Math.floor(random() * players.length)];
        const engines = new Map<string, string>();
        const firsts: { id: string; stream: CallerStream; isFromCalm: boolean }[] = [];
        const joined: string[] = [];
        const calm = { begun: 0, began: 0, taken: 0, resumed: 0 };
        const disturbOrRelease = (step: number): void => {
          const act = random();
          const player = pick();
          // Responses in flight are late in both cases.
          if (act < 0.3 && !players.some(isOut)) disturb(player, random() < 0.5, true);
          else if (act < 0.5) players.filter(isOut).forEach((out) => disturb(out, false, false));
          else if (act < 0.75) release(engines, random, step);
          else if (act < 0.8) system.store.dropHistory();
        };
        const begin = async (id: string): Promise<void> => {
          const player = pick();
          const isFromCalm = isCalm(player);
          system.replicas.eventCounts.set(id, 400);
          const stream = open(player.entry, id);
          await time.advance(STEP_MS);
          const hasBegun = stream.events.length > 0;
          calm.begun += Number(isFromCalm);
          calm.began += Number(isFromCalm && hasBegun);
          if (hasBegun) firsts.push({ id, stream, isFromCalm });
        };
        const takeUp = async (id: string): Promise<void> => {
          const former = firsts.at(-1 - Math.floor(random() * 3));
          if (!former) return;
          const player = pick();
          const isCounted = isCalm(player) && former.isFromCalm;
          former.stream.leave();
          const again = open(player.entry, id, { afterEvent: 4, firstAttemptId: former.id });
          await time.advance(STEP_MS);
          again.leave();
          const versions = [findVersion(former.id), findVersion(id)];
          if (versions[1] !== undefined && versions[0] !== versions[1])
            joined.push(`${former.id}, ${id}: ${versions.join(' and ')}`);
          if (!isCounted || versions[0] !== 'v1') return;
          calm.taken += 1;
          calm.resumed += Number(again.events.length > 0);
        };
        for (let step = 0; step < STEPS; step += 1) {
          if (step % STEPS_PER_ROUND === 0) {
            remove([...engines.keys()]);
            engines.clear();
            firsts.length = 0;
            await time.advance(ROUND_PAUSE_MS);
          }
          disturbOrRelease(step);
          await begin(`first-${step}`);
          await takeUp(`again-${step}`);
        }
        expect(joined).toEqual([]);
        expect(calm.taken).toBeGreaterThan(0);
        expect(calm.resumed / calm.taken).toBeGreaterThanOrEqual(calm.began / calm.begun / 2);
      },
    );
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

    it('begin anew after a while when only replicas of other versions have room', async () => {
      addEngines('v1', ['e1', 'e2']);
      const entry = await system.start('vm-1');
      await run(entry, 2000);
      await time.advance(1000);
      addEngines('v2', ['e3', 'e4']);
      const cutOff = system.replicas.runs.filter(({ replica }) => replica === 'e2');
      expect(cutOff).toHaveLength(4);
      removeEngines(['e2']);
      await time.advance(4000);
      const later = system.replicas.runs.filter(({ startedMs }) => startedMs > time.nowMs() - 4000);
      expect(later.map(({ itemId }) => itemId).sort()).toEqual(
        cutOff.map(({ itemId }) => itemId).sort(),
      );
      expect(listJoinedRuns()).toEqual([]);
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
