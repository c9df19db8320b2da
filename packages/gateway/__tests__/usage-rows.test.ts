/**
 * Writes of usage rows that are carried out seconds later.
 */
import * as standins from '@azureworks/standins';
import * as usageCounters from '../src/duties/usage-counter';
import * as usageLedgers from '../src/duties/usage-ledger';
import * as usageRows from '../src/duties/usage-rows';
import * as usageWriters from '../src/duties/usage-writer';
import * as trueTimes from '../src/duties/true-time';
import * as time from './support/virtual-time';

const TIMING = { windowMs: 5000, dueMs: 10_000 };
const START_MS = 1_000_000;
const WINDOW = START_MS / TIMING.windowMs;

describe('a write of usage that is carried out late', () => {
  const environment = time.createEnvironment('vm-1');
  let store: standins.MemoryStore;

  beforeEach(() => {
    jest.useFakeTimers({ now: START_MS });
    store = standins.MemoryStore.create(time);
  });

  afterEach(() => jest.useRealTimers());

  function readWindow(): usageRows.WindowRows {
    return usageRows.decodeWindow(store.inspect(usageRows.USAGE_TABLE));
  }

  // The next holder would send other counts than the platform has accepted.
  it('does not replace the report that another holder has stored', async () => {
    await time.advance(6000);
    const ledgers = [1, 2].map(() =>
      usageLedgers.UsageLedger.create({ environment, store, timing: TIMING }),
    );
    for (const ledger of ledgers) await ledger.read(Date.now());
    const [late, next] = ledgers.map((ledger) => ({
      ledger,
      window: ledger.list(Date.now()).find(({ windowNo }) => windowNo === WINDOW)!,
    }));
    store.faults.applyLate = 1;
    const report = { fence: 1, isSettled: false };
    const storing = late.ledger.storeReport(late.window, { ...report, counts: { a: 1 } }, []);
    await time.advance(250);
    expect(await storing).toBe(false);
    expect(await next.ledger.storeReport(next.window, { ...report, counts: { a: 2 } }, [])).toBe(
      true,
    );
    expect(await next.ledger.settle(next.window)).toBe(true);
    await time.advance(2000);
    expect(readWindow().report).toMatchObject({ counts: { a: 2 }, isSettled: true });
  });

  // The first counts of a window would replace the final ones.
  it('does not replace later counts of the same gateway', async () => {
    const clock = trueTimes.TrueTime.create({
      environment,
      storeNowMs: time.nowMs,
      listPeerOffsets: () => [],
      arePeersKnown: () => true,
    });
    const counter = usageCounters.UsageCounter.create(clock, TIMING, environment.metrics);
    const writer = usageWriters.UsageWriter.create({
      environment,
      store,
      time: clock,
      timing: TIMING,
      counter,
      countGateways: () => 1,
    });
    await writer.start();
    store.faults.applyLate = 1;
    store.faults.applyDelayMs = 4000;
    await time.advance(4000);
    expect(store.faults.applyLate).toBe(0);
    counter.record('a', time.nowMs());
    await time.advance(6000);
    expect(readWindow().counts[0]).toEqual({ vm: 'vm-1', isFinal: true, counts: { a: 1 } });
    await writer.stop();
  });
});
