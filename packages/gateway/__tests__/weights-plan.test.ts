/**
 * Simulates the load pattern for which weights are planned: three models share the same engines,
 * and each gets a new version every four seconds while a load takes one second.
 */
import * as fc from 'fast-check';
import * as weightsPlan from '../src/weights/weights-plan';

const LOAD_MS = 1000;
const TICK_MS = 100;
const VERSION_INTERVAL_MS = 4000;
const VERSION_COUNT = 8;

interface SimulatedReplica {
  readonly id: string;
  readonly versions: Map<string, number>;
  loading: weightsPlan.ModelVersion | undefined;
  loadEndMs: number;
}

interface SimulationResult {
  /** Fewest replicas that can serve a step when it starts, over all steps but the first. */
  readonly minimumServingAtStart: number;
  /** The same 0.5 s before the end of each period of four seconds. */
  readonly minimumServingLater: number;
  readonly maximumLoading: number;
  readonly loadsPerVersion: number;
}

function simulate(replicaCount: number, models: readonly string[]): SimulationResult {
  const replicas: SimulatedReplica[] = Array.from({ length: replicaCount }, (_unused, index) => ({
    id: `r${index}`,
    versions: new Map(models.map((model) => [model, 1])),
    loading: undefined,
    loadEndMs: 0,
  }));
  const desired = new Map<string, number>();
  const serving = (model: string): number =>
    replicas.filter((replica) => {
      const loaded = replica.versions.get(model) ?? 0;
      return loaded >= (desired.get(model) ?? 1) - 1 && replica.loading?.model !== model;
    }).length;
  const result = {
    minimumServingAtStart: Infinity,
    minimumServingLater: Infinity,
    maximumLoading: 0,
    loads: 0,
  };
  const ticks = Array.from(
    { length: (VERSION_COUNT * VERSION_INTERVAL_MS) / TICK_MS },
    (_unused, index) => index * TICK_MS,
  );
  ticks.forEach((nowMs) => {
    replicas.forEach((replica) => {
      if (!replica.loading || nowMs < replica.loadEndMs) return;
      replica.versions.set(replica.loading.model, replica.loading.version);
      replica.loading = undefined;
    });
    models.forEach((model, index) => {
      // The steps of the trainers start 300 ms apart.
      if ((nowMs - index * 300) % VERSION_INTERVAL_MS !== 0 || nowMs < VERSION_INTERVAL_MS) return;
      desired.set(model, (desired.get(model) ?? 1) + 1);
      result.minimumServingAtStart = Math.min(result.minimumServingAtStart, serving(model));
    });
    const orders = weightsPlan.planOrders(
      replicas.map((replica) => ({ ...replica, load: 0 })),
      [...desired].map(([model, version]) => ({ model, version })),
    );
    orders.forEach((order) => {
      const replica = replicas.find((candidate) => candidate.id === order.replicaId);
      if (!replica) throw new Error('order for an unknown replica');
      expect(replica.loading).toBeUndefined();
      replica.loading = order;
      replica.loadEndMs = nowMs + LOAD_MS;
      result.loads += 1;
    });
    result.maximumLoading = Math.max(
      result.maximumLoading,
      replicas.filter((replica) => replica.loading).length,
    );
    if (nowMs % VERSION_INTERVAL_MS === VERSION_INTERVAL_MS - 500) {
      models.forEach((model) => {
        result.minimumServingLater = Math.min(result.minimumServingLater, serving(model));
      });
    }
  });
  const versions = [...desired.values()].reduce((sum, version) => sum + version - 1, 0);
  return { ...result, loadsPerVersion: result.loads / versions };
}

describe('planOrders', () => {
  it('keeps a share of the replicas ready for each step that starts, with few loads', () => {
    const { minimumServingAtStart, minimumServingLater, maximumLoading, loadsPerVersion } =
      simulate(6, ['a', 'b', 'c']);
    expect(minimumServingAtStart).toBeGreaterThanOrEqual(2);
    expect(minimumServingLater).toBeGreaterThanOrEqual(3);
    expect(maximumLoading).toBeLessThanOrEqual(2);
    expect(loadsPerVersion).toBeLessThanOrEqual(2);
  });

  it('does the same for many replicas', () => {
    const { minimumServingAtStart, maximumLoading, loadsPerVersion } = simulate(30, [
      'a',
      'b',
      'c',
    ]);
    expect(minimumServingAtStart).toBeGreaterThanOrEqual(10);
    expect(maximumLoading).toBeLessThanOrEqual(9);
    expect(loadsPerVersion).toBeLessThanOrEqual(10);
  });

  it('loads every version on every replica when there is one model', () => {
    expect(simulate(4, ['a']).loadsPerVersion).toBeGreaterThan(3.5);
  });

  it('never orders a version a replica has, two loads at a time, or a model it does not serve', () => {
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
        (inputs, version) => {
          const replicas = inputs.map((input, index) => ({
            id: `r${index}`,
            load: input.load,
            loading: input.loading,
            versions: new Map(Object.entries(input.versions)),
          }));
          const desired = ['a', 'b'].map((model) => ({ model, version }));
          const orders = weightsPlan.planOrders(replicas, desired);
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
