/**
 * Detects that the process may have been suspended: the wall clock advanced and the monotonic
 * clock did not. A lease that was valid before may have expired meanwhile.
 */

/** How far the clocks may drift apart between two checks. */
const DRIFT_TOLERANCE_MS = 250;

/** Compares the monotonic clock with the wall clock. */
export class SuspensionDetector {
  private offsetMs: number;

  private constructor(
    private readonly nowMs: () => number,
    private readonly wallClockMs: () => number,
  ) {
    this.offsetMs = wallClockMs() - nowMs();
  }

  /**
   * @param nowMs the monotonic clock
   * @param wallClockMs the wall clock
   */
  static create(nowMs: () => number, wallClockMs: () => number): SuspensionDetector {
    return new SuspensionDetector(nowMs, wallClockMs);
  }

  /** Whether the process may have been suspended since the last check. */
  check(): boolean {
    const offsetMs = this.wallClockMs() - this.nowMs();
    const isAhead = offsetMs - this.offsetMs > DRIFT_TOLERANCE_MS;
    this.offsetMs = offsetMs;
    return isAhead;
  }
}
