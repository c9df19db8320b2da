/**
 * The weights of a replica can go back to an older version. What was known before must not hide that, or the replica
 * would never get an order again.
 */
import * as weightVersions from '../src/replicas/weight-versions';
import * as time from './support/virtual-time';
import * as weightsSystems from './support/weights-system';

describe('weights that went back', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  // The newest version ever known counted, and the replica kept the old weights.
  it('are ordered again when the row of the replica tells it', async () => {
    const system = await weightsSystems.WeightsSystem.start(['e1']);
    const { replicas, task } = system;
    system.name(3);
    await time.advance(2000);
    system.register('e1', 3);
    await time.advance(5000);
    expect(replicas.orders).toHaveLength(1);

    replicas.versions.set('e1', 2);
    system.register('e1', 2);
    await time.advance(2000);
    expect(replicas.orders).toHaveLength(2);
    expect(replicas.orders[1]).toMatchObject({ replica: 'e1', version: 3, acceptedOrders: 1 });
    await task.stop();
  });
});

describe('the known version of weights', () => {
  let versions: weightVersions.WeightVersions;

  beforeEach(() => {
    versions = weightVersions.WeightVersions.create();
    versions.recordRow(new Map([['m', 3]]), 1000);
  });

  it('is that of the row before anything was observed', () => {
    expect(versions.get('m')).toBe(3);
    expect(versions.get('other')).toBeUndefined();
  });

  it('is the observed one while the row is behind', () => {
    versions.recordObserved('m', 4, 1500);
    versions.recordRow(new Map([['m', 3]]), 2000);
    expect(versions.get('m')).toBe(4);
  });

  it('is an older one that was observed after the row', () => {
    versions.recordObserved('m', 2, 1500);
    versions.recordRow(new Map([['m', 3]]), 2000);
    expect(versions.get('m')).toBe(2);
  });

  it('is not an older one that was observed before the row', () => {
    versions.recordObserved('m', 2, 900);
    expect(versions.get('m')).toBe(3);
  });

  // Answers on different connections overtake each other.
  it.each([
    [3, 4],
    [5, 5],
  ])('after 4 and then %i in the answer to an earlier request is %i', (late, known) => {
    versions.recordObserved('m', 4, 1500);
    versions.recordObserved('m', late, 1400);
    expect(versions.get('m')).toBe(known);
  });

  // A wrong observation would otherwise keep the replica from work that could correct it.
  it.each([2, 4])('is that of the row again when rows contradict %i for long', (version) => {
    versions.recordObserved('m', version, 1500);
    versions.recordRow(new Map([['m', 3]]), 2000);
    versions.recordRow(new Map([['m', 3]]), 5000);
    expect(versions.get('m')).toBe(3);
  });

  it('is the observed one when a row is late, but not the next', () => {
    versions.recordObserved('m', 4, 1500);
    versions.recordRow(new Map([['m', 3]]), 2000);
    versions.recordRow(new Map([['m', 4]]), 3000);
    versions.recordRow(new Map([['m', 4]]), 5000);
    expect(versions.get('m')).toBe(4);
  });

  it('is that of a row that goes back', () => {
    versions.recordObserved('m', 3, 1500);
    versions.recordRow(new Map([['m', 2]]), 2000);
    expect(versions.get('m')).toBe(2);
  });
});
