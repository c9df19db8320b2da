/**
 * An unexpected error in one place, such as a call to one replica that throws, ends nothing that others
 * wait for.
 */
import type * as gateway from '@azureworks/gateway';
import * as runtime from '@azureworks/runtime';
import * as errorGuards from '../src/core/error-guard';
import * as directories from '../src/replicas/directory';
import * as tableWatches from '../src/store/table-watch';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;

async function listResults(from: gateway.Gateway, id: string): Promise<readonly string[]> {
  const answer = await time.settle(from.jobs.results.read(id, 0, 0, NEVER_ABORTED));
  if (!answer.isOk) throw new Error(answer.failure.message);
  return answer.value.results.map((result) => result.state);
}

describe('an unexpected error', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  /** Lets the calls to one replica throw, at once or later. */
  function failCalls(id: string, isAtOnce: boolean): void {
    const { replicas } = system;
    (['call', 'stream', 'order', 'fetchReport', 'probe'] as const).forEach((name) => {
      const original = replicas[name].bind(replicas) as (...call: unknown[]) => Promise<unknown>;
      const failing = (replica: gateway.Replica, ...rest: unknown[]): Promise<unknown> => {
        if (replica.id !== id) return original(replica, ...rest);
        if (isAtOnce) throw new Error(`${name} cannot be sent`);
        return time.pause(5).then(() => {
          throw new Error(`${name} cannot be sent`);
        });
      };
      Object.assign(replicas, { [name]: failing });
    });
  }

  function createPlainRequest(index: number): gateway.CallerRequest {
    const id = `plain-${index}`;
    const path = '/plain/x';
    return {
      request: {
        id,
        method: 'POST',
        target: path,
        host: systems.HOST,
        headers: [],
        body: Buffer.from('b'),
      },
      path,
      deadlineMs: 2000,
      receivedMs: time.nowMs(),
      signal: NEVER_ABORTED,
      afterEvent: undefined,
    };
  }

  // Each error is a fault of the program; what it must not do is to end what comes after it.
  describe('of the store client', () => {
    const CALLS = ['read', 'transact', 'listPartitions', 'waitForChanges'] as const;

    /** Lets all calls of the gateways to the store throw. */
    function failStore(): () => void {
      const { store } = system;
      CALLS.forEach((name) => {
        Object.assign(store, {
          [name]: () => Promise.reject(new Error(`${name} failed unexpectedly`)),
        });
      });
      return () => CALLS.forEach((name) => Reflect.deleteProperty(store, name));
    }

    it('ends no loop: weights, jobs, members and tables are followed again afterwards', async () => {
      ['e1', 'e2'].forEach((id) => system.addReplica(id));
      ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
      const first = await system.start('vm-1');
      const second = await system.start('vm-2');
      system.replicas.eventCounts.set('job-0', 100);
      await time.settle(first.jobs.submit(systems.createJob('job', 3, 4)));
      const mend = failStore();
      await time.advance(4000);
      mend();
      system.addReplica('e3');
      system.store.write('operator', '', 'weights', 'model=2');
      await time.advance(9000);
      expect(await listResults(first, 'job')).toEqual(Array(12).fill('completed'));
      expect(await listResults(second, 'job')).toEqual(Array(12).fill('completed'));
      const ordered = system.replicas.orders.map(({ replica }) => replica);
      expect([...new Set(ordered)].sort()).toEqual(['e1', 'e2', 'e3']);
      const members = system.store
        .inspect('members')
        .map(({ key, revision }) => ({ key, revision }));
      await time.advance(3000);
      system.store.inspect('members').forEach(({ key, revision }) => {
        expect(revision).toBeGreaterThan(
          members.find((member) => member.key === key)?.revision ?? 0,
        );
      });
    });

    it('is logged once with its stack, however often it comes', () => {
      const lines: (object | undefined)[] = [];
      const log = {
        info: () => {},
        warn: (_message: string, fields?: object) => {
          lines.push(fields);
        },
      };
      const guard = errorGuards.ErrorGuard.create({ log }, 'task');
      const fail = (): never => {
        throw new Error('cause');
      };
      for (let count = 0; count < 5; count += 1) guard.run(fail);
      expect(lines).toHaveLength(1);
      expect(lines[0]).toMatchObject({ task: 'task' });
      expect(JSON.stringify(lines[0])).toContain('unexpected-errors.test');
    });
  });

  describe('of one observer of a table', () => {
    it('keeps the watch following, and keeps nothing from the other observers', async () => {
      const seen: string[] = [];
      const healed: string[] = [];
      let isFailing = false;
      const failing: tableWatches.TableObserver = {
        onSnapshot: (rows) => healed.push(...rows.map(({ key }) => key)),
        onChanges: (changes) => {
          if (isFailing) throw new Error('observer');
          healed.push(...changes.map(({ key }) => key));
        },
      };
      const other: tableWatches.TableObserver = {
        onSnapshot: (rows) => seen.push(...rows.map(({ key }) => key)),
        onChanges: (changes) => seen.push(...changes.map(({ key }) => key)),
      };
      const watch = tableWatches.TableWatch.create({
        store: system.store,
        table: 't',
        observer: tableWatches.combineObservers([failing, other]),
        log: runtime.SilentLog.create(),
        nowMs: time.nowMs,
        pause: time.pause,
        countGateways: () => 1,
      });
      await watch.start();
      await time.advance(10);
      isFailing = true;
      system.store.write('t', '', 'a', '1');
      await time.advance(10);
      expect(seen).toEqual(['a']);
      isFailing = false;
      await time.advance(1000);
      // The table is read in full, so the change that was missed is there.
      expect(healed).toEqual(['a']);
      system.store.write('t', '', 'b', '1');
      await time.advance(10);
      expect([seen.at(-1), healed.at(-1)]).toEqual(['b', 'b']);
      await watch.stop();
      await time.advance(3000);
    });

    it('does not let a snapshot that it cannot take in be read without end', async () => {
      const read = jest.spyOn(system.store, 'read');
      const changes: string[] = [];
      const watch = tableWatches.TableWatch.create({
        store: system.store,
        table: 't',
        observer: {
          onSnapshot: () => {
            throw new Error('observer');
          },
          onChanges: (changed) => changes.push(...changed.map(({ key }) => key)),
        },
        log: runtime.SilentLog.create(),
        nowMs: time.nowMs,
        pause: time.pause,
        countGateways: () => 1,
      });
      await watch.start();
      await time.advance(5000);
      expect(read).toHaveBeenCalledTimes(1);
      system.store.write('t', '', 'a', '1');
      await time.advance(10);
      expect(changes).toEqual(['a']);
      await watch.stop();
      await time.advance(3000);
    });
  });

  describe('of one observer of the replicas', () => {
    it('keeps neither other observers nor other rows of the same batch from their turn', () => {
      const directory = directories.ReplicaDirectory.create({
        environment: time.createEnvironment('vm'),
        decode: (row) => {
          if (row.key === 'a') throw new Error('decoder');
          return {
            id: row.key,
            service: 's',
            address: '127.0.0.1:1',
            failureDomain: 'a',
            slots: 4,
            isDraining: false,
            bornMs: 1,
            softwareVersion: undefined,
            modelVersions: new Map(),
          };
        },
        isStoreStable: () => true,
      });
      const seen: string[] = [];
      directory.subscribe({
        onReplicaChanged: () => {
          throw new Error('observer');
        },
        onReplicaRemoved: () => {
          throw new Error('observer');
        },
      });
      directory.subscribe({
        onReplicaChanged: ({ replica }) => seen.push(replica.id),
        onReplicaRemoved: ({ replica }) => seen.push(`-${replica.id}`),
      });
      const rows = ['a', 'b', 'c'].map((key) => ({
        table: 't',
        partition: '',
        key,
        value: Buffer.alloc(0),
        revision: 1,
      }));
      directory.onSnapshot(rows);
      directory.onChanges(rows.map((row) => ({ ...row, isRemoved: row.key === 'b' })));
      expect(seen).toEqual(['b', 'c', '-b', 'c']);
    });
  });

  describe.each([
    ['at once', true],
    ['later', false],
  ])('in the calls to one replica, thrown %s', (_when, isAtOnce) => {
    beforeEach(async () => {
      ['e1', 'e2'].forEach((id) => system.addReplica(id));
      ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
    });

    it('loses no item of a batch job', async () => {
      const started = await system.start('vm-1');
      failCalls('e1', isAtOnce);
      await time.settle(started.jobs.submit(systems.createJob('job', 3, 4)));
      await time.advance(8000);
      expect(await listResults(started, 'job')).toEqual(Array(12).fill('completed'));
    });

    it('leaves no request without an answer', async () => {
      const started = await system.start('vm-1');
      failCalls('p1', isAtOnce);
      const replyStream = { begin: () => {}, write: () => {}, end: () => {} };
      for (let index = 0; index < 12; index += 1) {
        const handled = started.handle(
          createPlainRequest(index),
          replyStream as unknown as gateway.ReplyStream,
        );
        expect((await time.settle(handled, 3000)).kind).toBe('answer');
      }
    });

    it('does not keep the other replicas from their weights', async () => {
      await system.start('vm-1');
      failCalls('e1', isAtOnce);
      system.store.write('operator', '', 'weights', 'model=2');
      await time.advance(6000);
      expect(system.replicas.orders.map(({ replica }) => replica)).toContain('e2');
    });
  });
});
