import * as runtime from '@azureworks/runtime';
import * as gateway from '@azureworks/gateway';
import * as standins from '@azureworks/standins';
import * as routedStores from '../src/store/routed-store';
import * as transactionRetries from '../src/store/transaction-retry';
import * as tableWatches from '../src/store/table-watch';
import * as directories from '../src/replicas/directory';
import * as time from './support/virtual-time';

const { StoreStatus } = gateway;

function createStore(): standins.MemoryStore {
  return standins.MemoryStore.create({ nowMs: time.nowMs, pause: time.pause });
}

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

describe('a transaction without an answer', () => {
  const address = { table: 't', partition: 'p', key: 'k' };
  const write = { ...address, value: Buffer.from('own') };
  const options = {
    limitMs: 2000,
    nowMs: time.nowMs,
    pause: time.pause,
    random: () => 0.5,
  };

  async function settle(store: gateway.Store): Promise<gateway.TransactionOutcome> {
    const transaction = {
      conditions: [{ ...address, revision: 0 }],
      writes: [write],
      removals: [],
    };
    const outcome = transactionRetries.transactWithRetries(store, transaction, write, options);
    await time.advance(5000);
    return outcome;
  }

  it('is reported as done when it took effect', async () => {
    const store = createStore();
    store.faults.loseAnswers = 1;
    expect(await settle(store)).toEqual({ status: StoreStatus.Done, revision: 1 });
  });

  it('is reported as a conflict when another writer was first', async () => {
    const store = createStore();
    store.faults.applyLate = 1;
    store.faults.applyDelayMs = 10_000;
    store.write('t', 'p', 'k', 'of another');
    expect((await settle(store)).status).toBe(StoreStatus.Conflict);
  });

  it('takes effect once when the first attempt arrives after the second', async () => {
    const store = createStore();
    store.faults.applyLate = 1;
    store.faults.applyDelayMs = 1000;
    expect(await settle(store)).toEqual({ status: StoreStatus.Done, revision: 1 });
    await time.advance(3000);
    expect(store.inspect('t').map((row) => row.revision)).toEqual([1]);
  });

  it('is reported as unknown when no answer arrives, and as not done when refused', async () => {
    const store = createStore();
    store.faults.isUnreachable = true;
    expect((await settle(store)).status).toBe(StoreStatus.Unknown);
    const refusing = createStore();
    refusing.faults.isRefusing = true;
    expect((await settle(refusing)).status).toBe(StoreStatus.NotDone);
  });
});

describe('a store that refuses one VM', () => {
  function create(): {
    readonly routed: routedStores.RoutedStore;
    readonly direct: standins.MemoryStore;
    readonly viaPeer: standins.MemoryStore;
  } {
    const [direct, viaPeer] = [createStore(), createStore()];
    const connect = (store: standins.MemoryStore): gateway.ConnectedStore =>
      Object.assign(Object.create(store) as standins.MemoryStore, { close: () => {} });
    const routed = routedStores.RoutedStore.create({
      direct: connect(direct),
      relays: { listRelays: () => ['peer'] },
      connect: () => connect(viaPeer),
      log: runtime.SilentLog.create(),
      metrics: runtime.Metrics.create(),
      nowMs: time.nowMs,
    });
    return { routed, direct, viaPeer };
  }

  it('is called through a peer, and directly again once it responds', async () => {
    const { routed, direct, viaPeer } = create();
    viaPeer.write('t', 'p', 'k', 'value');
    direct.faults.isRefusing = true;
    const relayed = await routed.read({ table: 't', partition: 'p' });
    expect(relayed).toMatchObject({ status: StoreStatus.Done, rows: [{ key: 'k' }] });
    expect(routed.isStable).toBe(true);
    direct.faults.isRefusing = false;
    await time.advance(3000);
    const later = await routed.read({ table: 't', partition: 'p' });
    expect(later).toMatchObject({ status: StoreStatus.Done, rows: [] });
  });

  it('has its clock read from the responses that a peer relays', async () => {
    const clocks = { direct: 1000, viaPeer: 70_000 };
    const connect = (name: keyof typeof clocks): gateway.ConnectedStore => {
      const store = createStore();
      store.faults.isRefusing = name === 'direct';
      const connected = Object.assign(Object.create(store) as standins.MemoryStore, {
        close: () => {},
      });
      return Object.defineProperty(connected, 'nowMs', { get: () => clocks[name] });
    };
    const routed = routedStores.RoutedStore.create({
      direct: connect('direct'),
      relays: { listRelays: () => ['peer'] },
      connect: () => connect('viaPeer'),
      log: runtime.SilentLog.create(),
      metrics: runtime.Metrics.create(),
      nowMs: time.nowMs,
    });
    await routed.read({ table: 't', partition: 'p' });
    expect(routed.nowMs).toBe(70_000);
  });

  it('is not stable for a while after calls failed directly and through the peer', async () => {
    const { routed, direct, viaPeer } = create();
    [direct, viaPeer].forEach((store) => {
      store.faults.isRefusing = true;
    });
    expect(await routed.read({ table: 't', partition: 'p' })).toMatchObject({
      status: StoreStatus.NotDone,
    });
    expect(routed.isStable).toBe(false);
    await time.advance(2500);
    expect(routed.isStable).toBe(true);
  });
});

describe('watching a table', () => {
  it('reads the table again when the history was dropped, and detects removed rows', async () => {
    const store = createStore();
    store.write('t', '', 'a', '1');
    store.write('t', '', 'b', '1');
    const seen = new Map<string, string>();
    const watch = tableWatches.TableWatch.create({
      store,
      countGateways: () => 1,
      table: 't',
      observer: {
        onSnapshot: (rows) => {
          seen.clear();
          rows.forEach((row) => seen.set(row.key, row.value.toString()));
        },
        onChanges: (changes) =>
          changes.forEach((change) => {
            if (change.isRemoved) seen.delete(change.key);
            else seen.set(change.key, change.value.toString());
          }),
      },
      log: runtime.SilentLog.create(),
      nowMs: time.nowMs,
      pause: time.pause,
    });
    await watch.start();
    await time.advance(10);
    store.write('t', '', 'a', '2');
    await time.advance(10);
    expect([...seen]).toEqual([
      ['a', '2'],
      ['b', '1'],
    ]);
    store.faults.isUnreachable = true;
    await time.advance(3000);
    store.remove('t', '', 'b');
    store.write('t', '', 'c', '1');
    store.dropHistory();
    store.faults.isUnreachable = false;
    await time.advance(2000);
    expect([...seen.keys()]).toEqual(['a', 'c']);
    await watch.stop();
    await time.advance(3000);
  });
});

describe('the directory of replicas', () => {
  function create(isStable: { value: boolean }): directories.ReplicaDirectory {
    return directories.ReplicaDirectory.create({
      environment: time.createEnvironment('vm'),
      decode: (row) => {
        const text = row.value.toString();
        if (text === 'unreadable') return undefined;
        const [state, born] = text.split(' ');
        return {
          id: row.key,
          service: 's',
          address: '127.0.0.1:1',
          failureDomain: 'a',
          slots: 4,
          isDraining: state === 'draining',
          bornMs: Number(born),
          softwareVersion: 'v1',
          modelVersions: new Map([['m', 1]]),
        };
      },
      isStoreStable: () => isStable.value,
    });
  }

  const row = (key: string, value: string): gateway.Row => ({
    table: 'replicas',
    partition: '',
    key,
    value: Buffer.from(value),
    revision: 1,
  });
  const removal = (key: string): gateway.RowChange => ({ ...row(key, ''), isRemoved: true });
  const list = (directory: directories.ReplicaDirectory): string[] =>
    directory.list('s').map((tracked) => tracked.replica.id);

  it('removes a removed or draining replica at once while the store is stable', () => {
    const directory = create({ value: true });
    directory.onSnapshot([row('a', 'ready 1'), row('b', 'ready 1'), row('c', 'ready 1')]);
    directory.onChanges([removal('a'), { ...row('b', 'draining 1'), isRemoved: false }]);
    expect(list(directory)).toEqual(['c']);
  });

  it('removes a replica that is missing after an outage only after a grace period', async () => {
    const isStable = { value: false };
    const directory = create(isStable);
    directory.onSnapshot([row('a', 'ready 1'), row('b', 'ready 1')]);
    directory.onSnapshot([]);
    expect(list(directory)).toEqual(['a', 'b']);
    await time.advance(1000);
    directory.onChanges([{ ...row('b', 'ready 1'), isRemoved: false }]);
    await time.advance(1500);
    expect(list(directory)).toEqual(['b']);
  });

  it('uses no replica whose row is unreadable, until it can be read again', () => {
    const directory = create({ value: true });
    directory.onSnapshot([row('a', 'ready 1'), row('b', 'ready 1')]);
    directory.onChanges([{ ...row('a', 'unreadable'), isRemoved: false }]);
    expect(list(directory)).toEqual(['b']);
    directory.onChanges([{ ...row('a', 'ready 1'), isRemoved: false }]);
    expect(list(directory)).toEqual(['b', 'a']);
  });

  it('uses no replica whose row is unreadable after an outage, and adds it only once', async () => {
    const isStable = { value: false };
    const directory = create(isStable);
    directory.onSnapshot([row('a', 'ready 1')]);
    directory.onSnapshot([]);
    directory.onChanges([{ ...row('a', 'unreadable'), isRemoved: false }]);
    expect(list(directory)).toEqual([]);
    directory.onChanges([{ ...row('a', 'ready 1'), isRemoved: false }]);
    await time.advance(5000);
    expect(list(directory)).toEqual(['a']);
  });

  it('logs an unreadable row once, until it changes', () => {
    const lines: unknown[] = [];
    const environment: gateway.Environment = {
      ...time.createEnvironment('vm'),
      log: {
        info: () => {},
        warn: (message, fields) => {
          lines.push({ message, ...fields });
        },
      },
    };
    const directory = directories.ReplicaDirectory.create({
      environment,
      decode: () => undefined,
      isStoreStable: () => true,
    });
    directory.onSnapshot([row('a', 'odd'), row('b', 'odd')]);
    directory.onSnapshot([row('a', 'odd'), { ...row('b', 'odd'), revision: 7 }]);
    directory.onChanges([{ ...row('a', 'odder'), isRemoved: false }]);
    expect(lines).toMatchObject([
      { message: 'row ignored', table: 'replicas', key: 'a', value: 'odd' },
      { message: 'row ignored', key: 'b' },
      { message: 'row ignored', key: 'a', value: 'odder' },
    ]);
  });

  it('discards the observed versions of a replica that restarted under its id', () => {
    const directory = create({ value: true });
    directory.onSnapshot([row('a', 'ready 1')]);
    directory.get('a')?.weights.recordObserved('m', 7, Infinity);
    directory.onChanges([{ ...row('a', 'ready 2'), isRemoved: false }]);
    const tracked = directory.get('a');
    expect(tracked && directory.getVersion(tracked, 'm')).toBe(1);
  });
});

describe('the wait for changes of a table', () => {
  it('stays short enough for a small deployment to detect a dead connection in time', () => {
    expect(tableWatches.chooseWaitMs(1)).toBeLessThan(2000);
    expect(tableWatches.chooseWaitMs(70)).toBeLessThan(2000);
  });

  it('grows so that 490 gateways that watch three tables leave the store two thirds of 2,000 reads', () => {
    const waitMs = tableWatches.chooseWaitMs(490);
    expect((490 * 3 * 1000) / waitMs).toBeLessThanOrEqual(2000 / 3);
    expect(waitMs).toBeLessThan(7000);
  });
});
