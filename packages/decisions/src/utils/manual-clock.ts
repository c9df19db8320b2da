/**
 * A clock for tests.
 */
import type * as clock from '../types/clock';

/** A clock that stands still until it is advanced. */
export class ManualClock implements clock.Clock {
  private constructor(private currentMs: number) {}

  static create(startMs = 0): ManualClock {
    return new ManualClock(startMs);
  }

  nowMs(): number {
    return this.currentMs;
  }

  /** Moves the clock forward by `durationMs` milliseconds. */
  advance(durationMs: number): void {
    this.currentMs += durationMs;
  }
}
