import * as fc from 'fast-check';
import * as placement from '../src/replicas/placement';
import * as paces from '../src/replicas/replica-health';

function candidate(
  id: string,
  change: Partial<placement.PlacementCandidate> = {},
): placement.PlacementCandidate {
  return { id, slots: 8, load: 0, unitMs: 40, isNear: false, isAvoided: false, ...change };
}

describe('the placement of a request', () => {
  it('takes the replica with the shortest expected wait', () => {
    const list = [
      candidate('busy', { load: 6 }),
      candidate('idle'),
      candidate('slow', { unitMs: 160 }),
    ];
    expect(placement.choosePlacement(list, 0.99)?.id).toBe('idle');
  });

  it('sends more to a slow replica only when the others are that much busier', () => {
    const list = [candidate('fast', { load: 7 }), candidate('slow', { unitMs: 80 })];
    expect(placement.choosePlacement(list, 0)?.id).toBe('slow');
  });

  it('prefers the replica nearby among equals', () => {
    const list = [candidate('far'), candidate('near', { isNear: true }), candidate('other')];
    expect([0, 0.5, 0.99].map((draw) => placement.choosePlacement(list, draw)?.id)).toEqual([
      'near',
      'near',
      'near',
    ]);
  });

  it('spreads gateways that know the same', () => {
    const list = [candidate('a'), candidate('b'), candidate('c')];
    const chosen = [0, 0.4, 0.8].map((draw) => placement.choosePlacement(list, draw)?.id);
    expect(new Set(chosen).size).toBe(3);
  });

  it('uses an avoided replica only when there is no other', () => {
    const avoided = candidate('avoided', { isAvoided: true });
    expect(placement.choosePlacement([avoided, candidate('busy', { load: 30 })], 0)?.id).toBe(
      'busy',
    );
    expect(placement.choosePlacement([avoided], 0)?.id).toBe('avoided');
    expect(placement.choosePlacement([], 0)).toBeUndefined();
  });

  it('always chooses one of the candidates', () => {
    const arbitrary = fc.record({
      load: fc.integer({ min: 0, max: 40 }),
      slots: fc.integer({ min: 0, max: 16 }),
      unitMs: fc.option(fc.double({ min: 0, max: 1e4, noNaN: true }), { nil: undefined }),
      isNear: fc.boolean(),
      isAvoided: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(arbitrary, { minLength: 1, maxLength: 8 }),
        fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
        (parts, draw) => {
          const list = parts.map((part, index) => ({ id: `r${index}`, ...part }));
          expect(list).toContain(placement.choosePlacement(list, draw));
        },
      ),
      { seed: 20261204 },
    );
  });
});

describe('what is learned of a replica', () => {
  it('leaves it alone after one silence or two failures in a row, longer each time', () => {
    const pace = paces.Pace.create();
    expect(pace.noteFailure(0, false)).toBe(false);
    expect(pace.noteFailure(0, false)).toBe(true);
    expect(pace.isAvoided(999)).toBe(true);
    expect(pace.isAvoided(1000)).toBe(false);
    expect(pace.noteFailure(1000, true)).toBe(true);
    expect(pace.isAvoided(2999)).toBe(true);
    pace.noteSuccess();
    expect(pace.noteFailure(4000, false)).toBe(false);
  });
});
