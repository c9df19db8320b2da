import * as weightsSystems from './support/weights-system';
import * as time from './support/virtual-time';

describe('the holder of the lease of orders', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  // The renewal discarded the news of a suspension, and the holder went on ordering beside the next one.
  it('gives no order after a suspension that its renewal notices first', async () => {
    let suspendedMs = 0;
    const environment = {
      ...time.createEnvironment('vm-1'),
      wallClockMs: () => time.nowMs() + suspendedMs,
    };
    const system = await weightsSystems.WeightsSystem.start(['e1'], environment);
    const { store, task, replicas } = system;
    const releaseReads = store.holdReads();
    await time.advance(1000);

    suspendedMs = 10_000;
    const value = Buffer.from(JSON.stringify({ holder: 'vm-2', fence: 2, renewal: 0 }));
    store.lease = { ...store.lease!, value, revision: 100 };
    system.name(2);
    releaseReads();
    await time.advance(100);
    task.planOrders();
    await time.advance(100);
    expect(replicas.orders).toEqual([]);
    await task.stop();
  });
});
