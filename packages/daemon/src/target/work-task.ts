/**
 * The work port of a target daemon, through which all requests reach the target. It queues requests
 * by priority, dispatches each attempt at most once and streams the response back.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import * as runtime from '@azureworks/runtime';
import * as forwarders from '../core/forwarder';
import * as failureResponses from '../core/failure-response';
import * as httpTask from '../core/http-task';
import * as topics from '../core/topic';
import * as headers from '../types/headers';
import * as ledgers from './ledger';
import * as queues from './work-queue';
import type * as states from './target-state';
import * as attemptRuns from './attempt-run';

export interface WorkTaskOptions {
  readonly http: httpTask.HttpTask;
  readonly targetUrl: string;
  readonly isEngine: boolean;
  /** Identifies this start of the daemon. */
  readonly incarnation: number;
  readonly state: states.TargetState;
  readonly metrics: runtime.Metrics;
  readonly clock: decisions.Clock;
}

const DISPATCH_PREFIX = '/dispatch';
const MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
const SETTLE_POLL_INTERVAL_MS = 10;
const OK = 200;
const SERVICE_TIME_SMOOTHING_FACTOR = 0.1;
const INITIAL_SERVICE_TIME_MS = 50;

/** Serves the requests that entries send to the target. */
export class WorkTask implements runtime.Task {
  readonly name = 'work';

  readonly ledger: ledgers.Ledger;

  readonly queue = queues.WorkQueue.create(1);

  /** Publishes the attempt id when the connection to the target failed. */
  readonly connectionFailures = topics.Topic.create<string>();

  private readonly serviceTime = decisions.MovingAverage.create(
    SERVICE_TIME_SMOOTHING_FACTOR,
    INITIAL_SERVICE_TIME_MS,
  );

  private forwarder: forwarders.Forwarder;

  private readonly runs = new Set<attemptRuns.AttemptRun>();

  private constructor(private readonly options: WorkTaskOptions) {
    this.ledger = ledgers.Ledger.create(options.clock);
    this.forwarder = forwarders.Forwarder.createForTarget(options.targetUrl);
    this.addPeerRoute('all', `${DISPATCH_PREFIX}/*`, (request, response) =>
      this.serve(request, response),
    );
    this.addPeerRoute('post', '/attempts/:attempt/settle', (request, response) =>
      this.settle(request, response),
    );
  }

  static create(options: WorkTaskOptions): WorkTask {
    return new WorkTask(options);
  }

  /** Smoothed service time of the target, in milliseconds. */
  get serviceTimeMs(): number {
    return Math.round(this.serviceTime.value);
  }

  async start(): Promise<void> {
    this.applyCapacity();
  }

  /** Rejects waiting requests and returns at once: the HTTP task waits for responses in flight. */
  async stop(): Promise<void> {
    this.queue.drain();
  }

  /** Closes the connections to the target; called after the responses in flight are finished. */
  async close(): Promise<void> {
    await this.forwarder.close();
  }

  /** Applies the capacity of the revision in force. */
  applyCapacity(): void {
    this.queue.setCapacity(this.options.state.slice.capacity, this.options.clock.nowMs());
  }

  /** Breaks off all responses because their weight version is unknown; entries resume elsewhere. */
  abortStreams(): void {
    this.runs.forEach((run) => run.abort());
  }

  /** The load of the target as a header value: `RUNNING;QUEUED` requests. */
  formatLoad(): string {
    return `${this.queue.running};${this.queue.queued}`;
  }

  /** Adds a route for entries only: a peer without a certificate of the deployment is refused. */
  private addPeerRoute(method: httpTask.Method, path: string, handler: httpTask.Handler): void {
    this.options.http.add(method, path, (request, response) => {
      if (httpTask.isAuthenticatedPeer(request)) return handler(request, response);
      const failure = decisions.createFailure('unauthorized');
      return this.options.http.bodies.refuse(request, response, failure);
    });
  }

  private async serve(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const { bodies } = this.options.http;
    const requestBody = await bodies.read(request, response, MAXIMUM_BODY_BYTES);
    if (!requestBody) return;
    const attempt = readHeader(request.headers[headers.Header.Attempt]);
    const incarnation = Number(request.headers[headers.Header.Incarnation]);
    const refusal = this.findRefusal(attempt, incarnation);
    if (refusal) {
      this.options.metrics.count('work_refused', { code: refusal.code });
      failureResponses.sendFailure(response, refusal);
      return;
    }
    this.enqueue(attempt, request, response, requestBody);
  }

  private findRefusal(attempt: string, incarnation: number): decisions.Failure | undefined {
    if (attempt === '') {
      return decisions.createFailure('invalid-request', { detail: 'no attempt id' });
    }
    // The ledger of the previous incarnation is lost, so this one cannot tell what its attempts did.
    if (incarnation !== this.options.incarnation) return decisions.createFailure('target-replaced');
    if (this.options.state.isDraining) return decisions.createFailure('draining');
    if (!this.options.state.isConfirmed) return decisions.createFailure('revision-unconfirmed');
    if (this.ledger.open(attempt)) return undefined;
    if (this.ledger.getState(attempt) === ledgers.AttemptState.Barred) {
      return decisions.createFailure('request-barred');
    }
    return decisions.createFailure('request-in-progress');
  }

  private enqueue(
    attempt: string,
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
    requestBody: Buffer,
  ): void {
    const { clock } = this.options;
    const deadlineMs = clock.nowMs() + Number(request.headers[headers.Header.DeadlineMs] ?? 0);
    const queuedRequest: queues.QueuedRequest = {
      priority: Number(request.headers[headers.Header.Priority] ?? 1),
      deadlineMs,
      admit: () => this.dispatch(attempt, request, response, requestBody),
      reject: (reason) => this.rejectQueued(attempt, response, reason),
    };
    response.on('close', () => {
      if (this.queue.remove(queuedRequest)) this.ledger.bar(attempt);
    });
    this.queue.add(queuedRequest, clock.nowMs());
  }

  private rejectQueued(
    attempt: string,
    response: http.ServerResponse,
    reason: queues.RejectionReason,
  ): void {
    this.ledger.bar(attempt);
    const isDeadline = reason === queues.RejectionReason.Deadline;
    const failure = decisions.createFailure(isDeadline ? 'deadline-exceeded' : 'draining');
    this.options.metrics.count('work_given_back', { reason });
    failureResponses.sendFailure(response, failure);
  }

  private dispatch(
    attempt: string,
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
    requestBody: Buffer,
  ): void {
    const { clock } = this.options;
    if (!this.ledger.dispatch(attempt)) {
      this.queue.release(clock.nowMs());
      failureResponses.sendFailure(response, decisions.createFailure('request-barred'));
      return;
    }
    const startMs = clock.nowMs();
    const run = attemptRuns.AttemptRun.create({
      attempt,
      request,
      response,
      requestBody,
      path: request.url.slice(DISPATCH_PREFIX.length),
      isEngine: this.options.isEngine,
      ledger: this.ledger,
      formatLoad: () => this.formatLoad(),
      onConnectionFailed: () => this.connectionFailures.publish(attempt),
      onFinished: (hasRun) => {
        this.runs.delete(run);
        if (hasRun) this.serviceTime.add(clock.nowMs() - startMs);
        this.options.metrics.count('work_finished', { ran: String(hasRun) });
        this.queue.release(clock.nowMs());
      },
    });
    this.runs.add(run);
    run.start(this.forwarder);
  }

  /**
   * Sends the state of an attempt and its recorded response. Bars the attempt unless it was
   * dispatched, and waits up to `wait_ms` for the end of a running one.
   */
  private async settle(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const { attempt } = request.params;
    const url = new URL(request.url, 'http://target');
    if (Number(request.headers[headers.Header.Incarnation]) !== this.options.incarnation) {
      failureResponses.sendJson(response, OK, { state: ledgers.AttemptState.Unknown });
      return;
    }
    const waitUntilMs = this.options.clock.nowMs() + Number(url.searchParams.get('wait_ms') ?? 0);
    let state = this.ledger.bar(attempt);
    while (state === ledgers.AttemptState.Running && this.options.clock.nowMs() < waitUntilMs) {
      await runtime.pause(SETTLE_POLL_INTERVAL_MS);
      state = this.ledger.bar(attempt);
    }
    failureResponses.sendJson(response, OK, { state, answer: this.ledger.getResponse(attempt) });
  }
}

function readHeader(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : '';
}
