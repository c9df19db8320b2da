/**
 * Time as the decisions see it. Production code passes the process's monotonic clock; tests pass a
 * clock that they move by hand.
 */

/** A monotonic clock. */
export interface Clock {
  /** Milliseconds since an arbitrary but fixed instant. Never decreases. */
  nowMs(): number;
}
