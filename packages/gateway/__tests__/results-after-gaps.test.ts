import * as decisions from '@azureworks/decisions';
import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;
/** Longer than a gateway that renews nothing counts as a member. */
const GAP_MS = 4000;
/** By then a gateway that is back counts as a member again. */
const RETURN_MS = 1500;

async function readFrom(
  from: gateway.Gateway,
  position: number,
  id = 'job',
): Promise<readonly string[] | 'unavailable'> {
  const answer = await time.settle(from.jobs.results.read(id, position, 0, NEVER_ABORTED));
  return answer.isOk ? answer.value.results.map((result) => result.itemId) : 'unavailable';
}

// A gateway that was out of touch held a shorter list than the store and called it whole.
describe('results that were read, after a gap of the gateway that ran the job', () => {
  let system: systems.TestSystem;
  let connectivity: { isDirectCut: boolean; isIsolated: boolean };
  let former: gateway.Gateway;
  let next: gateway.Gateway;

  beforeEach(async () => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    ['e1', 'e2', 'e3'].forEach((id) => system.addReplica(id));
    ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
    connectivity = { isDirectCut: false, isIsolated: false };
    former = await system.start('vm-1', 'vm-1-first', connectivity);
    ['job-1', 'job-2'].forEach((id) => system.replicas.eventCounts.set(id, 2000));
    await time.settle(former.jobs.submit(systems.createJob('job', 1, 3)));
    next = await system.start('vm-2');
    await time.advance(1500);
    expect(await readFrom(former, 0)).toEqual(['job-0']);
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  /** Cuts the owner off until the other gateway runs the job and has listed its second result. */
  async function listAtNextOwner(): Promise<void> {
    connectivity.isIsolated = true;
    system.replicas.eventCounts.set('job-1', 120);
    await time.advance(GAP_MS);
    expect(await readFrom(next, 0)).toEqual(['job-0', 'job-1']);
  }

  it('are there while the job is open', async () => {
    await listAtNextOwner();
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    expect(await readFrom(former, 1)).toEqual(['job-1']);
  });

  it('are there while a reader waits for the next one', async () => {
    await listAtNextOwner();
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    const answer = await time.settle(former.jobs.results.read('job', 1, 1000, NEVER_ABORTED));
    expect(answer.isOk && answer.value.results.map(({ itemId }) => itemId)).toEqual(['job-1']);
  });

  it('are there when the job was ended during the gap', async () => {
    await listAtNextOwner();
    await time.settle(next.jobs.end('job'));
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    expect(await readFrom(former, 1)).toEqual(['job-1']);
  });

  it('are there when the former owner ends the job itself', async () => {
    await listAtNextOwner();
    connectivity.isIsolated = false;
    await time.advance(500);
    expect((await time.settle(former.jobs.end('job'))).isOk).toBe(true);
    expect(await readFrom(former, 1)).toEqual(['job-1']);
  });

  it('are all that a reader gets at once when the job was ended, without asking the store again', async () => {
    await time.settle(next.jobs.end('job'));
    await time.advance(RETURN_MS);
    for (const reader of [former, next]) {
      const startMs = time.nowMs();
      const reads = jest.spyOn(system.store, 'read');
      const reading = reader.jobs.results.read('job', 1, 1000, NEVER_ABORTED);
      expect(await time.settle(reading)).toMatchObject({ isOk: true, value: { results: [] } });
      expect(time.nowMs() - startMs).toBeLessThan(200);
      expect(reads.mock.calls.filter(([{ partition }]) => partition === 'job').length).toBeLessThan(
        3,
      );
      reads.mockRestore();
    }
  });

  it('are there, and the former owner notices without an append of its own that it lost the job', async () => {
    await listAtNextOwner();
    expect(former.jobs.openCount).toBe(1);
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    expect(former.jobs.openCount).toBe(0);
    expect(next.jobs.openCount).toBe(1);
  });

  it('are there, and the former owner runs the job again when the next one dies', async () => {
    const nextConnectivity = { isDirectCut: false, isIsolated: false };
    const third = await system.start('vm-3', 'vm-3-first', nextConnectivity);
    await listAtNextOwner();
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    const owner = [next, third].find((candidate) => candidate.jobs.openCount === 1)!;
    system.replicas.eventCounts.set('job-2', 600);
    await time.settle(owner.stop());
    await time.advance(15_000);
    expect(await readFrom(former, 0)).toEqual(['job-0', 'job-1', 'job-2']);
  });

  it('keep the bodies of their items until the job is ended', async () => {
    await listAtNextOwner();
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    const body = await time.settle(former.jobs.results.readBody('job', 'job-2'));
    expect(body).toMatchObject({ isOk: true, value: Buffer.from('body of job-2') });
  });

  it('are shown as far as the owner holds them while the store is away, and nothing is denied', async () => {
    system.store.faults.isRefusing = true;
    expect(await readFrom(former, 0)).toEqual(['job-0']);
    expect(await readFrom(former, 1)).toBe('unavailable');
  });

  it('stay with an owner whose gap was too short for another to take the job over', async () => {
    connectivity.isIsolated = true;
    await time.advance(1200);
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    expect(await readFrom(former, 0)).toEqual(['job-0']);
    expect(former.jobs.openCount).toBe(1);
    expect(system.replicas.runs).toHaveLength(3);
  });

  it('are not followed by runs of a job that was ended while its notices were dropped', async () => {
    connectivity.isIsolated = true;
    await time.settle(next.jobs.end('job'));
    system.store.dropHistory();
    connectivity.isIsolated = false;
    await time.advance(RETURN_MS);
    expect(former.jobs.openCount).toBe(0);
  });
});

/** Reads a job from all gateways and checks that no list is shorter than one that was read. */
class ReadHistory {
  private readonly longest = new Map<string, readonly string[]>();

  static create(): ReadHistory {
    return new ReadHistory();
  }

  async readAndCompare(from: gateway.Gateway, id: string, position: number): Promise<void> {
    const known = this.longest.get(id) ?? [];
    const items = await readFrom(from, position, id);
    if (items === 'unavailable') return;
    const expected = known.slice(position);
    expect(items.slice(0, expected.length)).toEqual(expected);
    if (position + items.length > known.length)
      this.longest.set(id, [...known.slice(0, position), ...items]);
  }

  /** The number of results that were read of a job. */
  count(id: string): number {
    return this.longest.get(id)?.length ?? 0;
  }
}

/** How a gateway is out of touch for a while. */
const GAP_KINDS = ['cut off', 'cut from the store', 'standing still', 'killed'] as const;

describe('lists of results under random gaps', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  it.each(Array.from({ length: 12 }, (_unused, index) => index + 1))(
    'never get shorter at any gateway, seed %i',
    async (seed) => {
      const random = decisions.SeededRandom.create(seed);
      const pick = (count: number): number => Math.floor(random.next() * count);
      const system = systems.TestSystem.create();
      system.configure(systems.createConfiguration(1));
      ['e1', 'e2', 'e3', 'e4'].forEach((id) => system.addReplica(id));
      ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
      const vms = ['vm-1', 'vm-2', 'vm-3'];
      const nodes = await Promise.all(
        vms.map(async (vm) => {
          const connectivity: systems.Connectivity = { isDirectCut: false };
          const started = await system.start(vm, `${vm}-0`, connectivity);
          return { vm, starts: 1, connectivity, gateway: started, backAtMs: Infinity };
        }),
      );
      const history = ReadHistory.create();
      const jobIds: string[] = [];
      for (let turn = 0; turn < 90; turn += 1) {
        if (turn % 12 === 0) {
          const id = `job${jobIds.length}`;
          jobIds.push(id);
          const job = systems.createJob(id, 2, 2);
          job.items.forEach((item) => system.replicas.eventCounts.set(item.id, 10 + pick(600)));
          await time.settle(nodes[pick(nodes.length)].gateway.jobs.submit(job));
        }
        const node = nodes[pick(nodes.length)];
        if (node.backAtMs === Infinity && random.next() < 0.25) {
          const kind = GAP_KINDS[pick(GAP_KINDS.length)];
          node.connectivity.isDead = kind === 'killed';
          node.connectivity.isIsolated = kind === 'cut off' || kind === 'standing still';
          node.connectivity.isCutFromReplicas = kind === 'standing still';
          node.connectivity.isDirectCut = kind === 'cut from the store';
          node.backAtMs = time.nowMs() + 500 + pick(5000);
        }
        for (const returning of nodes.filter(({ backAtMs }) => backAtMs <= time.nowMs())) {
          returning.backAtMs = Infinity;
          if (returning.connectivity.isDead) {
            returning.connectivity = { isDirectCut: false };
            const incarnation = `${returning.vm}-${returning.starts}`;
            returning.starts += 1;
            returning.gateway = await system.start(
              returning.vm,
              incarnation,
              returning.connectivity,
            );
          }
          returning.connectivity.isIsolated = false;
          returning.connectivity.isCutFromReplicas = false;
          returning.connectivity.isDirectCut = false;
        }
        if (random.next() < 0.08) {
          const ended = jobIds[pick(jobIds.length)];
          await time.settle(nodes[pick(nodes.length)].gateway.jobs.end(ended));
        }
        await time.advance(50 + pick(400));
        for (const reader of nodes.filter(({ connectivity }) => !connectivity.isDead)) {
          const id = jobIds[Math.max(0, jobIds.length - 1 - pick(3))];
          await history.readAndCompare(
            reader.gateway,
            id,
            Math.max(0, history.count(id) - pick(2)),
          );
        }
      }
      expect(Math.max(...jobIds.map((id) => history.count(id)))).toBeGreaterThan(2);
      await system.stopAll();
    },
  );
});
