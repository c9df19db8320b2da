/**
 * How long requests took, by their kind. The longest of the latest tells how long another one may usually
 * take; older ones are forgotten, so that a disruption does not count for good. The longest of many tells
 * whether some take far longer than the usual ones.
 */

/** How many durations of a kind are remembered. */
const MAXIMUM_DURATIONS = 32;
/** The longest of so many at least is remembered, and of twice as many at most. */
const GENERATION_SIZE = 4096;
/** Kinds that are remembered, such as routes; the one without requests for longest is forgotten first. */
const MAXIMUM_KINDS = 4096;

interface KindDurations {
  readonly latestMs: readonly number[];
  /** The longest of the durations that are counted now, and of those counted before. */
  readonly longestMs: number;
  readonly formerLongestMs: number;
  readonly count: number;
}

const NO_DURATIONS: KindDurations = { latestMs: [], longestMs: 0, formerLongestMs: 0, count: 0 };

/** The latest durations of each kind of requests. */
export class RecentDurations {
  private readonly kinds = new Map<string, KindDurations>();

  static create(): RecentDurations {
    return new RecentDurations();
  }

  record(kind: string, durationMs: number): void {
    const known = this.kinds.get(kind) ?? NO_DURATIONS;
    const isFull = known.count === GENERATION_SIZE;
    this.kinds.delete(kind);
    this.kinds.set(kind, {
      latestMs: [...known.latestMs, durationMs].slice(-MAXIMUM_DURATIONS),
      longestMs: Math.max(durationMs, isFull ? 0 : known.longestMs),
      formerLongestMs: isFull ? known.longestMs : known.formerLongestMs,
      count: isFull ? 1 : known.count + 1,
    });
    const [oldest] = this.kinds.keys();
    if (this.kinds.size > MAXIMUM_KINDS && oldest !== undefined) this.kinds.delete(oldest);
  }

  /** Undefined before the first one of the kind. */
  getLongestMs(kind: string): number | undefined {
    const known = this.kinds.get(kind);
    return known && Math.max(...known.latestMs);
  }

  /** The longest of many; undefined before the first one of the kind. */
  getLongestOfManyMs(kind: string): number | undefined {
    const known = this.kinds.get(kind);
    return known && Math.max(known.longestMs, known.formerLongestMs);
  }
}
