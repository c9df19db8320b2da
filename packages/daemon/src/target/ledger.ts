/**
 * The ledger of attempts at a target. It can prove that an attempt did not run: an attempt that was
 * not dispatched yet can be barred, and a barred attempt is never dispatched.
 */
import type * as decisions from '@azureworks/decisions';

/** The state of an attempt. */
export const AttemptState = {
  /** In the queue; not dispatched yet. */
  Queued: 'queued',
  /** Dispatched to the target; the response is not complete. */
  Running: 'running',
  /** The target's response is complete. */
  Ran: 'ran',
  /** The outcome can no longer be determined. */
  Unknown: 'unknown',
  /** Will never be dispatched. */
  Barred: 'barred',
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** The response of a finished attempt, kept for an entry that lost it on the way. */
export interface RecordedResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

interface Attempt {
  state: AttemptState;
  updatedMs: number;
  answer?: RecordedResponse;
}

const ATTEMPT_RETENTION_MS = 600_000;
const MAXIMUM_RECORDED_ATTEMPTS = 50_000;

/** The recent attempts at one target, by attempt id. */
export class Ledger {
  private readonly attempts = new Map<string, Attempt>();

  private constructor(private readonly clock: decisions.Clock) {}

  static create(clock: decisions.Clock): Ledger {
    return new Ledger(clock);
  }

  /** The number of recorded attempts. */
  get size(): number {
    return this.attempts.size;
  }

  /** Adds a queued attempt; false when its id is recorded already, in whatever state. */
  open(id: string): boolean {
    if (this.attempts.has(id)) return false;
    this.set(id, AttemptState.Queued);
    this.prune();
    return true;
  }

  /** Marks an attempt as dispatched; false unless it is queued, for example when it was barred. */
  dispatch(id: string): boolean {
    if (this.attempts.get(id)?.state !== AttemptState.Queued) return false;
    this.set(id, AttemptState.Running);
    return true;
  }

  /** Records that the target refused an attempt before it received anything: the attempt is barred. */
  recordRefused(id: string): void {
    this.set(id, AttemptState.Barred);
  }

  /** Records that the response of an attempt is complete. */
  recordRan(id: string, answer?: RecordedResponse): void {
    this.set(id, AttemptState.Ran, answer);
  }

  /** Records that the outcome of an attempt cannot be determined. */
  recordUnknown(id: string): void {
    this.set(id, AttemptState.Unknown);
  }

  /** Bars an attempt unless it was dispatched; returns its state afterwards. */
  bar(id: string): AttemptState {
    const state = this.attempts.get(id)?.state ?? AttemptState.Queued;
    if (state !== AttemptState.Queued) return state;
    this.set(id, AttemptState.Barred);
    return AttemptState.Barred;
  }

  /** The state of an attempt; undefined when it is not recorded. */
  getState(id: string): AttemptState | undefined {
    return this.attempts.get(id)?.state;
  }

  /** The recorded response of an attempt that ran. */
  getResponse(id: string): RecordedResponse | undefined {
    return this.attempts.get(id)?.answer;
  }

  private set(id: string, state: AttemptState, answer?: RecordedResponse): void {
    // Deleting first keeps the map in the order of updates, on which `prune` relies.
    this.attempts.delete(id);
    this.attempts.set(id, { state, updatedMs: this.clock.nowMs(), ...(answer && { answer }) });
  }

  private prune(): void {
    const oldestMs = this.clock.nowMs() - ATTEMPT_RETENTION_MS;
    for (const [id, attempt] of this.attempts) {
      if (attempt.updatedMs >= oldestMs && this.attempts.size <= MAXIMUM_RECORDED_ATTEMPTS) return;
      if (attempt.state === AttemptState.Running || attempt.state === AttemptState.Queued) return;
      this.attempts.delete(id);
    }
  }
}
