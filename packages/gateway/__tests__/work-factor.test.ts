import * as decisions from '@azureworks/decisions';
import fc from 'fast-check';
import * as slowReplicas from '../src/jobs/slow-replicas';
import type * as directories from '../src/replicas/directory';
import * as placement from '../src/replicas/placement';
import * as replicaHealths from '../src/replicas/replica-health';
import * as workFactors from '../src/replicas/work-factor';

const GATEWAYS = 35;
const REPLICAS = 14;
const ROUNDS = 200;
const EVENT_MS = 20;

function candidate(
  id: string,
  change: Partial<placement.PlacementCandidate> = {},
): placement.PlacementCandidate {
  return { id, slots: 8, load: 0, unitMs: 40, isLocal: false, isEjected: false, ...change };
}

/** The choice as it was before replicas reported a work factor. */
function choosePreviously(
  list: readonly placement.PlacementCandidate[],
  draw: number,
): placement.PlacementCandidate | undefined {
  const healthy = list.filter(({ isEjected }) => !isEjected);
  const eligible = healthy.length > 0 ? healthy : list;
  const median = placement.findMedian(eligible.flatMap(({ unitMs }) => unitMs ?? []));
  const costs = eligible.map(({ load, slots, unitMs }) => {
    const slowness = !median || unitMs === undefined ? 1 : Math.max(1, unitMs / median);
    return ((load + 1) / Math.max(1, slots)) * slowness;
  });
  const best = eligible.filter((_unused, index) => costs[index] <= Math.min(...costs) + 0.01);
  const local = best.filter(({ isLocal }) => isLocal);
  const pool = local.length > 0 ? local : best;
  return pool[Math.floor(draw * pool.length)];
}

describe('the choice among replicas that report a work factor', () => {
  // All gateways hear the same figure at once; the replica that it names was the choice of each of them.
  it.each([
    ['a fast one', 0.3, 0.25],
    ['a slow one', 3, 0.02],
  ])('gives %s a bounded share of 35 simultaneous choices', (_name, workFactor, mostShare) => {
    const random = decisions.SeededRandom.create(20261206);
    const list = Array.from({ length: REPLICAS }, (_unused, index) =>
      candidate(`r${index}`, { workFactor: index === 0 ? workFactor : 1 }),
    );
    let most = 0;
    let total = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      const choices = Array.from({ length: GATEWAYS }, () =>
        placement.choosePlacement(list, random.next()),
      );
      const count = choices.filter((chosen) => chosen?.id === 'r0').length;
      most = Math.max(most, count);
      total += count;
    }
    expect(total / (ROUNDS * GATEWAYS)).toBeLessThanOrEqual(mostShare);
    expect(most).toBeLessThanOrEqual(GATEWAYS / 2);
  });

  it('prefers the shorter expected wait of load, slots, own speed and factor', () => {
    const base = candidate('base', { workFactor: 1 });
    const others: Partial<placement.PlacementCandidate>[] = [
      { workFactor: 1.5 },
      { load: 4 },
      { unitMs: 60 },
      { unitMs: 30, workFactor: 2 },
    ];
    others.forEach((change) => {
      const list = [base, candidate('other', { workFactor: 1, ...change })];
      const chosen = Array.from({ length: 100 }, (_unused, index) =>
        placement.choosePlacement(list, index / 100),
      );
      expect(chosen.filter((choice) => choice?.id === 'base').length).toBeGreaterThanOrEqual(70);
    });
  });

  it('is exactly the previous one where no replica reports a factor', () => {
    const arbitrary = fc.record({
      load: fc.integer({ min: 0, max: 40 }),
      slots: fc.integer({ min: 0, max: 16 }),
      unitMs: fc.option(fc.double({ min: 0, max: 1e4, noNaN: true }), { nil: undefined }),
      isLocal: fc.boolean(),
      isEjected: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(arbitrary, { minLength: 1, maxLength: 8 }),
        fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
        (inputs, draw) => {
          const list = inputs.map((input, index) => ({ id: `r${index}`, ...input }));
          expect(placement.choosePlacement(list, draw)).toBe(choosePreviously(list, draw));
        },
      ),
      { seed: 20261206 },
    );
  });
});

describe('a reported work factor', () => {
  it('loses its weight linearly within a second', () => {
    const factor = workFactors.WorkFactor.create();
    expect(factor.getCurrent(0)).toBeUndefined();
    factor.record(3, 0);
    expect([0, 250, 500, 1000, 5000].map((nowMs) => factor.getCurrent(nowMs))).toEqual([
      3, 2.5, 2, 1, 1,
    ]);
  });

  it('is taken out of the measured time per unit of work', () => {
    const health = replicaHealths.ReplicaHealth.create();
    health.recordDuration(80, 2);
    health.recordDuration(20, 0.5);
    expect(health.unitMs).toBe(40);
  });

  /** Whether items are moved off a replica within 3 s while it reports a factor in turn. */
  function isMoved(factors: readonly (number | undefined)[], unitMs = EVENT_MS): boolean {
    let nowMs = 0;
    const create = (ownMs: number): directories.TrackedReplica => {
      const health = replicaHealths.ReplicaHealth.create();
      health.recordDuration(ownMs);
      const workFactor = workFactors.WorkFactor.create();
      return { health, workFactor, replica: { service: 's' } } as directories.TrackedReplica;
    };
    const judged = create(unitMs);
    const list = [judged, create(EVENT_MS), create(EVENT_MS)];
    const judge = slowReplicas.SlowReplicas.create({
      environment: { nowMs: () => nowMs },
      directory: { list: () => list },
    });
    let hasMoved = false;
    for (; nowMs < 3000; nowMs += 50) {
      const factor = factors[Math.floor(nowMs / 50) % factors.length];
      if (factor !== undefined) judged.workFactor.record(factor, nowMs);
      if (nowMs % 200 === 0) hasMoved ||= judge.isSlow(judged);
    }
    return hasMoved;
  }

  // Moving an item costs a new connection and a wait; a factor that lasts a moment does not repay that.
  it('moves items only when it lasts', () => {
    const moment = [8, 8, ...Array.from({ length: 18 }, () => 1)];
    expect(isMoved(moment)).toBe(false);
    expect(isMoved([1.5])).toBe(false);
    expect(isMoved([3])).toBe(true);
    expect(isMoved([1], 3 * EVENT_MS)).toBe(true);
    expect(isMoved([undefined], 3 * EVENT_MS)).toBe(true);
    expect(isMoved([0.5], 3 * EVENT_MS)).toBe(false);
  });
});
