/**
 * Rows of the gateways' own tables that another writer has replaced or added: what cannot be decoded is
 * never taken for "there is none", and does not keep the other rows from being used.
 */
import * as decisions from '@azureworks/decisions';
import * as fastCheck from 'fast-check';
import type * as gateway from '@azureworks/gateway';
import * as itemDecoders from '../src/jobs/item-decoder';
import * as records from '../src/jobs/job-record';
import * as limitRows from '../src/limits/limit-rows';
import * as evidenceRows from '../src/quarantine/evidence-rows';
import * as originRows from '../src/streams/origin-rows';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;
const DEPTH = 15_000;
const ODD_VALUES: readonly (readonly [string, Buffer])[] = [
  ['no JSON', Buffer.from('{')],
  ['nothing', Buffer.alloc(0)],
  ['null', Buffer.from('null')],
  ['of another shape', Buffer.from('{"owner":7,"__proto__":{"total":3}}')],
  ['an infinite number', Buffer.from('{"owner":null,"total":1e999,"listed":0}')],
  ['nested very deeply', Buffer.from('['.repeat(DEPTH) + ']'.repeat(DEPTH))],
  ['no UTF-8', Buffer.from([0xff, 0xfe, 0x80])],
];

async function read(from: gateway.Gateway, position = 0): Promise<readonly string[] | string> {
  const answer = await time.settle(from.jobs.results.read('job', position, 0, NEVER_ABORTED));
  if (!answer.isOk) return answer.failure.code;
  return answer.value.results.map((result) => result.itemId);
}

describe('an odd row', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function find(table: string, key: string): gateway.Row {
    const row = system.store.inspect(table).find((candidate) => candidate.key === key);
    if (!row) throw new Error(`no row ${key} in ${table}`);
    return row;
  }

  /** Replaces a row; the returned function restores it. */
  function replace(table: string, key: string, value: Buffer): () => void {
    const former = find(table, key);
    system.store.write(table, former.partition, key, value);
    return () => system.store.write(table, former.partition, key, former.value);
  }

  describe.each(ODD_VALUES)('that holds %s', (_what, value) => {
    it('in place of the head makes a job unreadable, not unknown or ended', async () => {
      const first = await system.start('vm-1');
      const second = await system.start('vm-2');
      const job = systems.createJob('job', 1, 2);
      await time.settle(first.jobs.submit(job));
      await time.advance(3000);
      const third = await system.start('vm-3');
      replace('jobs', 'head', value);
      expect(await read(third)).toBe('store-unavailable');
      const body = await time.settle(third.jobs.results.readBody('job', 'job-0'));
      expect(body).toMatchObject({ isOk: false, failure: { code: 'store-unavailable' } });
      const end = await time.settle(third.jobs.end('job'));
      expect(end).toMatchObject({ isOk: false, failure: { code: 'store-unavailable' } });
      const again = await time.settle(third.jobs.submit(job));
      expect(again).toMatchObject({ isOk: false, failure: { code: 'store-unavailable' } });
      expect(second).toBeDefined();
    });

    it('in place of the head closes no job at its owner', async () => {
      const owner = await system.start('vm-1');
      system.replicas.eventCounts.set('job-1', 300);
      await time.settle(owner.jobs.submit(systems.createJob('job', 1, 2)));
      await time.advance(1500);
      const restore = replace('jobs', 'head', value);
      await time.advance(4000);
      expect(owner.jobs.openCount).toBe(1);
      restore();
      expect(await read(owner)).toEqual(['job-0']);
    });

    it('among the items of an orphan lets nobody run it without them, and is read seldom', async () => {
      const connectivity = { isDirectCut: false, isDead: false };
      const first = await system.start('vm-1', 'vm-1-first', connectivity);
      ['job-0', 'job-1'].forEach((id) => system.replicas.eventCounts.set(id, 400));
      await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
      await time.advance(300);
      const restore = replace('jobs', 'items.0000', value);
      connectivity.isDead = true;
      const next = await system.start('vm-2');
      await time.advance(6000);
      expect(next.jobs.openCount).toBe(0);
      const reads = jest.spyOn(system.store, 'listPartitions');
      await time.advance(10_000);
      expect(reads.mock.calls.length).toBeLessThan(5);
      reads.mockRestore();
      restore();
      await time.advance(8000);
      expect(next.jobs.openCount).toBe(1);
    });

    it('in place of a result makes its position unreadable, not empty', async () => {
      const first = await system.start('vm-1');
      await time.settle(first.jobs.submit(systems.createJob('job', 1, 3)));
      await time.advance(3000);
      const second = await system.start('vm-2');
      const listed = await read(second);
      expect(listed).toHaveLength(3);
      const restore = replace('results', '000002.00', value);
      expect(await read(second)).toEqual(listed.slice(0, 2));
      expect(await read(second, 2)).toBe('store-unavailable');
      restore();
      expect(await read(second, 2)).toEqual(listed.slice(2));
    });

    it('in place of a saved text lets the item begin anew', async () => {
      const connectivity = { isDirectCut: false, isDead: false };
      const first = await system.start('vm-1', 'vm-1-first', connectivity);
      ['job-0', 'job-1'].forEach((id) => system.replicas.eventCounts.set(id, 150));
      await time.settle(first.jobs.submit(systems.createJob('job', 1, 2)));
      await time.advance(2000);
      replace('partials', '000000.00', value);
      connectivity.isDead = true;
      const next = await system.start('vm-2');
      await time.advance(12_000);
      expect(await read(next)).toHaveLength(2);
    });

    it('in place of the row of a gateway does not tell that it is gone', async () => {
      await system.start('vm-1');
      const second = await system.start('vm-2');
      await time.advance(1000);
      const members = second['members' as never] as {
        isGone(vm: string, incarnation: string): boolean;
      };
      // The gateway renews its row, but the other one finds the odd row at most of its reads.
      for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += 10) {
        replace('members', 'vm-1', value);
        await time.advance(10);
        expect(members.isGone('vm-1', 'vm-1-first')).toBe(false);
      }
    });

    it('in place of the lease lets the fence only grow, once the lease has expired', async () => {
      await system.start('vm-1');
      await time.advance(1000);
      const { fence } = JSON.parse(find('leases', 'weights').value.toString()) as {
        readonly fence: number;
      };
      replace('leases', 'weights', value);
      await time.advance(2500);
      expect(find('leases', 'weights').value).toEqual(value);
      await time.advance(6000);
      const next = JSON.parse(find('leases', 'weights').value.toString()) as decisions.LeaseRow;
      expect(next.fence).toBeGreaterThan(fence);
      system.store.write('operator', '', 'weights', 'model=2');
      await time.advance(3000);
      expect(system.replicas.orders.length).toBeGreaterThan(0);
      expect(system.replicas.orders.every((order) => order.fence > fence)).toBe(true);
    });
  });

  it.each(['-1', '1e15', '0.5', '"7"', 'null'])(
    'with %s as the fence of the lease lets the fence only grow',
    async (written) => {
      await system.start('vm-1');
      await time.advance(1000);
      const value = `{"holder":"vm-9","fence":${written},"renewal":1}`;
      replace('leases', 'weights', Buffer.from(value));
      await time.advance(8000);
      const next = JSON.parse(find('leases', 'weights').value.toString()) as decisions.LeaseRow;
      expect(next.holder).toBe('vm-1');
      expect(next.fence).toBeGreaterThan(1);
      expect(next.fence).toBeLessThan(1e9);
    },
  );

  it('beside the results, with a key that is no position, hides none of them', async () => {
    const first = await system.start('vm-1');
    await time.settle(first.jobs.submit(systems.createJob('job', 1, 3)));
    ['', '0', '000000', '000000.0', 'zzz', '__proto__', '999999.99'].forEach((key) =>
      system.store.write('results', 'job', key, '{"itemId":"x"}'),
    );
    await time.advance(3000);
    const second = await system.start('vm-2');
    expect(await read(second)).toHaveLength(3);
  });

  it('of evidence with an infinite time is none', () => {
    const row = (endedMs: unknown): gateway.Row => ({
      ...evidenceRows.locateEvidence('0'.repeat(32), 'replica'),
      value: Buffer.from(`{"replica":"replica","endedMs":${String(endedMs)}}`),
      revision: 1,
    });
    expect(evidenceRows.decodeEvidence(row('1e999'))).toBeUndefined();
    expect(evidenceRows.decodeEvidence(row(7))).toMatchObject({ endedMs: 7 });
  });

  it('never makes a decoder throw, nor passes on what arithmetic cannot use', () => {
    const bytes = fastCheck.oneof(
      fastCheck.uint8Array().map((array) => Buffer.from(array)),
      fastCheck.json().map((text) => Buffer.from(text)),
      fastCheck
        .dictionary(
          fastCheck.constantFrom(
            'owner',
            'total',
            'listed',
            'replica',
            'endedMs',
            'address',
            'bornMs',
            'requestsPerSecond',
            'software',
            'sinceMs',
            'itemId',
            'events',
            '__proto__',
          ),
          fastCheck.jsonValue(),
        )
        .map((value) => Buffer.from(JSON.stringify(value))),
      fastCheck.constantFrom(...ODD_VALUES.map(([, value]) => value)),
    );
    fastCheck.assert(
      fastCheck.property(bytes, fastCheck.string(), (value, key) => {
        const row = { table: 't', partition: 'p', key, value, revision: 5 };
        records.decodeHead(row);
        itemDecoders.ItemDecoder.create().decode([row]);
        itemDecoders.ItemDecoder.create().decode([{ ...row, key: 'items.0000' }]);
        records.decodePositionRows([row], records.decodeResult);
        records.decodePositionRows([{ ...row, key: '000000.00' }], records.decodePartialText);
        const evidence = evidenceRows.decodeEvidence({ ...row, key: `${'0'.repeat(32)}.1` });
        const limit = limitRows.decodeLimit(row);
        const software = originRows.decodeSoftware(row);
        originRows.decodeOrigins(row).forEach(({ attemptId }) => {
          expect(typeof attemptId).toBe('string');
        });
        const numbers = [evidence?.endedMs, limit?.requestsPerSecond, software?.sinceMs];
        expect(numbers.every((number) => number === undefined || Number.isFinite(number))).toBe(
          true,
        );
      }),
      { seed: 20261205, numRuns: 1000 },
    );
  });

  it('of any content in any table ends nothing: a job is done and requests are answered', async () => {
    const random = decisions.SeededRandom.create(20261205);
    const pick = <Value>(values: readonly Value[]): Value =>
      values[Math.floor(random.next() * values.length)];
    const places = [
      ['replicas', '', ['odd', 'e9', '__proto__', '']],
      ['operator', '', ['odd', 'other']],
      ['members', 'domain-a', ['vm-7', '__proto__']],
      ['notices', '/ended-replicas', ['odd', `${'0'.repeat(32)}.1`]],
      ['notices', '/rate-limits', ['e9', '__proto__']],
      ['notices', 'odd-job', ['ended', 'released', 'assigned', 'odd']],
      ['open', 'odd-job', ['open']],
      ['open', '', ['open']],
      ['jobs', 'odd-job', ['head', 'items.0000', 'items.x']],
      ['results', 'odd-job', ['000000.00', 'x']],
      ['results', 'job', ['x', '999999.00']],
      ['partials', 'job', ['000000.00', 'x']],
      ['origins', '0', ['odd', '999999999999999.x']],
      ['software', '', ['engines', 'plain']],
      ['leases', 'weights', ['other']],
    ] as const;
    const first = await system.start('vm-1');
    await system.start('vm-2');
    for (let count = 0; count < 200; count += 1) {
      const [table, partition, keys] = pick(places);
      const [, value] = pick(ODD_VALUES);
      system.store.write(table, partition, pick(keys), value);
      await time.advance(20);
    }
    await time.settle(first.jobs.submit(systems.createJob('job', 3, 4)));
    system.addReplica('e4');
    system.store.write('operator', '', 'weights', 'model=2');
    await time.advance(9000);
    expect(await read(first)).toHaveLength(12);
    expect(system.replicas.orders.map(({ replica }) => replica)).toContain('e4');
  });
});
