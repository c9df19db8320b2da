/**
 * Admission control of an entry: a queue for each service, from which requests are admitted as its
 * targets have free capacity.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import type * as runtime from '@azureworks/runtime';
import * as plannedStops from './planned-stop';
import type * as directories from './target-directory';
import type * as requests from './request';

interface WaitingTicket extends decisions.Ticket {
  admit(): void;
  refuse(failure: decisions.Failure): void;
}

type AdmissionResult = neverthrow.Result<void, decisions.Failure>;

const ADMISSION_CHECK_INTERVAL_MS = 5;
const SILENCE_CHECK_INTERVAL_MS = 250;
const MAXIMUM_QUEUE_LENGTH = 2000;

/** The admission queues of one entry. */
export class Admission {
  private readonly queues = new Map<string, decisions.AdmissionQueue<WaitingTicket>>();

  private admissionTimer: NodeJS.Timeout | undefined;

  private silenceTimer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly directory: directories.TargetDirectory,
    private readonly clock: decisions.Clock,
    private readonly metrics: runtime.Metrics,
    private readonly stopOfEntry: plannedStops.PlannedStop,
  ) {}

  static create(
    directory: directories.TargetDirectory,
    clock: decisions.Clock,
    sharedMetrics: runtime.Metrics,
    stopOfEntry: plannedStops.PlannedStop,
  ): Admission {
    return new Admission(directory, clock, sharedMetrics, stopOfEntry);
  }

  start(): void {
    this.silenceTimer = setInterval(
      () => this.directory.notifyCallsOfSilentTargets(),
      SILENCE_CHECK_INTERVAL_MS,
    );
  }

  stop(): void {
    clearTimeout(this.admissionTimer);
    clearInterval(this.silenceTimer);
  }

  /** Resolves once the request is admitted, or with the failure when it is refused. */
  admit(request: requests.Request): Promise<AdmissionResult> {
    const { stopOfEntry } = this;
    return new Promise((resolve) => {
      const ticket: WaitingTicket = {
        priority: request.priority,
        organisation: request.organisation,
        share: request.organisationShare,
        get deadlineMs() {
          return stopOfEntry.limit(request.deadlineMs);
        },
        admit: () => resolve(neverthrow.ok(undefined)),
        refuse: (failure) => resolve(neverthrow.err(failure)),
      };
      this.offer(request, ticket);
    });
  }

  /** Records how long a request took after its admission. */
  recordServiceTime(service: string, durationMs: number): void {
    this.queues.get(service)?.recordServiceTime(durationMs);
  }

  private offer(request: requests.Request, ticket: WaitingTicket): void {
    const queue = this.getQueue(request.service);
    const decision = queue.offer(ticket, this.getAdmissionCapacity(request), this.clock.nowMs());
    if (decision.kind === 'admit') ticket.admit();
    if (decision.kind === 'refuse') {
      const { retryAfterMs } = decision;
      ticket.refuse(decisions.createFailure('overloaded', { retryAfterMs }));
    }
    if (decision.kind !== 'wait') return;
    decision.evicted?.refuse(decisions.createFailure('overloaded'));
    this.scheduleAdmission();
  }

  /**
   * The number of requests that may be admitted now. Unlimited when no target is available: the
   * call then waits for a target itself, and fails with `no-target` when none appears.
   */
  private getAdmissionCapacity({ service, model }: requests.Request): number {
    const hasNoTarget = this.directory.listAvailable(service, model).length === 0;
    return hasNoTarget ? Infinity : this.directory.getFreeCapacity(service, model);
  }

  private getQueue(name: string): decisions.AdmissionQueue<WaitingTicket> {
    const existing = this.queues.get(name);
    if (existing) return existing;
    const queue = decisions.AdmissionQueue.create<WaitingTicket>(MAXIMUM_QUEUE_LENGTH);
    this.queues.set(name, queue);
    this.metrics.gauge('admission_queue', { service: name }, () => queue.size);
    return queue;
  }

  /**
   * Admits waiting requests as capacity becomes free. The timer is only set while requests wait.
   */
  private scheduleAdmission(): void {
    this.admissionTimer ??= setTimeout(() => {
      this.admissionTimer = undefined;
      this.admitWaiting();
      const isWaiting = [...this.queues.values()].some((queue) => queue.size > 0);
      if (isWaiting) this.scheduleAdmission();
    }, ADMISSION_CHECK_INTERVAL_MS);
  }

  private admitWaiting(): void {
    const nowMs = this.clock.nowMs();
    this.queues.forEach((queue, service) => {
      if (queue.size === 0) return;
      queue.removeExpired(nowMs).forEach((ticket) => ticket.refuse(this.createExpiry()));
      const freeCapacity = this.directory.getFreeCapacity(service, undefined);
      queue.admitWaiting(freeCapacity, nowMs).forEach((ticket) => ticket.admit());
    });
  }

  /** The failure of a request that waited until it could not be answered in time any more. */
  private createExpiry(): decisions.Failure {
    if (this.stopOfEntry.hasBegun) return plannedStops.createStopRefusal();
    return decisions.createFailure('overloaded');
  }
}
