/**
 * Admission at an entry: one queue for each service, and the room that its targets have.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import type * as runtime from '@azureworks/runtime';
import type * as directories from './directory';
import type * as requests from './request';

interface WaitingTicket extends decisions.Ticket {
  admit(): void;
  refuse(failure: decisions.Failure): void;
}

type Admitted = neverthrow.Result<void, decisions.Failure>;

const PUMP_INTERVAL_MS = 5;
const SWEEP_INTERVAL_MS = 250;
const LONGEST_QUEUE = 2000;

/** The queues of one entry. */
export class Admission {
  private readonly queues = new Map<string, decisions.AdmissionQueue<WaitingTicket>>();

  private timer: NodeJS.Timeout | undefined;

  private sweepTimer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly directory: directories.Directory,
    private readonly clock: decisions.Clock,
    private readonly metrics: runtime.Metrics,
  ) {}

  static create(
    directory: directories.Directory,
    clock: decisions.Clock,
    sharedMetrics: runtime.Metrics,
  ): Admission {
    return new Admission(directory, clock, sharedMetrics);
  }

  start(): void {
    this.sweepTimer = setInterval(() => this.directory.sweepSilent(), SWEEP_INTERVAL_MS);
  }

  stop(): void {
    clearTimeout(this.timer);
    clearInterval(this.sweepTimer);
  }

  /** Resolves when the request may go to a target, or with the reason of its refusal. */
  admit(request: requests.Request): Promise<Admitted> {
    return new Promise((resolve) => {
      const ticket: WaitingTicket = {
        priority: request.priority,
        tenant: request.tenant,
        share: request.tenantShare,
        deadlineMs: request.deadlineMs,
        admit: () => resolve(neverthrow.ok(undefined)),
        refuse: (failure) => resolve(neverthrow.err(failure)),
      };
      this.offer(request, ticket);
    });
  }

  /** Notes how long a request took after its admission. */
  noteService(service: string, durationMs: number): void {
    this.queues.get(service)?.noteService(durationMs);
  }

  private offer(request: requests.Request, ticket: WaitingTicket): void {
    const queue = this.open(request.service);
    const decision = queue.offer(ticket, this.measureRoom(request), this.clock.nowMs());
    if (decision.kind === 'admit') ticket.admit();
    if (decision.kind === 'refuse') {
      const { retryAfterMs } = decision;
      ticket.refuse(decisions.createFailure('overloaded', { retryAfterMs }));
    }
    if (decision.kind !== 'wait') return;
    decision.evicted?.refuse(decisions.createFailure('overloaded'));
    this.schedulePump();
  }

  /** Without any target the call itself waits for one, and says so when none comes. */
  private measureRoom({ service, model }: requests.Request): number {
    const isEmpty = this.directory.listAvailable(service, model).length === 0;
    return isEmpty ? Infinity : this.directory.countRoom(service, model);
  }

  private open(name: string): decisions.AdmissionQueue<WaitingTicket> {
    const existing = this.queues.get(name);
    if (existing) return existing;
    const queue = decisions.AdmissionQueue.create<WaitingTicket>(LONGEST_QUEUE);
    this.queues.set(name, queue);
    this.metrics.gauge('admission_queue', { service: name }, () => queue.size);
    return queue;
  }

  /** Admits waiting requests as room appears; nothing runs while nobody waits. */
  private schedulePump(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.pumpAll();
      const isWaiting = [...this.queues.values()].some((queue) => queue.size > 0);
      if (isWaiting) this.schedulePump();
    }, PUMP_INTERVAL_MS);
  }

  private pumpAll(): void {
    const nowMs = this.clock.nowMs();
    this.queues.forEach((queue, service) => {
      if (queue.size === 0) return;
      queue.expire(nowMs).forEach((ticket) => ticket.refuse(decisions.createFailure('overloaded')));
      const room = this.directory.countRoom(service, undefined);
      queue.take(room, nowMs).forEach((ticket) => ticket.admit());
    });
  }
}
