/**
 * An HTTP server as a task: it owns its socket, and a planned stop waits for the answers in flight.
 */
import * as http from 'node:http';
import * as https from 'node:https';
import type * as net from 'node:net';
import type * as tls from 'node:tls';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import polka from 'polka';
import type * as runtime from '@azureworks/runtime';
import * as headers from '../types/headers';

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
const KEY_REFRESH_INTERVAL_MS = 5000;

/** Reads the keys of a TLS server. */
export type ReadKeys = () => links.Keys;

/** An HTTP server with routes. */
export class HttpTask implements runtime.Task {
  readonly name = 'http';

  private readonly app = polka({
    onNoMatch: (_request, response) => sendFailure(response, decisions.createFailure('not-found')),
    onError: (_error, _request, response) => {
      if (!response.headersSent) response.writeHead(INTERNAL_ERROR);
      response.end();
    },
  });

  private server: http.Server | https.Server | undefined;

  private keyTimer: NodeJS.Timeout | undefined;

  private inFlight = 0;

  private boundPort = 0;

  private constructor(
    private readonly address: string,
    private readonly port: number,
    private readonly drainTimeoutMs: number,
    private readonly readKeys: ReadKeys | undefined,
  ) {}

  /**
   * @param port 0 takes any free port
   * @param readKeys reads the keys of a TLS server; without it the server speaks plain text
   */
  static create(
    address: string,
    port: number,
    drainTimeoutMs: number,
    readKeys?: ReadKeys,
  ): HttpTask {
    return new HttpTask(address, port, drainTimeoutMs, readKeys);
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
    const server = this.createServer();
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.boundPort || this.port, this.address, () => {
        this.boundPort = (server.address() as net.AddressInfo).port;
        resolve();
      });
    });
  }

  private createServer(): http.Server | https.Server {
    const options = { keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requestTimeout: 0 };
    const listener = (request: http.IncomingMessage, response: http.ServerResponse): void => {
      this.inFlight += 1;
      response.on('close', () => {
        this.inFlight -= 1;
      });
      this.app.handler(request as polka.Request, response);
    };
    if (!this.readKeys) return http.createServer(options, listener);
    const { readKeys } = this;
    const server = https.createServer(
      { ...options, ...toTlsOptions(readKeys()), requestCert: true, rejectUnauthorized: false },
      listener,
    );
    this.keyTimer = setInterval(() => {
      server.setSecureContext(toTlsOptions(readKeys()));
    }, KEY_REFRESH_INTERVAL_MS);
    return server;
  }

  async stop(): Promise<void> {
    clearInterval(this.keyTimer);
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

/** Whether the other end showed a key of this deployment; always true without TLS. */
export function isPeer(request: http.IncomingMessage): boolean {
  const socket = request.socket as Partial<tls.TLSSocket>;
  return socket.encrypted ? socket.authorized === true : true;
}

function toTlsOptions(keys: links.Keys): tls.SecureContextOptions {
  return { key: keys.key, cert: keys.certificate, ca: keys.authority };
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
