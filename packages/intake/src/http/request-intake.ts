/**
 * Takes in the requests of clients as far as memory, time and descriptors allow, and answers those that it
 * does not take in: each refusal says that the request has not run, and closes its connection.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import * as bodyIntakes from '../core/body-intake';
import * as retryDelays from '../core/retry-delay';
import type * as memories from '../types/memory';
import * as clientSockets from './client-sockets';
import * as requestBodies from './request-body';
import * as requestDrains from './request-drain';

/** Limits that may change while the process runs. */
export interface IntakeLimits {
  /** Largest body of a request. */
  readonly bodyBytes: number;
  /** Time without a byte of a body, or without a byte read of a response, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A refusal on the wire. */
export interface EncodedRefusal {
  /** Names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

export interface IntakeOptions {
  readonly memory: memories.Memory;
  /** Connections that are open at the same time, see `computeConnectionLimit`. */
  readonly maximumConnections: number;
  /** Which listener the metrics and log lines are about; undefined where a process has one. */
  readonly listener?: string;
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
  readLimits(): IntakeLimits;
  encodeRefusal(failure: decisions.Failure): EncodedRefusal;
  /** What names a request in log lines. */
  identifyRequest(request: http.IncomingMessage): string | undefined;
}

/**
 * When a request may come again that did not fit the memory, in milliseconds: other processes may have room
 * at once. What is told to clients is spread over as long again.
 */
export const MEMORY_RETRY_AFTER_MS = 200;
/** Least time told to clients refused for their connections or their tiny pieces, in milliseconds. */
const RETRY_AFTER_MS = 1000;

type Refusal = Exclude<requestBodies.BodyEnd['kind'], 'whole' | 'cut-off'> | 'too-many-connections';

/** The error code of each refusal. */
const REFUSAL_CODES: Readonly<Record<Refusal, decisions.ErrorCode>> = {
  'no-memory': 'memory-exhausted',
  'too-slow': 'body-too-slow',
  'too-large': 'body-too-large',
  inefficient: 'inefficient-body',
  'too-many-connections': 'too-many-connections',
};

/** Reads the requests of one server. */
export class RequestIntake {
  private readonly sockets: clientSockets.ClientSockets;

  private readonly bodies = bodyIntakes.BodyIntake.create();

  private readonly drain = requestDrains.RequestDrain.create();

  private readonly overLimit = new WeakSet<http.IncomingMessage>();

  private readonly labels: runtime.Labels;

  private sweepTimer: NodeJS.Timeout | undefined;

  private isMemoryShort = false;

  private constructor(
    server: http.Server,
    private readonly options: IntakeOptions,
  ) {
    const { maximumConnections, metrics, listener } = options;
    this.labels = listener === undefined ? {} : { listener };
    this.sockets = clientSockets.ClientSockets.create(server, maximumConnections, options);
    server.prependListener('request', (request, response) => {
      if (this.sockets.beginRequest(request, response)) this.overLimit.add(request);
    });
    metrics.gauge('bodies_being_read', this.labels, () => this.bodies.bodyCount);
  }

  static create(server: http.Server, options: IntakeOptions): RequestIntake {
    return new RequestIntake(server, options);
  }

  start(): void {
    this.sweepTimer = setInterval(() => this.sweep(), bodyIntakes.SWEEP_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.sweepTimer);
  }

  /**
   * Reads the body of a request; answers the request itself when there is none to go on with.
   * @param maximumBytes of this request; that of all requests by default
   */
  async readBody(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    reservation: memories.Reservation,
    maximumBytes = this.options.readLimits().bodyBytes,
  ): Promise<Buffer | undefined> {
    if (this.overLimit.has(request)) {
      this.refuse(request, response, 'too-many-connections');
      return undefined;
    }
    const { bodies: intake } = this;
    const end = await requestBodies.readBody(request, { maximumBytes, reservation, intake });
    if (end.kind === 'whole') {
      this.sockets.completeRequest(request);
      return end.body;
    }
    if (end.kind === 'cut-off') {
      this.options.metrics.count('bodies_not_read', { ...this.labels, reason: end.kind });
      this.options.metrics.count('requests_cut_off', this.labels);
    } else this.refuse(request, response, end.kind);
    return undefined;
  }

  /**
   * Ends a response that was written and whose request is not read: the rest of it is read for a bounded
   * time, so that its client sees the response.
   */
  endUnread(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.drain.end(request, response, this.options.readLimits().bodyBytes);
  }

  private sweep(): void {
    const { idleTimeoutMs } = this.options.readLimits();
    this.bodies.sweep(idleTimeoutMs);
    this.sockets.sweep(idleTimeoutMs, this.isMemoryShort);
    this.isMemoryShort = false;
  }

  /** Refuses a request whose body is not read, and closes its connection. */
  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    refusal: Refusal,
  ): void {
    if (refusal === 'no-memory') this.isMemoryShort = true;
    this.report(request, refusal);
    // A stop of the process may have answered the request while its body was read.
    if (response.destroyed || response.headersSent) return;
    const failure = createFailure(refusal);
    const { headers, body } = this.options.encodeRefusal(failure);
    const closing = ['content-length', String(body.length), 'connection', 'close'];
    response.writeHead(decisions.getHttpStatus(failure), [...headers, ...closing]);
    if (body.length > 0) response.write(body);
    else response.flushHeaders();
    // Each tiny piece costs time, so that nothing more of an inefficient body is read.
    const { bodyBytes } = this.options.readLimits();
    this.drain.end(request, response, refusal === 'inefficient' ? 0 : bodyBytes);
  }

  private report(request: http.IncomingMessage, refusal: Refusal): void {
    const { log, memory, metrics, identifyRequest } = this.options;
    metrics.count('bodies_not_read', { ...this.labels, reason: refusal });
    const message =
      refusal === 'no-memory' ? 'request refused for want of memory' : 'body of a request not read';
    log.warn(message, {
      ...this.labels,
      request: identifyRequest(request),
      reason: refusal,
      client: request.socket.remoteAddress,
      bodyBytes: request.headers['content-length'],
      heldBytes: memory.heldBytes,
    });
  }
}

function createFailure(refusal: Refusal): decisions.Failure {
  const code = REFUSAL_CODES[refusal];
  if (refusal === 'too-large' || refusal === 'too-slow') return decisions.createFailure(code);
  const leastMs = refusal === 'no-memory' ? MEMORY_RETRY_AFTER_MS : RETRY_AFTER_MS;
  const retryAfterMs = retryDelays.spreadDelay(leastMs, Math.random());
  return decisions.createFailure(code, { retryAfterMs });
}
