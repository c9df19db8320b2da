/**
 * Which requests count, in which window, and when a report has its counts.
 */
import * as runtime from '@azureworks/runtime';
import * as meteredSenders from '../src/duties/metered-sender';
import * as trueTimes from '../src/duties/true-time';
import * as usageCounters from '../src/duties/usage-counter';
import * as usageWindows from '../src/duties/usage-windows';
import type * as replicas from '../src/types/replica';

const TIMING = { windowMs: 5000, dueMs: 10_000 };
const CONNECTION = { connection: 1, earlierExchanges: 0 };
const ANSWER = { status: 200, headers: [], body: Buffer.alloc(0), signature: 's' };
const ANSWERED = { status: 'answered', answer: ANSWER, load: undefined } as const;

/** A counter on a monotonic clock that began 1,000,000 ms after the start of 1970. */
function createCounter(): usageCounters.UsageCounter {
  const time = { convert: (monotonicMs: number) => 1_000_000 + monotonicMs };
  return usageCounters.UsageCounter.create(time, TIMING, runtime.Metrics.create());
}

describe('usage windows', () => {
  it('begin at multiples of their length', () => {
    const counter = createCounter();
    [0, 4999.9, 5000].forEach((atMs) => counter.record('a', atMs));
    expect([counter.read(200), counter.read(201)]).toEqual([{ a: 2 }, { a: 1 }]);
  });

  it('do not keep counts of windows that are over, or too far in the future', () => {
    const counter = createCounter();
    [0, 5000, 3_600_000].forEach((atMs) => counter.record('a', atMs));
    counter.keep(201, 202);
    expect([200, 201, 920].map((windowNo) => counter.read(windowNo))).toEqual([{}, { a: 1 }, {}]);
  });

  // One more rounding would report a window that had not ended, or give one up that may be sent.
  it('are sent until a minute after they were due', () => {
    expect(usageWindows.findOldestWindow(75_000, TIMING)).toBe(0);
    expect(usageWindows.findOldestWindow(75_001, TIMING)).toBe(1);
  });
});

describe('the true time', () => {
  it.each([
    [[5], 5],
    [[1, 3], 2],
    [[-9e9, 1, 2, 4, 9e9], 2],
  ])('is that of the median of %j', (offsets, median) => {
    expect(trueTimes.computeMedian(offsets)).toBe(median);
  });

  it('is that of the wall clock before the store was reached', () => {
    const environment = { nowMs: () => 10, wallClockMs: () => 5000 };
    const options = {
      environment,
      storeNowMs: () => -Infinity,
      listPeerOffsets: () => [7],
      arePeersKnown: () => true,
    };
    expect(trueTimes.TrueTime.create(options).convert(8)).toBe(4998);
  });
});

describe('a report', () => {
  const final = { vm: 'v1', isFinal: true, counts: { a: 1 } };
  const partial = { vm: 'v2', isFinal: false, counts: { a: 2, b: 1 } };

  function plan(
    rows: readonly usageWindows.GatewayCounts[],
    atMs: number,
    firstReadMs = 6000,
  ): string {
    const window = { windowNo: 0, rows, firstReadMs };
    const step = usageWindows.planWindow(window, ['v1', 'v2'], atMs, TIMING);
    return step.kind === 'wait' ? 'wait' : JSON.stringify([step.counts, step.missing]);
  }

  it('has the counts of all live gateways, and of those that are gone', () => {
    const gone = { vm: 'v3', isFinal: false, counts: { b: 4 } };
    expect(plan([final, { ...partial, isFinal: true }, gone], 6000)).toBe('[{"a":3,"b":5},[]]');
  });

  it('waits for counts until three seconds before it is due', () => {
    expect(plan([final, partial], 11_999)).toBe('wait');
    expect(plan([final, partial], 12_000)).toBe('[{"a":3,"b":1},["v2"]]');
  });

  // After an outage of the store the holder would report before the others have written.
  it('waits for counts although it is late, when they may just be arriving', () => {
    expect(plan([final], 32_000, 30_000)).toBe('wait');
    expect(plan([final], 32_500, 30_000)).toBe('[{"a":1},["v2"]]');
  });

  it('does not exist for a window in which no gateway was there', () => {
    expect(plan([], 60_000)).toBe('wait');
  });
});

describe('a request', () => {
  const NOT_USED = [{}, {}, {}] as Parameters<replicas.RequestSender['call']>;

  async function count(outcome: replicas.CallOutcome, hasHead = false): Promise<unknown[]> {
    const counter = createCounter();
    const sender: replicas.RequestSender = {
      call: async () => outcome,
      stream: async (_replica, _request, _options, receiver) => {
        if (hasHead) receiver.begin({} as replicas.StreamHead);
        return outcome;
      },
    };
    const metered = meteredSenders.MeteredSender.create(sender, 'a', counter, () => 0);
    const receiver = { begin: () => {}, receive: () => {} };
    const plain = metered.call(...NOT_USED).then(() => counter.read(200).a ?? 0);
    const plainCount = await plain;
    await metered.stream(...(NOT_USED as never as [never, never, never]), receiver);
    return [plainCount, (counter.read(200).a ?? 0) - plainCount];
  }

  it('counts when a replica answered it, once', async () => {
    expect(await count(ANSWERED, true)).toEqual([1, 1]);
  });

  it.each(['broken', 'cancelled'] as const)('counts when it was sent and %s', async (status) => {
    expect(await count({ status, reason: '', connection: CONNECTION })).toEqual([1, 1]);
    expect(await count({ status, reason: '' })).toEqual([0, 0]);
  });

  it.each(['not-run', 'wrong-replica'] as const)('does not count when it is %s', async (status) => {
    expect(await count({ status, reason: '', connection: CONNECTION })).toEqual([0, 0]);
  });

  // A call that outlasts its window would be missing from the report.
  it('counts in the window in which it was sent while it still runs', () => {
    const counter = createCounter();
    const sender = { call: () => new Promise<never>(() => {}), stream: jest.fn() };
    meteredSenders.MeteredSender.create(sender, 'a', counter, () => 0).call(...NOT_USED);
    expect(counter.read(200)).toEqual({ a: 1 });
  });
});
