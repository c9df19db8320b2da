/**
 * Unix time, as a gateway can best tell it.
 *
 * The wall clock of a VM may be off or may step, but most are right. The store's clock is steady but is
 * not Unix time. Each gateway therefore tells the others by how much its wall clock is ahead of the
 * store's clock, in its membership row, and the median of these offsets is added to the store's clock.
 *
 * Load pattern: fewer than half of the wall clocks are wrong, by any amount, or step at any time.
 * Remaining error: that of the median wall clock, and the time that a response of the store takes.
 */
import type * as environments from '../types/environment';

export interface TrueTimeOptions {
  readonly environment: Pick<environments.Environment, 'nowMs' | 'wallClockMs'>;
  /** The store's clock; -Infinity while it is unknown. */
  readonly storeNowMs: () => number;
  /** The offsets that the other live gateways tell, in milliseconds. */
  readonly listPeerOffsets: () => readonly number[];
  /** Whether the other live gateways are known. */
  readonly arePeersKnown: () => boolean;
}

/** Tells Unix time. */
export class TrueTime {
  private constructor(private readonly options: TrueTimeOptions) {}

  static create(options: TrueTimeOptions): TrueTime {
    return new TrueTime(options);
  }

  /** How far this VM's wall clock is ahead of the store's clock; undefined while that is unknown. */
  get ownOffsetMs(): number | undefined {
    const offsetMs = this.options.environment.wallClockMs() - this.options.storeNowMs();
    return Number.isFinite(offsetMs) ? Math.round(offsetMs) : undefined;
  }

  /** Whether the time is that of all gateways, and not only that of the own wall clock. */
  get isKnown(): boolean {
    return this.ownOffsetMs !== undefined && this.options.arePeersKnown();
  }

  /** Unix time in milliseconds. */
  get nowMs(): number {
    const { environment, storeNowMs, listPeerOffsets } = this.options;
    const { ownOffsetMs } = this;
    if (ownOffsetMs === undefined) return environment.wallClockMs();
    return storeNowMs() + computeMedian([ownOffsetMs, ...listPeerOffsets()]);
  }

  /** Converts a time on the monotonic clock. */
  convert(monotonicMs: number): number {
    return this.nowMs - (this.options.environment.nowMs() - monotonicMs);
  }
}

/** The median of at least one value; of an even number, the mean of the middle two. */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((first, second) => first - second);
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return (lower + upper) / 2;
}
