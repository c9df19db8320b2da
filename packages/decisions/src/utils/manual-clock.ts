/**
 * A clock that tests control.
 */
import type * as clock from '../types/clock';

/** A clock that changes only when a test advances it. */
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
