/**
 * The clock interface of this package. Production code passes the monotonic clock of the process;
 * tests pass a clock that they advance explicitly.
 */

/** A monotonic clock. */
export interface Clock {
  /** Milliseconds since an arbitrary but fixed instant. Never decreases. */
  nowMs(): number;
}
