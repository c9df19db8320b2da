/**
 * How fast and how well a replica works, learned from its answers.
 */
import * as decisions from '@azureworks/decisions';

/** Weight of the newest observation in the moving average. */
const NEWEST_SHARE = 0.2;
/** Failures in a row after which a replica is left alone. */
const FAILURES_TO_AVOID = 2;
/** For how long it is left alone at first and at most, in milliseconds; doubled each time. */
const FIRST_AVOIDANCE_MS = 1000;
const LONGEST_AVOIDANCE_MS = 8000;

/** What one gateway has learned of one replica. */
export class Pace {
  private average: decisions.MovingAverage | undefined;

  private failures = 0;

  private avoidances = 0;

  private avoidedUntilMs = -Infinity;

  static create(): Pace {
    return new Pace();
  }

  /** Milliseconds a unit of work takes; undefined before the first observation. */
  get unitMs(): number | undefined {
    return this.average?.value;
  }

  /** Whether the replica should be left alone at `nowMs`. */
  isAvoided(nowMs: number): boolean {
    return nowMs < this.avoidedUntilMs;
  }

  /** Notes how long a unit of work took. */
  observe(unitMs: number): void {
    this.average ??= decisions.MovingAverage.create(NEWEST_SHARE, unitMs);
    this.average.add(unitMs);
  }

  /** Notes a good answer. */
  noteSuccess(): void {
    this.failures = 0;
    this.avoidances = 0;
  }

  /**
   * Notes a failure of the replica; returns whether it is left alone from now on.
   * @param isSilent whether it gave no sign of life, which one failure proves
   */
  noteFailure(nowMs: number, isSilent: boolean): boolean {
    this.failures += 1;
    if (!isSilent && this.failures < FAILURES_TO_AVOID) return false;
    return this.avoid(nowMs);
  }

  /** Leaves the replica alone for a while; returns whether that is new. */
  avoid(nowMs: number): boolean {
    if (this.isAvoided(nowMs)) return false;
    const durationMs = Math.min(LONGEST_AVOIDANCE_MS, FIRST_AVOIDANCE_MS * 2 ** this.avoidances);
    this.avoidances += 1;
    this.avoidedUntilMs = nowMs + durationMs;
    return true;
  }

  /** Forgets the average, so that the next observation tells how the replica does now. */
  reset(): void {
    this.average = undefined;
  }
}
