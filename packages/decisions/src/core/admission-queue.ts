/**
 * Admission to a service: while its targets have room, requests go straight through; beyond that
 * they wait in a fair queue, and a request that cannot be served in time is refused at once.
 */
import * as fairQueues from './fair-queue';

/** What becomes of a request that asks for admission. */
export type AdmissionDecision<T> =
  | { readonly kind: 'admit' }
  /** It waits; `evicted` lost its place to it. */
  | { readonly kind: 'wait'; readonly evicted?: T }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

const GAP_WEIGHT = 0.05;
const INITIAL_GAP_MS = 1;
const SMALLEST_RETRY_AFTER_MS = 1000;

/** The queue of one service at one entry. */
export class AdmissionQueue<T extends fairQueues.Ticket> {
  private readonly queue = fairQueues.FairQueue.create<T>();

  /** Smoothed time between two admissions while requests wait, in milliseconds. */
  private gapMs = INITIAL_GAP_MS;

  private lastAdmissionMs = 0;

  private constructor(private readonly longestQueue: number) {}

  /** @param longestQueue requests that may wait */
  static create<T extends fairQueues.Ticket>(longestQueue: number): AdmissionQueue<T> {
    return new AdmissionQueue(longestQueue);
  }

  /** Requests that wait. */
  get size(): number {
    return this.queue.size;
  }

  /**
   * Decides on a request.
   * @param room requests that the targets can take now
   */
  offer(ticket: T, room: number, nowMs: number): AdmissionDecision<T> {
    if (this.queue.size === 0 && room >= 1) {
      this.lastAdmissionMs = nowMs;
      return { kind: 'admit' };
    }
    const waitMs = (this.queue.countAhead(ticket.priority) + 1) * this.gapMs;
    const retryAfterMs = Math.max(SMALLEST_RETRY_AFTER_MS, waitMs);
    if (nowMs + waitMs >= ticket.deadlineMs) return { kind: 'refuse', retryAfterMs };
    if (this.queue.size < this.longestQueue) {
      this.queue.add(ticket);
      return { kind: 'wait' };
    }
    const last = this.queue.findLast();
    if (!last || last.priority <= ticket.priority) return { kind: 'refuse', retryAfterMs };
    // A higher class takes the place of the last request of the lowest one.
    this.queue.remove(last);
    this.queue.add(ticket);
    return { kind: 'wait', evicted: last };
  }

  /** Takes the requests that may go now, at most `room`. */
  take(room: number, nowMs: number): T[] {
    const admitted: T[] = [];
    while (admitted.length < Math.floor(room)) {
      const ticket = this.queue.next();
      if (!ticket) break;
      admitted.push(ticket);
      this.gapMs += GAP_WEIGHT * (nowMs - this.lastAdmissionMs - this.gapMs);
      this.lastAdmissionMs = nowMs;
    }
    return admitted;
  }

  /** Removes and returns the requests whose deadline has passed. */
  expire(nowMs: number): T[] {
    const expired = this.queue.list().filter((ticket) => ticket.deadlineMs <= nowMs);
    expired.forEach((ticket) => this.queue.remove(ticket));
    return expired;
  }
}
