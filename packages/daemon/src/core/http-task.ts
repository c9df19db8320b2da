/**
 * An HTTP server as a task: it owns its socket, and a planned stop waits for the answers in flight.
 *
 * A request can cross the close of an idle connection, and its sender then can't know whether it
 * ran. A planned stop therefore leaves idle connections open for a while: whatever still arrives on
 * them is answered, with the word that the connection closes behind the answer.
 */
import * as http from 'node:http';
import * as https from 'node:https';
import * as net from 'node:net';
import type * as tls from 'node:tls';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import polka from 'polka';
import * as runtime from '@azureworks/runtime';
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
/** How long a planned stop leaves idle connections open: well over the pause of a busy caller. */
const IDLE_LINGER_MS = 1500;

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

  private readonly unanswered = new Set<http.ServerResponse>();

  private isClosing = false;

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
      this.unanswered.add(response);
      response.on('close', () => this.unanswered.delete(response));
      if (this.isClosing) response.shouldKeepAlive = false;
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
    this.isClosing = true;
    this.unanswered.forEach((response) => {
      if (!response.headersSent) response.shouldKeepAlive = false;
    });
    // The HTTP server's own close() would close idle connections at once.
    net.Server.prototype.close.call(server);
    const startMs = performance.now();
    await pollUntil(startMs + IDLE_LINGER_MS, async () => (await countConnections(server)) === 0);
    server.closeIdleConnections();
    await pollUntil(startMs + this.drainTimeoutMs, async () => this.unanswered.size === 0);
    server.closeAllConnections();
    this.server = undefined;
    this.isClosing = false;
  }
}

async function pollUntil(deadlineMs: number, isDone: () => Promise<boolean>): Promise<void> {
  while (performance.now() < deadlineMs && !(await isDone())) {
    await runtime.pause(POLL_INTERVAL_MS);
  }
}

/** A server that can't count counts as one with connections, so that it is given its time. */
function countConnections(server: net.Server): Promise<number> {
  return new Promise((resolve) => {
    server.getConnections((error, count) => resolve(error ? 1 : count));
  });
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
