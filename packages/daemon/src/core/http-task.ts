/**
 * An HTTP server as a task: it owns its socket, and a planned stop waits for the answers in flight.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as decisions from '@azureworks/decisions';
import polka from 'polka';
import * as headers from '../types/headers';
import type * as supervisors from './supervisor';

/** A request whose path matched a route. */
export interface RoutedRequest extends http.IncomingMessage {
  readonly url: string;
  readonly params: Readonly<Record<string, string>>;
}

/** Serves one request. */
export type Handler = (
  request: RoutedRequest,
  response: http.ServerResponse,
) => void | Promise<void>;

/** Methods that a route can have. */
export type Method = 'all' | 'delete' | 'get' | 'post' | 'put';

const POLL_INTERVAL_MS = 20;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MILLISECONDS_PER_SECOND = 1000;
const INTERNAL_ERROR = 500;

/** An HTTP server with routes. */
export class HttpTask implements supervisors.Task {
  readonly name = 'http';

  private readonly app = polka({
    onNoMatch: (_request, response) => sendFailure(response, decisions.createFailure('not-found')),
    onError: (_error, _request, response) => {
      if (!response.headersSent) response.writeHead(INTERNAL_ERROR);
      response.end();
    },
  });

  private server: http.Server | undefined;

  private inFlight = 0;

  private boundPort = 0;

  private constructor(
    private readonly address: string,
    private readonly port: number,
    private readonly drainTimeoutMs: number,
  ) {}

  /** @param port 0 takes any free port */
  static create(address: string, port: number, drainTimeoutMs: number): HttpTask {
    return new HttpTask(address, port, drainTimeoutMs);
  }

  /** The port taken. */
  get listeningPort(): number {
    return this.boundPort;
  }

  /** Requests whose answer has not been sent in full. */
  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Adds a route. */
  add(method: Method, pattern: string, handler: Handler): void {
    this.app[method](pattern, (request, response) => {
      const routed = request as unknown as RoutedRequest;
      Promise.resolve(handler(routed, response)).catch(() => response.destroy());
    });
  }

  start(): Promise<void> {
    const server = http.createServer(
      { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requestTimeout: 0 },
      (request, response) => {
        this.inFlight += 1;
        response.on('close', () => {
          this.inFlight -= 1;
        });
        this.app.handler(request as polka.Request, response);
      },
    );
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.boundPort || this.port, this.address, () => {
        this.boundPort = (server.address() as net.AddressInfo).port;
        resolve();
      });
    });
  }

  async stop(): Promise<void> {
    const { server } = this;
    if (!server) return;
    server.close();
    server.closeIdleConnections();
    const deadlineMs = performance.now() + this.drainTimeoutMs;
    while (this.inFlight > 0 && performance.now() < deadlineMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
    server.closeAllConnections();
    this.server = undefined;
  }
}

/** Sends a JSON answer. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  extra: http.OutgoingHttpHeaders = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...extra,
  });
  response.end(text);
}

/** Sends a failure with its code and verdict. */
export function sendFailure(response: http.ServerResponse, failure: decisions.Failure): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { code, verdict, message, retryAfterMs } = failure;
  const extra: http.OutgoingHttpHeaders = {
    [headers.Header.Verdict]: verdict,
    [headers.Header.ErrorCode]: code,
  };
  if (retryAfterMs !== undefined) {
    extra['retry-after'] = String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND));
  }
  sendJson(response, decisions.getStatus(failure), { error: { code, verdict, message } }, extra);
}
