/**
 * Replays the load pattern that decides the placement of weights: three models share the same
 * engines, and each gets a new version every four seconds while a load takes one.
 */
import * as fc from 'fast-check';
import * as weightsPlan from '../src/weights/weights-plan';

const LOAD_MS = 1000;
const STEP_MS = 100;
const PERIOD_MS = 4000;
const VERSIONS = 8;

interface Simulated {
  readonly id: string;
  readonly versions: Map<string, number>;
  loading: weightsPlan.NamedWeights | undefined;
  loadedMs: number;
}

interface Replay {
  /** Replicas that can serve a step at its beginning, the fewest over all steps but the first. */
  readonly fewestAtStart: number;
  /** The same 1.5 s before the next version. */
  readonly fewestLater: number;
  readonly mostLoading: number;
  readonly loadsAVersion: number;
}

function replay(replicaCount: number, models: readonly string[]): Replay {
  const replicas: Simulated[] = Array.from({ length: replicaCount }, (_unused, index) => ({
    id: `r${index}`,
    versions: new Map(models.map((model) => [model, 1])),
    loading: undefined,
    loadedMs: 0,
  }));
  const named = new Map<string, number>();
  const serving = (model: string): number =>
    replicas.filter((replica) => {
      const held = replica.versions.get(model) ?? 0;
      return held >= (named.get(model) ?? 1) - 1 && replica.loading?.model !== model;
    }).length;
  const seen = { fewestAtStart: Infinity, fewestLater: Infinity, mostLoading: 0, loads: 0 };
  const ticks = Array.from(
    { length: (VERSIONS * PERIOD_MS) / STEP_MS },
    (_unused, index) => index * STEP_MS,
  );
  ticks.forEach((nowMs) => {
    replicas.forEach((replica) => {
      if (!replica.loading || nowMs < replica.loadedMs) return;
      replica.versions.set(replica.loading.model, replica.loading.version);
      replica.loading = undefined;
    });
    models.forEach((model, index) => {
      // The trainers' steps begin a little apart.
      if ((nowMs - index * 300) % PERIOD_MS !== 0 || nowMs < PERIOD_MS) return;
      named.set(model, (named.get(model) ?? 1) + 1);
      seen.fewestAtStart = Math.min(seen.fewestAtStart, serving(model));
    });
    const orders = weightsPlan.planOrders(
      replicas.map((replica) => ({ ...replica, load: 0 })),
      [...named].map(([model, version]) => ({ model, version })),
    );
    orders.forEach((order) => {
      const replica = replicas.find((candidate) => candidate.id === order.replicaId);
      if (!replica) throw new Error('an order to nobody');
      expect(replica.loading).toBeUndefined();
      replica.loading = order;
      replica.loadedMs = nowMs + LOAD_MS;
      seen.loads += 1;
    });
    seen.mostLoading = Math.max(
      seen.mostLoading,
      replicas.filter((replica) => replica.loading).length,
    );
    if (nowMs % PERIOD_MS === PERIOD_MS - 500) {
      models.forEach((model) => {
        seen.fewestLater = Math.min(seen.fewestLater, serving(model));
      });
    }
  });
  const versions = [...named.values()].reduce((sum, version) => sum + version - 1, 0);
  return { ...seen, loadsAVersion: seen.loads / versions };
}

describe('the placement of weights', () => {
  it('keeps a share of the replicas for each step that begins, with few loads', () => {
    const { fewestAtStart, fewestLater, mostLoading, loadsAVersion } = replay(6, ['a', 'b', 'c']);
    expect(fewestAtStart).toBeGreaterThanOrEqual(2);
    expect(fewestLater).toBeGreaterThanOrEqual(3);
    expect(mostLoading).toBeLessThanOrEqual(2);
    expect(loadsAVersion).toBeLessThanOrEqual(2);
  });

  it('does the same for many replicas', () => {
    const { fewestAtStart, mostLoading, loadsAVersion } = replay(30, ['a', 'b', 'c']);
    expect(fewestAtStart).toBeGreaterThanOrEqual(10);
    expect(mostLoading).toBeLessThanOrEqual(9);
    expect(loadsAVersion).toBeLessThanOrEqual(10);
  });

  it('loads every version everywhere when there is one model', () => {
    expect(replay(4, ['a']).loadsAVersion).toBeGreaterThan(3.5);
  });

  it('never orders a version that a replica has, twice at a time, or a model that it lacks', () => {
    const replicaArbitrary = fc.record({
      versions: fc.dictionary(fc.constantFrom('a', 'b'), fc.integer({ min: 1, max: 5 })),
      load: fc.integer({ min: 0, max: 8 }),
      loading: fc.option(
        fc.record({ model: fc.constantFrom('a', 'b'), version: fc.integer({ min: 1, max: 5 }) }),
        { nil: undefined },
      ),
    });
    fc.assert(
      fc.property(
        fc.array(replicaArbitrary, { maxLength: 12 }),
        fc.integer({ min: 1, max: 5 }),
        (parts, version) => {
          const replicas = parts.map((part, index) => ({
            id: `r${index}`,
            load: part.load,
            loading: part.loading,
            versions: new Map(Object.entries(part.versions)),
          }));
          const named = ['a', 'b'].map((model) => ({ model, version }));
          const orders = weightsPlan.planOrders(replicas, named);
          expect(new Set(orders.map((order) => order.replicaId)).size).toBe(orders.length);
          orders.forEach((order) => {
            const replica = replicas.find((candidate) => candidate.id === order.replicaId);
            expect(replica?.loading).toBeUndefined();
            expect(replica?.versions.get(order.model)).toBeLessThan(order.version);
          });
        },
      ),
      { seed: 20261204 },
    );
  });
});
