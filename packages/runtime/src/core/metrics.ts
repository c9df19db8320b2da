/**
 * Counters, gauges and latency histograms in the Prometheus text format.
 */
import * as hdr from 'hdr-histogram-js';

/** Labels of a metric. */
export type Labels = Readonly<Record<string, string>>;

const PERCENTILES = [50, 90, 99, 99.9];
const PERCENT_PER_UNIT = 100;
const MICROSECONDS_PER_MILLISECOND = 1000;
const MAXIMUM_DURATION_MICROSECONDS = 3_600_000_000;

interface Series {
  readonly name: string;
  readonly labels: Labels;
}

/** The metrics of one daemon. */
export class Metrics {
  private readonly counters = new Map<string, Series & { value: number }>();

  private readonly gauges = new Map<string, Series & { readonly read: () => number }>();

  private readonly histograms = new Map<string, Series & { readonly histogram: hdr.Histogram }>();

  static create(): Metrics {
    return new Metrics();
  }

  /** Adds `amount` to a counter. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const key = formatSeries(name, labels);
    const counter = this.counters.get(key);
    if (counter) counter.value += amount;
    else this.counters.set(key, { name, labels, value: amount });
  }

  /** Registers a gauge; `read` is called whenever the metrics are formatted. */
  gauge(name: string, labels: Labels, read: () => number): void {
    this.gauges.set(formatSeries(name, labels), { name, labels, read });
  }

  /** Records a duration in milliseconds. */
  record(name: string, labels: Labels, durationMs: number): void {
    const key = formatSeries(name, labels);
    let series = this.histograms.get(key);
    if (!series) {
      const histogram = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAXIMUM_DURATION_MICROSECONDS,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
      });
      series = { name, labels, histogram };
      this.histograms.set(key, series);
    }
    const microseconds = Math.round(durationMs * MICROSECONDS_PER_MILLISECOND);
    series.histogram.recordValue(
      Math.min(MAXIMUM_DURATION_MICROSECONDS, Math.max(1, microseconds)),
    );
  }

  /** The value of a counter; 0 when nothing was added to it. */
  readCount(name: string, labels: Labels = {}): number {
    return this.counters.get(formatSeries(name, labels))?.value ?? 0;
  }

  /** All metrics in the Prometheus text format. */
  format(): string {
    const lines = [
      ...[...this.counters].map(([key, counter]) => `${key} ${counter.value}`),
      ...[...this.gauges].map(([key, gauge]) => `${key} ${gauge.read()}`),
      ...[...this.histograms.values()].flatMap(formatHistogram),
    ];
    return `${lines.join('\n')}\n`;
  }
}

function formatHistogram(series: Series & { readonly histogram: hdr.Histogram }): string[] {
  const { name, labels, histogram } = series;
  const quantiles = PERCENTILES.map((percentile) => {
    const key = formatSeries(name, { ...labels, quantile: String(percentile / PERCENT_PER_UNIT) });
    const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    return `${key} ${value}`;
  });
  return [...quantiles, `${formatSeries(`${name}_count`, labels)} ${histogram.totalCount}`];
}

function formatSeries(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? `azureworks_${name}` : `azureworks_${name}{${pairs.join(',')}}`;
}
