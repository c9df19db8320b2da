/**
 * An HTTP server as a supervised task. A planned stop waits for the responses in flight.
 *
 * When a server closes an idle connection, a request may already be on its way, and its sender
 * can't know whether it ran. A planned stop therefore keeps idle connections open for a grace
 * period, which begins anew with each response that could not announce the end of its connection, as
 * its head was sent before. Requests that still arrive are answered with `connection: close`, and
 * what nothing has answered in the end with a failure.
 */
import * as http from 'node:http';
import * as https from 'node:https';
import * as net from 'node:net';
import type * as tls from 'node:tls';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import polka from 'polka';
import * as runtime from '@azureworks/runtime';
import * as bodies from './body';
import * as failureResponses from './failure-response';

/** A request whose path matched a route, with the parameters of the path. */
export interface RoutedRequest extends http.IncomingMessage {
  readonly url: string;
  readonly params: Readonly<Record<string, string>>;
}

/** Handles one request. */
export type Handler = (
  request: RoutedRequest,
  response: http.ServerResponse,
) => void | Promise<void>;

/** HTTP methods of routes; `all` matches every method. */
export type Method = 'all' | 'delete' | 'get' | 'post' | 'put';

const DRAIN_POLL_INTERVAL_MS = 20;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const INTERNAL_ERROR = 500;
const KEY_REFRESH_INTERVAL_MS = 5000;
/** How long the head of a request and a TLS handshake may take, in milliseconds. */
const HEADER_TIMEOUT_MS = 10_000;
const HANDSHAKE_TIMEOUT_MS = 10_000;
const CONNECTION_CHECK_INTERVAL_MS = 2000;
/** How long a planned stop keeps idle connections open: well over the pause of a busy caller. */
const IDLE_CONNECTION_GRACE_MS = 1500;
/** How long the last answers may take to reach their callers, in milliseconds. */
const LAST_ANSWERS_TIMEOUT_MS = 100;

/** Reads the keys of a TLS server. */
export type ReadKeys = () => links.TlsKeys;

/** Where a server listens, and what bounds its requests. */
export interface HttpTaskOptions {
  readonly address: string;
  /** 0 binds any free port. */
  readonly port: number;
  readonly drainTimeoutMs: number;
  /** Reads the TLS keys; without it the server speaks plain HTTP. */
  readonly readKeys?: ReadKeys | undefined;
  readonly bodies: bodies.Bodies;
}

/** An HTTP server with routes. */
export class HttpTask implements runtime.Task {
  readonly name = 'http';

  private readonly router = polka({
    onNoMatch: (request, response) =>
      this.bodies.refuse(request, response, decisions.createFailure('not-found')),
    onError: (_error, _request, response) => {
      if (!response.headersSent) response.writeHead(INTERNAL_ERROR);
      response.end();
    },
  });

  private server: http.Server | https.Server | undefined;

  private keyTimer: NodeJS.Timeout | undefined;

  private readonly responsesInFlight = new Set<http.ServerResponse>();

  private isClosing = false;

  /** Since when connections that were not told to close may have been idle. */
  private idleSinceMs = 0;

  private boundPort = 0;

  private constructor(private readonly options: HttpTaskOptions) {}

  static create(options: HttpTaskOptions): HttpTask {
    return new HttpTask(options);
  }

  /** The bodies of the requests. */
  get bodies(): bodies.Bodies {
    return this.options.bodies;
  }

  /** The port that the server is bound to; 0 before the first start. */
  get listeningPort(): number {
    return this.boundPort;
  }

  /** Adds a route. */
  add(method: Method, pattern: string, handler: Handler): void {
    this.router[method](pattern, (request, response) => {
      const routed = request as unknown as RoutedRequest;
      Promise.resolve(handler(routed, response)).catch(() => response.destroy());
    });
  }

  start(): Promise<void> {
    const server = this.createServer();
    this.server = server;
    this.bodies.attach(server);
    const { port, address } = this.options;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.boundPort || port, address, () => {
        this.boundPort = (server.address() as net.AddressInfo).port;
        resolve();
      });
    });
  }

  private createServer(): http.Server | https.Server {
    const options = {
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      requestTimeout: 0,
      headersTimeout: HEADER_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    };
    const listener = (request: http.IncomingMessage, response: http.ServerResponse): void => {
      this.responsesInFlight.add(response);
      response.on('close', () => {
        this.responsesInFlight.delete(response);
        if (response.shouldKeepAlive) this.idleSinceMs = performance.now();
      });
      response.on('finish', () => this.bodies.endAnswered(request, response));
      if (this.isClosing) response.shouldKeepAlive = false;
      this.router.handler(request as polka.Request, response);
    };
    const { readKeys } = this.options;
    if (!readKeys) return http.createServer(options, listener);
    const server = https.createServer(
      {
        ...options,
        ...toTlsOptions(readKeys()),
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        requestCert: true,
        rejectUnauthorized: false,
      },
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
    this.responsesInFlight.forEach((response) => {
      if (!response.headersSent) response.shouldKeepAlive = false;
    });
    await runtime.handlePendingEvents();
    // The close() of http.Server would also close idle connections at once.
    net.Server.prototype.close.call(server);
    this.idleSinceMs = performance.now();
    await pollUntil(
      this.idleSinceMs + this.options.drainTimeoutMs,
      async () => this.isQuiet() || (await countConnections(server)) === 0,
    );
    this.failRemaining();
    await pollUntil(
      performance.now() + LAST_ANSWERS_TIMEOUT_MS,
      async () => this.responsesInFlight.size === 0,
    );
    server.closeAllConnections();
    this.bodies.detach();
    this.server = undefined;
    this.isClosing = false;
  }

  private isQuiet(): boolean {
    const idleMs = performance.now() - this.idleSinceMs;
    return this.responsesInFlight.size === 0 && idleMs >= IDLE_CONNECTION_GRACE_MS;
  }

  /** Ends the requests that nothing has answered. */
  private failRemaining(): void {
    this.responsesInFlight.forEach((response) => {
      const code = response.req.complete ? 'outcome-unknown' : 'draining';
      failureResponses.sendFailure(response, decisions.createFailure(code));
    });
  }
}

async function pollUntil(deadlineMs: number, isDone: () => Promise<boolean>): Promise<void> {
  while (performance.now() < deadlineMs && !(await isDone())) {
    await runtime.pause(DRAIN_POLL_INTERVAL_MS);
  }
}

/** Counts the open connections. An error counts as one, so that the grace period is waited out. */
function countConnections(server: net.Server): Promise<number> {
  return new Promise((resolve) => {
    server.getConnections((error, count) => resolve(error ? 1 : count));
  });
}

/** Whether the peer presented a certificate of this deployment; always true without TLS. */
export function isAuthenticatedPeer(request: http.IncomingMessage): boolean {
  const socket = request.socket as Partial<tls.TLSSocket>;
  return socket.encrypted ? socket.authorized === true : true;
}

function toTlsOptions(keys: links.TlsKeys): tls.SecureContextOptions {
  return { key: keys.key, cert: keys.certificate, ca: keys.authority };
}
