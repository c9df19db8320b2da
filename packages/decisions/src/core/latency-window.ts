/**
 * The latest latencies of one kind of requests, in ascending order.
 *
 * Load pattern: the order is read for each request, and a latency is recorded for nearly each. The
 * samples are therefore sorted again only once some of them have been replaced.
 */

/** Samples of a kind that are kept: the quantile 0.95 of so many is within about 0.014 of the true one. */
const MAXIMUM_SAMPLES = 256;
/** Age after which a sample no longer counts: one request a second still fills the window. */
const MAXIMUM_AGE_MS = 300_000;
/** The samples are sorted again after so many new ones, a sixteenth of those kept ... */
const REFRESH_SAMPLES = 16;
/** ... or after this time, so that samples also age while few are recorded. */
const REFRESH_INTERVAL_MS = 5000;

/** The samples of one kind, the oldest of which is replaced first. */
export class LatencyWindow {
  private readonly latenciesMs = new Float64Array(MAXIMUM_SAMPLES);

  private readonly recordedMs = new Float64Array(MAXIMUM_SAMPLES);

  private count = 0;

  private sorted: readonly number[] = [];

  private refreshedMs = -Infinity;

  private samplesSinceRefresh = 0;

  static create(): LatencyWindow {
    return new LatencyWindow();
  }

  record(latencyMs: number, nowMs: number): void {
    const index = this.count % MAXIMUM_SAMPLES;
    this.latenciesMs[index] = latencyMs;
    this.recordedMs[index] = nowMs;
    this.count += 1;
    this.samplesSinceRefresh += 1;
  }

  /** The samples that count, in ascending order. */
  list(nowMs: number): readonly number[] {
    const isCurrent =
      this.samplesSinceRefresh < Math.min(REFRESH_SAMPLES, this.count) &&
      nowMs - this.refreshedMs < REFRESH_INTERVAL_MS;
    if (isCurrent) return this.sorted;
    this.samplesSinceRefresh = 0;
    this.refreshedMs = nowMs;
    this.sorted = [...this.latenciesMs.subarray(0, this.count)]
      .filter((_latencyMs, index) => nowMs - (this.recordedMs[index] ?? 0) < MAXIMUM_AGE_MS)
      .sort((first, second) => first - second);
    return this.sorted;
  }
}
