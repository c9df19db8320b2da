import * as fc from 'fast-check';
import * as placement from '../src/replicas/placement';
import * as replicaHealths from '../src/replicas/replica-health';

function candidate(
  id: string,
  change: Partial<placement.PlacementCandidate> = {},
): placement.PlacementCandidate {
  return { id, slots: 8, load: 0, unitMs: 40, isLocal: false, isEjected: false, ...change };
}

describe('choosePlacement', () => {
  it('chooses the replica with the shortest expected wait', () => {
    const list = [
      candidate('busy', { load: 6 }),
      candidate('idle'),
      candidate('slow', { unitMs: 160 }),
    ];
    expect(placement.choosePlacement(list, 0.99)?.id).toBe('idle');
  });

  it('chooses a slower replica when the load of the faster one outweighs its speed', () => {
    const list = [candidate('fast', { load: 7 }), candidate('slow', { unitMs: 80 })];
    expect(placement.choosePlacement(list, 0)?.id).toBe('slow');
  });

  it('prefers a replica in the same failure domain among equal ones', () => {
    const list = [candidate('far'), candidate('near', { isLocal: true }), candidate('other')];
    expect([0, 0.5, 0.99].map((draw) => placement.choosePlacement(list, draw)?.id)).toEqual([
      'near',
      'near',
      'near',
    ]);
  });

  it('spreads the choices of gateways with the same information', () => {
    const list = [candidate('a'), candidate('b'), candidate('c')];
    const chosen = [0, 0.4, 0.8].map((draw) => placement.choosePlacement(list, draw)?.id);
    expect(new Set(chosen).size).toBe(3);
  });

  it('uses an ejected replica only when there is no other', () => {
    const ejected = candidate('ejected', { isEjected: true });
    expect(placement.choosePlacement([ejected, candidate('busy', { load: 30 })], 0)?.id).toBe(
      'busy',
    );
    expect(placement.choosePlacement([ejected], 0)?.id).toBe('ejected');
    expect(placement.choosePlacement([], 0)).toBeUndefined();
  });

  it('always chooses one of the candidates', () => {
    const candidateArbitrary = fc.record({
      load: fc.integer({ min: 0, max: 40 }),
      slots: fc.integer({ min: 0, max: 16 }),
      unitMs: fc.option(fc.double({ min: 0, max: 1e4, noNaN: true }), { nil: undefined }),
      isLocal: fc.boolean(),
      isEjected: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(candidateArbitrary, { minLength: 1, maxLength: 8 }),
        fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
        (inputs, draw) => {
          const list = inputs.map((input, index) => ({ id: `r${index}`, ...input }));
          expect(list).toContain(placement.choosePlacement(list, draw));
        },
      ),
      { seed: 20261204 },
    );
  });
});

describe('ReplicaHealth', () => {
  it('ejects a replica after two consecutive failures or one unresponsive call, longer each time', () => {
    const health = replicaHealths.ReplicaHealth.create();
    expect(health.recordFailure(0, false)).toBe(false);
    expect(health.recordFailure(0, false)).toBe(true);
    expect(health.isEjected(999)).toBe(true);
    expect(health.isEjected(1000)).toBe(false);
    expect(health.recordFailure(1000, true)).toBe(true);
    expect(health.isEjected(2999)).toBe(true);
    health.recordSuccess();
    expect(health.recordFailure(4000, false)).toBe(false);
  });
});
