/**
 * The clock for production use.
 */
import * as perfHooks from 'node:perf_hooks';
import type * as clock from '../types/clock';

/** Reads the process's monotonic clock. */
export class MonotonicClock implements clock.Clock {
  static create(): MonotonicClock {
    return new MonotonicClock();
  }

  nowMs(): number {
    return perfHooks.performance.now();
  }
}
