/**
 * Admission at an entry: while the targets of a service have room, requests go straight through;
 * beyond that they wait in a fair queue, and a request that cannot be served in time is refused at
 * once as not run, with a time after which to try again.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import type * as metrics from '../core/metrics';
import type * as directories from './directory';
import type * as requests from './request';

interface WaitingTicket extends decisions.Ticket {
  admit(): void;
  refuse(failure: decisions.Failure): void;
}

interface ServiceQueue {
  readonly queue: decisions.FairQueue<WaitingTicket>;
  /** Smoothed time between two admissions while requests wait, in milliseconds. */
  admissionGapMs: number;
  lastAdmissionMs: number;
}

const PUMP_INTERVAL_MS = 5;
const LONGEST_QUEUE = 2000;
const GAP_WEIGHT = 0.05;
const INITIAL_GAP_MS = 1;
const SMALLEST_RETRY_AFTER_MS = 1000;

/** The queues of one entry, one for each service. */
export class Admission {
  private readonly services = new Map<string, ServiceQueue>();

  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly directory: directories.Directory,
    private readonly clock: decisions.Clock,
    private readonly metrics: metrics.Metrics,
  ) {}

  static create(
    directory: directories.Directory,
    clock: decisions.Clock,
    sharedMetrics: metrics.Metrics,
  ): Admission {
    return new Admission(directory, clock, sharedMetrics);
  }

  /** Starts to admit waiting requests as room appears. */
  start(): void {
    this.timer = setInterval(() => this.pumpAll(), PUMP_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Resolves when the request may go to a target, or with the reason of its refusal. */
  admit(request: requests.Request): Promise<neverthrow.Result<void, decisions.Failure>> {
    const service = this.open(request.service);
    if (service.queue.size === 0 && this.hasRoom(request)) {
      return Promise.resolve(neverthrow.ok(undefined));
    }
    const refusal = this.findRefusal(request, service);
    if (refusal) return Promise.resolve(neverthrow.err(refusal));
    return new Promise((resolve) => {
      service.queue.add({
        priority: request.priority,
        tenant: request.tenant,
        share: request.tenantShare,
        deadlineMs: request.deadlineMs,
        admit: () => resolve(neverthrow.ok(undefined)),
        refuse: (failure) => resolve(neverthrow.err(failure)),
      });
    });
  }

  private hasRoom(request: requests.Request): boolean {
    const { directory } = this;
    if (directory.listAvailable(request.service, request.model).length === 0) return true;
    return directory.countRoom(request.service, request.model) >= 1;
  }

  private findRefusal(
    request: requests.Request,
    service: ServiceQueue,
  ): decisions.Failure | undefined {
    const ahead = service.queue.countAhead(request.priority) + 1;
    const waitMs = ahead * service.admissionGapMs;
    const retryAfterMs = Math.max(SMALLEST_RETRY_AFTER_MS, waitMs);
    if (this.clock.nowMs() + waitMs >= request.deadlineMs) {
      return decisions.createFailure('overloaded', { retryAfterMs });
    }
    if (service.queue.size < LONGEST_QUEUE) return undefined;
    const last = service.queue.findLast();
    if (!last || last.priority <= request.priority) {
      return decisions.createFailure('overloaded', { retryAfterMs });
    }
    // A higher class takes the place of the last request of the lowest one.
    service.queue.remove(last);
    last.refuse(decisions.createFailure('overloaded', { retryAfterMs }));
    return undefined;
  }

  private open(name: string): ServiceQueue {
    const existing = this.services.get(name);
    if (existing) return existing;
    const service: ServiceQueue = {
      queue: decisions.FairQueue.create(),
      admissionGapMs: INITIAL_GAP_MS,
      lastAdmissionMs: this.clock.nowMs(),
    };
    this.services.set(name, service);
    this.metrics.gauge('admission_queue', { service: name }, () => service.queue.size);
    return service;
  }

  private pumpAll(): void {
    this.services.forEach((service, name) => {
      if (service.queue.size > 0) this.pump(service, name);
    });
  }

  private pump(service: ServiceQueue, name: string): void {
    const nowMs = this.clock.nowMs();
    expire(service, nowMs);
    let room = Math.floor(this.directory.countRoom(name, undefined));
    while (room > 0) {
      const ticket = service.queue.next();
      if (!ticket) return;
      ticket.admit();
      room -= 1;
      service.admissionGapMs +=
        GAP_WEIGHT * (nowMs - service.lastAdmissionMs - service.admissionGapMs);
      service.lastAdmissionMs = nowMs;
    }
  }
}

function expire(service: ServiceQueue, nowMs: number): void {
  service.queue
    .list()
    .filter((ticket) => ticket.deadlineMs <= nowMs)
    .forEach((ticket) => {
      service.queue.remove(ticket);
      ticket.refuse(decisions.createFailure('deadline-exceeded'));
    });
}
