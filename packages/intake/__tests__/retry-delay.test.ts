import * as decisions from '@azureworks/decisions';
import * as retryDelays from '../src/core/retry-delay';

const LEAST_MS = 1000;
const CLIENTS = 400;
const BUCKET_MS = 100;

describe('the delay that refused clients are told', () => {
  it('spreads those who were refused together, none earlier than the least', () => {
    const random = decisions.SeededRandom.create(53);
    const buckets = new Map<number, number>();
    for (let client = 0; client < CLIENTS; client += 1) {
      const delayMs = retryDelays.spreadDelay(LEAST_MS, random.next());
      expect(delayMs).toBeGreaterThanOrEqual(LEAST_MS);
      expect(delayMs).toBeLessThanOrEqual(2 * LEAST_MS);
      const bucket = Math.floor(delayMs / BUCKET_MS);
      buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1);
    }
    // Even is 40 in each tenth of a second; all of them came in one before.
    expect(Math.max(...buckets.values())).toBeLessThan(CLIENTS / 5);
  });
});
