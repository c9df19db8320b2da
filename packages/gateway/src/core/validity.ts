/**
 * How long this process may rely on something that it renews in the store, such as its membership.
 *
 * Uninterrupted validity is a term. What was confirmed in a term holds until the term ends, and no
 * later term brings it back: other processes may have acted in between. A suspension of the process
 * ends a term too, as the monotonic clock does not count that time.
 */
import type * as environments from '../types/environment';
import * as suspensionDetectors from './suspension-detector';

/** What is known just before a renewal is sent. */
export interface RenewalStart {
  readonly sentMs: number;
  readonly suspensions: number;
}

/** The validity of something that is renewed. */
export class Validity {
  private readonly suspensionDetector: suspensionDetectors.SuspensionDetector;

  private validUntilMs = -Infinity;

  private term = 0;

  private suspensions = 0;

  private constructor(private readonly clocks: ValidityClocks) {
    const { nowMs, wallClockMs } = clocks;
    this.suspensionDetector = suspensionDetectors.SuspensionDetector.create(nowMs, wallClockMs);
  }

  static create(clocks: ValidityClocks): Validity {
    return new Validity(clocks);
  }

  /** The term that lasts now; undefined while there is none. */
  get currentTerm(): number | undefined {
    this.endIfSuspended();
    return this.clocks.nowMs() < this.validUntilMs ? this.term : undefined;
  }

  /** To be called before a renewal is sent. */
  startRenewal(): RenewalStart {
    this.endIfSuspended();
    return { sentMs: this.clocks.nowMs(), suspensions: this.suspensions };
  }

  /**
   * Records that a renewal succeeded; one during which the process was suspended has no effect.
   * @returns whether it began a term
   */
  completeRenewal(start: RenewalStart, durationMs: number): boolean {
    const formerTerm = this.currentTerm;
    const untilMs = start.sentMs + durationMs;
    if (start.suspensions !== this.suspensions || this.clocks.nowMs() >= untilMs) return false;
    this.validUntilMs = Math.max(this.validUntilMs, untilMs);
    if (formerTerm !== undefined) return false;
    this.term += 1;
    return true;
  }

  /** Ends the term. */
  end(): void {
    this.validUntilMs = -Infinity;
  }

  private endIfSuspended(): void {
    if (!this.suspensionDetector.check()) return;
    this.suspensions += 1;
    this.end();
  }
}

type ValidityClocks = Pick<environments.Environment, 'nowMs' | 'wallClockMs'>;
