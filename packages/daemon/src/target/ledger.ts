/**
 * The ledger of attempts at a target. It is what makes "not run" a fact: an attempt that was never
 * dispatched can be barred, and a barred attempt is never dispatched.
 */
import type * as decisions from '@azureworks/decisions';

/** Where an attempt stands. */
export const AttemptState = {
  /** Waits for the target; not dispatched. */
  Queued: 'queued',
  /** Handed over to the target; its answer is not complete. */
  Running: 'running',
  /** The target's answer is complete. */
  Ran: 'ran',
  /** The outcome can no longer be learned. */
  Unknown: 'unknown',
  /** Will never be dispatched. */
  Barred: 'barred',
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** The answer of a finished attempt, kept for whoever lost it on the way. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

interface Attempt {
  state: AttemptState;
  updatedMs: number;
  answer?: RecordedAnswer;
}

const RETENTION_MS = 600_000;
const LARGEST_LEDGER = 50_000;

/** The recent attempts at one target, by attempt id. */
export class Ledger {
  private readonly attempts = new Map<string, Attempt>();

  private constructor(private readonly clock: decisions.Clock) {}

  static create(clock: decisions.Clock): Ledger {
    return new Ledger(clock);
  }

  /** The number of attempts remembered. */
  get size(): number {
    return this.attempts.size;
  }

  /** Opens an attempt; false when the id is known already, barred or not. */
  open(id: string): boolean {
    if (this.attempts.has(id)) return false;
    this.set(id, AttemptState.Queued);
    this.prune();
    return true;
  }

  /** Marks an attempt as dispatched; false when it was barred in the meantime. */
  dispatch(id: string): boolean {
    if (this.attempts.get(id)?.state !== AttemptState.Queued) return false;
    this.set(id, AttemptState.Running);
    return true;
  }

  /** Notes that the target refused an attempt before it received anything. */
  retract(id: string): void {
    this.set(id, AttemptState.Barred);
  }

  /** Notes the complete answer of an attempt. */
  finish(id: string, answer?: RecordedAnswer): void {
    this.set(id, AttemptState.Ran, answer);
  }

  /** Notes that the outcome of an attempt cannot be learned. */
  lose(id: string): void {
    this.set(id, AttemptState.Unknown);
  }

  /** Bars an attempt unless it was dispatched; returns where it stands. */
  bar(id: string): AttemptState {
    const state = this.attempts.get(id)?.state ?? AttemptState.Queued;
    if (state !== AttemptState.Queued) return state;
    this.set(id, AttemptState.Barred);
    return AttemptState.Barred;
  }

  /** Where an attempt stands; undefined when it is not known. */
  getState(id: string): AttemptState | undefined {
    return this.attempts.get(id)?.state;
  }

  /** The recorded answer of an attempt that ran. */
  getAnswer(id: string): RecordedAnswer | undefined {
    return this.attempts.get(id)?.answer;
  }

  private set(id: string, state: AttemptState, answer?: RecordedAnswer): void {
    // Deleting first keeps the map in the order of updates, which `prune` relies on.
    this.attempts.delete(id);
    this.attempts.set(id, { state, updatedMs: this.clock.nowMs(), ...(answer && { answer }) });
  }

  private prune(): void {
    const oldestMs = this.clock.nowMs() - RETENTION_MS;
    for (const [id, attempt] of this.attempts) {
      if (attempt.updatedMs >= oldestMs && this.attempts.size <= LARGEST_LEDGER) return;
      if (attempt.state === AttemptState.Running || attempt.state === AttemptState.Queued) return;
      this.attempts.delete(id);
    }
  }
}
