/**
 * Counts the requests that replicas began to run for each organisation, by the window in which they
 * began.
 *
 * A request is counted as soon as it is sent, so that long ones are part of the report of their window,
 * and taken back when it turns out that it did not run.
 */
import type * as environments from '../types/environment';
import type * as dutyApis from '../types/duty-api';
import type * as trueTimes from './true-time';
import * as usageWindows from './usage-windows';

/** Counts of one gateway. */
export class UsageCounter {
  private readonly windows = new Map<number, Map<string, number>>();

  private oldestOpen = -Infinity;

  private constructor(
    private readonly time: Pick<trueTimes.TrueTime, 'convert'>,
    private readonly timing: usageWindows.UsageTiming,
    private readonly metrics: environments.Environment['metrics'],
  ) {}

  static create(
    time: Pick<trueTimes.TrueTime, 'convert'>,
    timing: usageWindows.UsageTiming,
    metrics: environments.Environment['metrics'],
  ): UsageCounter {
    return new UsageCounter(time, timing, metrics);
  }

  /**
   * Counts a request.
   * @param beganAtMs when the replica began, on the monotonic clock
   * @returns takes the request back
   */
  record(organisation: string, beganAtMs: number): () => void {
    const windowNo = usageWindows.findWindow(this.time.convert(beganAtMs), this.timing);
    if (windowNo < this.oldestOpen) this.metrics.count('usage_counted_late');
    this.add(windowNo, organisation, 1);
    return () => this.add(windowNo, organisation, -1);
  }

  /** The counts of a window up to now. */
  read(windowNo: number): dutyApis.UsageCounts {
    const counts = [...(this.windows.get(windowNo) ?? [])];
    return Object.fromEntries(counts.filter(([, count]) => count > 0));
  }

  /** Records that the counts of the windows before this one were written for good. */
  close(oldestOpen: number): void {
    this.oldestOpen = Math.max(this.oldestOpen, oldestOpen);
  }

  /** Forgets the windows before one, and those that are too far in the future to be true. */
  keep(oldest: number, newest: number): void {
    [...this.windows.keys()]
      .filter((windowNo) => windowNo < oldest || windowNo > newest)
      .forEach((windowNo) => this.windows.delete(windowNo));
  }

  private add(windowNo: number, organisation: string, amount: number): void {
    const counts = this.windows.get(windowNo) ?? new Map<string, number>();
    this.windows.set(windowNo, counts);
    counts.set(organisation, (counts.get(organisation) ?? 0) + amount);
  }
}
