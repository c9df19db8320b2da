/**
 * The queue before a target: at most `capacity` requests are at the target at once, the others wait
 * in the order of their priority.
 */

/** A request that waits for its turn. */
export interface Waiter {
  /** 0 is served first. */
  readonly priority: number;
  /** When waiting becomes pointless, on the daemon's monotonic clock. */
  readonly deadlineMs: number;
  /** Called when the turn has come; `release` must be called once afterwards. */
  admit(): void;
  /** Called instead of `admit` when the request is given back. */
  giveBack(reason: GiveBackReason): void;
}

/** Why a waiting request is given back. */
export const GiveBackReason = { Deadline: 'deadline', Draining: 'draining' } as const;
export type GiveBackReason = (typeof GiveBackReason)[keyof typeof GiveBackReason];

/** A priority queue with a limit on work in progress. */
export class WorkQueue {
  private readonly waiters: Waiter[] = [];

  private runningCount = 0;

  private constructor(private capacity: number) {}

  /** @param capacity requests that may be at the target at the same time */
  static create(capacity: number): WorkQueue {
    return new WorkQueue(capacity);
  }

  get running(): number {
    return this.runningCount;
  }

  get queued(): number {
    return this.waiters.length;
  }

  /** Changes the limit on work in progress. */
  setCapacity(capacity: number, nowMs: number): void {
    this.capacity = capacity;
    this.advance(nowMs);
  }

  /** Adds a request; it is admitted at once when there is room. */
  add(waiter: Waiter, nowMs: number): void {
    const isLater = (other: Waiter): boolean => other.priority > waiter.priority;
    const position = this.waiters.findIndex(isLater);
    this.waiters.splice(position === -1 ? this.waiters.length : position, 0, waiter);
    this.advance(nowMs);
  }

  /** Removes a waiting request without telling it; false when it does not wait. */
  remove(waiter: Waiter): boolean {
    const position = this.waiters.indexOf(waiter);
    if (position === -1) return false;
    this.waiters.splice(position, 1);
    return true;
  }

  /** Ends one admitted request. */
  release(nowMs: number): void {
    this.runningCount -= 1;
    this.advance(nowMs);
  }

  /** Gives every waiting request back. */
  drain(): void {
    this.waiters.splice(0).forEach((waiter) => waiter.giveBack(GiveBackReason.Draining));
  }

  private advance(nowMs: number): void {
    while (this.waiters.length > 0 && this.runningCount < this.capacity) {
      const waiter = this.waiters.shift() as Waiter;
      if (waiter.deadlineMs <= nowMs) waiter.giveBack(GiveBackReason.Deadline);
      else {
        this.runningCount += 1;
        waiter.admit();
      }
    }
  }
}
