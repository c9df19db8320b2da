/**
 * Quantiles of the recent latencies of each kind of requests, such as the requests of a route.
 *
 * Load pattern: many requests to a few routes, whose latency changes within minutes. Only the latest
 * ones count, and none that is older than the period in which such a change matters.
 */
import * as latencyWindows from './latency-window';

/** Kinds that are kept, up to 6 KiB each; the one without samples for longest is dropped first. */
const MAXIMUM_KINDS = 256;

/** The latest latencies of each kind of requests. */
export class RecentLatencies {
  private readonly windows = new Map<string, latencyWindows.LatencyWindow>();

  static create(): RecentLatencies {
    return new RecentLatencies();
  }

  record(kind: string, latencyMs: number, nowMs: number): void {
    const window = this.windows.get(kind) ?? latencyWindows.LatencyWindow.create();
    this.windows.delete(kind);
    this.windows.set(kind, window);
    window.record(latencyMs, nowMs);
    const [oldest] = this.windows.keys();
    if (this.windows.size > MAXIMUM_KINDS && oldest !== undefined) this.windows.delete(oldest);
  }

  /**
   * The latency that this share of the recent requests of a kind did not exceed.
   * @param minimumSamples the quantile is undefined when fewer samples are known
   */
  getQuantileMs(
    kind: string,
    quantile: number,
    minimumSamples: number,
    nowMs: number,
  ): number | undefined {
    const sorted = this.windows.get(kind)?.list(nowMs) ?? [];
    if (sorted.length === 0 || sorted.length < minimumSamples) return undefined;
    return sorted[Math.min(sorted.length, Math.ceil(quantile * sorted.length)) - 1];
  }
}
