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
const SERVICE_WEIGHT = 0.05;

/** Mean deviations of the service time that are kept free before a deadline. */
const RESERVED_DEVIATIONS = 3;

/** The queue of one service at one entry. */
export class AdmissionQueue<T extends fairQueues.Ticket> {
  private readonly queue = fairQueues.FairQueue.create<T>();

  /** Smoothed time between two admissions while requests wait, in milliseconds. */
  private gapMs = INITIAL_GAP_MS;

  private lastAdmissionMs = 0;

  /** Smoothed service time and its smoothed deviation, in milliseconds. */
  private serviceMs = 0;

  private deviationMs = 0;

  private constructor(private readonly longestQueue: number) {}

  /** @param longestQueue requests that may wait */
  static create<T extends fairQueues.Ticket>(longestQueue: number): AdmissionQueue<T> {
    return new AdmissionQueue(longestQueue);
  }

  /** Requests that wait. */
  get size(): number {
    return this.queue.size;
  }

  /** Notes how long a request took from its admission to its answer. */
  noteService(durationMs: number): void {
    const difference = durationMs - this.serviceMs;
    this.serviceMs += SERVICE_WEIGHT * difference;
    this.deviationMs += SERVICE_WEIGHT * (Math.abs(difference) - this.deviationMs);
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
    if (nowMs + waitMs >= this.getLatestStartMs(ticket)) return { kind: 'refuse', retryAfterMs };
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

  /** Removes and returns the requests that could not be answered in time any more. */
  expire(nowMs: number): T[] {
    const isLate = (ticket: T): boolean => this.getLatestStartMs(ticket) <= nowMs;
    const expired = this.queue.list().filter(isLate);
    expired.forEach((ticket) => this.queue.remove(ticket));
    return expired;
  }

  /** A request that starts later will most likely miss its deadline. */
  private getLatestStartMs(ticket: T): number {
    return ticket.deadlineMs - this.serviceMs - RESERVED_DEVIATIONS * this.deviationMs;
  }
}
