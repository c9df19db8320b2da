/**
 * Admission control for a service: requests are admitted directly while the targets have free slots;
 * otherwise they wait in a fair queue. A request that can't be answered before its deadline is
 * refused at once.
 */
import * as fairQueues from './fair-queue';

/** The result of offering a request to the queue. */
export type AdmissionDecision<T> =
  | { readonly kind: 'admit' }
  /** The request waits; `evicted` is the request that it displaced from a full queue. */
  | { readonly kind: 'wait'; readonly evicted?: T }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Weight of a new value in the moving average of the time between admissions. */
const ADMISSION_INTERVAL_WEIGHT = 0.05;

const INITIAL_ADMISSION_INTERVAL_MS = 1;
const MINIMUM_RETRY_AFTER_MS = 1000;

/** Weight of a new value in the moving averages of the service time and its deviation. */
const SERVICE_TIME_WEIGHT = 0.05;

/** Safety margin before a deadline, in mean deviations of the service time. */
const DEADLINE_MARGIN_DEVIATIONS = 3;

/** The queue of one service at one entry. */
export class AdmissionQueue<T extends fairQueues.Ticket> {
  private readonly queue = fairQueues.FairQueue.create<T>();

  /** Smoothed time between two admissions from the queue, in milliseconds. */
  private admissionIntervalMs = INITIAL_ADMISSION_INTERVAL_MS;

  private lastAdmissionMs = 0;

  /** Smoothed service time and its smoothed mean deviation, in milliseconds. */
  private serviceTimeMs = 0;

  private deviationMs = 0;

  private constructor(private readonly maximumSize: number) {}

  /** @param maximumSize how many requests may wait */
  static create<T extends fairQueues.Ticket>(maximumSize: number): AdmissionQueue<T> {
    return new AdmissionQueue(maximumSize);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.queue.size;
  }

  /** Records how long a request took from its admission to its answer. */
  recordServiceTime(durationMs: number): void {
    const difference = durationMs - this.serviceTimeMs;
    this.serviceTimeMs += SERVICE_TIME_WEIGHT * difference;
    this.deviationMs += SERVICE_TIME_WEIGHT * (Math.abs(difference) - this.deviationMs);
  }

  /**
   * Admits or refuses a request or adds it to the queue.
   * @param freeSlots requests that the targets can accept now
   */
  offer(ticket: T, freeSlots: number, nowMs: number): AdmissionDecision<T> {
    if (this.queue.size === 0 && freeSlots >= 1) {
      this.lastAdmissionMs = nowMs;
      return { kind: 'admit' };
    }
    const waitMs = (this.queue.countAhead(ticket.priority) + 1) * this.admissionIntervalMs;
    const retryAfterMs = Math.max(MINIMUM_RETRY_AFTER_MS, waitMs);
    if (nowMs + waitMs >= this.getLatestAdmissionMs(ticket))
      return { kind: 'refuse', retryAfterMs };
    if (this.queue.size < this.maximumSize) {
      this.queue.add(ticket);
      return { kind: 'wait' };
    }
    const evicted = this.queue.findEvictionCandidate();
    if (!evicted || evicted.priority <= ticket.priority) return { kind: 'refuse', retryAfterMs };
    // A request of a higher class displaces one of the lowest class.
    this.queue.remove(evicted);
    this.queue.add(ticket);
    return { kind: 'wait', evicted };
  }

  /** Removes and returns the requests to admit now, at most `freeSlots`. */
  admitWaiting(freeSlots: number, nowMs: number): T[] {
    const admitted: T[] = [];
    while (admitted.length < Math.floor(freeSlots)) {
      const ticket = this.queue.next();
      if (!ticket) break;
      admitted.push(ticket);
      this.admissionIntervalMs +=
        ADMISSION_INTERVAL_WEIGHT * (nowMs - this.lastAdmissionMs - this.admissionIntervalMs);
      this.lastAdmissionMs = nowMs;
    }
    return admitted;
  }

  /** Removes and returns the requests that can no longer be answered before their deadlines. */
  removeExpired(nowMs: number): T[] {
    const isExpired = (ticket: T): boolean => this.getLatestAdmissionMs(ticket) <= nowMs;
    const expired = this.queue.list().filter(isExpired);
    expired.forEach((ticket) => this.queue.remove(ticket));
    return expired;
  }

  /** A request that is admitted later than this will most likely miss its deadline. */
  private getLatestAdmissionMs(ticket: T): number {
    return ticket.deadlineMs - this.serviceTimeMs - DEADLINE_MARGIN_DEVIATIONS * this.deviationMs;
  }
}
