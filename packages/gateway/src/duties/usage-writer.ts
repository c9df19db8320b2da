/**
 * Writes the counts of this gateway: one row for each window, in the middle of the window, so that little
 * is lost with the process, and for good shortly after its end. Zero counts are written too; they tell
 * that this gateway was there.
 *
 * Load pattern: after an outage of the store, hundreds of gateways each have a dozen windows to write.
 * Each makes one write at a time, and the pause between two of them grows with their number.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import type * as trueTimes from './true-time';
import type * as usageCounters from './usage-counter';
import * as usageRows from './usage-rows';
import * as usageWindows from './usage-windows';

export interface UsageWriterOptions {
  readonly environment: environments.Environment;
  readonly store: Pick<stores.Store, 'transact'>;
  readonly time: trueTimes.TrueTime;
  readonly timing: usageWindows.UsageTiming;
  readonly counter: usageCounters.UsageCounter;
  readonly countGateways: () => number;
}

/** Shares of a window: when counts are first written, when for good, and the jitter of both. */
const FIRST_WRITE_SHARE = 0.5;
const FINAL_WRITE_SHARE = 1.06;
const JITTER_SHARE = 0.08;
/** Pause between two looks at what is to be written. */
const MINIMUM_PAUSE_MS = 200;
/** Keeps the gateways together at about 500 writes a second, also after an outage of the store. */
const PAUSE_PER_GATEWAY_MS = 2;
/** Pause after a write that failed. */
const RETRY_PAUSE_MS = 500;
/** A conflict tells the revision that an earlier write without an answer has made. */
const MAXIMUM_ATTEMPTS = 2;

/** What was written for a window. */
interface WindowProgress {
  revision: number;
  hasFirst: boolean;
  hasFinal: boolean;
  /** Share of a window by which its writes are put off. */
  readonly jitterShare: number;
}

/** Writes the counts of one process. */
export class UsageWriter implements runtime.Task {
  readonly name = 'usage counts';

  private readonly errors: errorGuards.ErrorGuard;

  private readonly windows = new Map<number, WindowProgress>();

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private hasFailed = false;

  private constructor(private readonly options: UsageWriterOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: UsageWriterOptions): UsageWriter {
    return new UsageWriter(options);
  }

  start(): Promise<void> {
    this.schedule(MINIMUM_PAUSE_MS);
    return Promise.resolve();
  }

  /** Writes what was counted since the last write; the other gateways do not wait for more. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    if (!this.options.time.isKnown) return;
    this.track();
    const open = [...this.windows].filter(([, progress]) => !progress.hasFinal);
    await Promise.all(
      open.map(([windowNo, progress]) =>
        this.errors.settle(() => this.write(windowNo, progress, true), false),
      ),
    );
  }

  private schedule(delayMs: number): void {
    this.timer = setTimeout(() => this.runCycle(), delayMs);
  }

  private async runCycle(): Promise<void> {
    const isDone = await this.errors.settle(() => this.writeNext(), false);
    if (this.isStopped) return;
    const { environment, countGateways } = this.options;
    const pauseMs = Math.max(MINIMUM_PAUSE_MS, countGateways() * PAUSE_PER_GATEWAY_MS);
    const delayMs = isDone ? pauseMs : Math.max(RETRY_PAUSE_MS, pauseMs);
    this.schedule(delayMs * (0.8 + 0.4 * environment.random()));
  }

  /** Makes the most urgent write; returns whether it succeeded, if there was one. */
  private async writeNext(): Promise<boolean> {
    if (!this.options.time.isKnown) return true;
    this.track();
    const { time, timing, counter } = this.options;
    const { nowMs } = time;
    const due = [...this.windows]
      .filter(([windowNo, progress]) => isWriteDue(windowNo, progress, nowMs, timing))
      .sort(([first], [second]) => first - second);
    const urgent = due.find(([no]) => usageWindows.computeDueMs(no, timing) > nowMs) ?? due[0];
    if (!urgent) return true;
    const [windowNo, progress] = urgent;
    const isFinal = nowMs >= (windowNo + FINAL_WRITE_SHARE) * timing.windowMs;
    if (isFinal) counter.close(windowNo + 1);
    return this.write(windowNo, progress, isFinal);
  }

  /** Takes up the windows since the start of this process, and forgets those that are over. */
  private track(): void {
    const { time, timing, counter, environment } = this.options;
    const { nowMs } = time;
    const current = usageWindows.findWindow(nowMs, timing);
    const oldest = usageWindows.findOldestWindow(nowMs, timing);
    counter.keep(oldest, current + 1);
    [...this.windows.keys()]
      .filter((windowNo) => windowNo < oldest || windowNo > current + 1)
      .forEach((windowNo) => this.windows.delete(windowNo));
    const newest = Math.max(...this.windows.keys());
    const first = Number.isFinite(newest) ? Math.max(newest + 1, oldest) : current;
    for (let windowNo = first; windowNo <= current; windowNo += 1) {
      const jitterShare = JITTER_SHARE * environment.random();
      this.windows.set(windowNo, { revision: 0, hasFirst: false, hasFinal: false, jitterShare });
    }
  }

  private async write(
    windowNo: number,
    progress: WindowProgress,
    isFinal: boolean,
  ): Promise<boolean> {
    const { environment, store, counter } = this.options;
    const { vm, incarnation } = environment;
    const counts = counter.read(windowNo);
    const row = usageRows.encodeCounts(windowNo, `${vm}/${incarnation}`, { vm, isFinal, counts });
    const { table, partition, key } = row;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      // The condition keeps a write that is carried out late from undoing a later one.
      const outcome = await store.transact({
        conditions: [{ table, partition, key, revision: progress.revision }],
        writes: [row],
        removals: [],
      });
      if (outcome.status === stores.StoreStatus.Done) {
        Object.assign(progress, { revision: outcome.revision, hasFirst: true });
        progress.hasFinal ||= isFinal;
        this.recordResult(true, windowNo, '');
        return true;
      }
      if (outcome.status !== stores.StoreStatus.Conflict) {
        this.recordResult(false, windowNo, outcome.reason);
        return false;
      }
      progress.revision = outcome.rows.find((found) => found.key === key)?.revision ?? 0;
    }
    return false;
  }

  private recordResult(isDone: boolean, windowNo: number, reason: string): void {
    const { log, metrics } = this.options.environment;
    metrics.count('usage_writes', { outcome: isDone ? 'done' : 'failed' });
    if (isDone !== this.hasFailed) return;
    this.hasFailed = !isDone;
    if (isDone) log.info('usage counts written again', { window: windowNo });
    else log.warn('usage counts not written', { window: windowNo, reason });
  }
}

function isWriteDue(
  windowNo: number,
  { hasFirst, hasFinal, jitterShare }: WindowProgress,
  unixMs: number,
  timing: usageWindows.UsageTiming,
): boolean {
  if (hasFinal) return false;
  const startMs = windowNo * timing.windowMs;
  const share = hasFirst ? FINAL_WRITE_SHARE : FIRST_WRITE_SHARE;
  return unixMs >= startMs + timing.windowMs * (share + jitterShare);
}
