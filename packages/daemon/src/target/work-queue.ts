/**
 * The priority queue in front of a target: at most `capacity` requests are in progress at the
 * target, the others wait in the order of their priority.
 */

/** A request that waits for a free slot. */
export interface QueuedRequest {
  /** The lowest value is served first; equal values in the order of arrival. */
  readonly priority: number;
  /** The request's deadline, on the daemon's monotonic clock. */
  readonly deadlineMs: number;
  /** Starts the request; `release` must be called once when it has ended. */
  admit(): void;
  /** Called instead of `admit` when the request is returned without having been started. */
  reject(reason: RejectionReason): void;
}

/** Why a waiting request is rejected; the values are labels of the metric `work_given_back`. */
export const RejectionReason = { Deadline: 'deadline', Draining: 'draining' } as const;
export type RejectionReason = (typeof RejectionReason)[keyof typeof RejectionReason];

/** A priority queue with a limit on requests in progress. */
export class WorkQueue {
  private readonly queue: QueuedRequest[] = [];

  private runningCount = 0;

  private constructor(private capacity: number) {}

  /** @param capacity the most requests that may be in progress at the target */
  static create(capacity: number): WorkQueue {
    return new WorkQueue(capacity);
  }

  get running(): number {
    return this.runningCount;
  }

  get queued(): number {
    return this.queue.length;
  }

  /** Changes the limit on requests in progress. */
  setCapacity(capacity: number, nowMs: number): void {
    this.capacity = capacity;
    this.admitNext(nowMs);
  }

  /** Adds a request; it is admitted at once when a slot is free. */
  add(request: QueuedRequest, nowMs: number): void {
    const isLater = (other: QueuedRequest): boolean => other.priority > request.priority;
    const position = this.queue.findIndex(isLater);
    this.queue.splice(position === -1 ? this.queue.length : position, 0, request);
    this.admitNext(nowMs);
  }

  /** Removes a waiting request without a callback; false when it is not in the queue. */
  remove(request: QueuedRequest): boolean {
    const position = this.queue.indexOf(request);
    if (position === -1) return false;
    this.queue.splice(position, 1);
    return true;
  }

  /** Frees the slot of an admitted request that has ended. */
  release(nowMs: number): void {
    this.runningCount -= 1;
    this.admitNext(nowMs);
  }

  /** Rejects every waiting request. */
  drain(): void {
    this.queue.splice(0).forEach((request) => request.reject(RejectionReason.Draining));
  }

  private admitNext(nowMs: number): void {
    while (this.queue.length > 0 && this.runningCount < this.capacity) {
      const request = this.queue.shift() as QueuedRequest;
      if (request.deadlineMs <= nowMs) request.reject(RejectionReason.Deadline);
      else {
        this.runningCount += 1;
        request.admit();
      }
    }
  }
}
