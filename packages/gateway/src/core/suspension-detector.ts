/**
 * Notices that the process may have been suspended: the time of day went on and the monotonic
 * clock did not. A right that was valid before may have lapsed meanwhile.
 */

/** How far the clocks may drift apart between two looks, in milliseconds. */
const TOLERANCE_MS = 250;

/** Compares the two clocks. */
export class Suspension {
  private offsetMs: number;

  private constructor(
    private readonly nowMs: () => number,
    private readonly wallMs: () => number,
  ) {
    this.offsetMs = wallMs() - nowMs();
  }

  /**
   * @param nowMs the monotonic clock
   * @param wallMs the time of day
   */
  static create(nowMs: () => number, wallMs: () => number): Suspension {
    return new Suspension(nowMs, wallMs);
  }

  /** Whether the process may have been suspended since the last look. */
  look(): boolean {
    const offsetMs = this.wallMs() - this.nowMs();
    const isAhead = offsetMs - this.offsetMs > TOLERANCE_MS;
    this.offsetMs = offsetMs;
    return isAhead;
  }
}
