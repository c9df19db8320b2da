/**
 * HTTP server with fault injection, shared by all stand-ins. `POST /faults` sets the faults to
 * inject, `GET /log` returns what the stand-in recorded, `GET /healthz` is a liveness check.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import polka from 'polka';
import * as statusResponses from './status-response';

/** Faults that every stand-in can inject. */
export interface Faults {
  /** Answers every request with 503 without processing it. */
  down: boolean;
  /** Delay before a request is processed, in milliseconds. */
  slowMs: number;
  /** Number of requests that will take effect and then have their connection closed unanswered. */
  loseAnswers: number;
  /** Number of requests whose connection will be closed before their body is read. */
  cutBefore: number;
  /** Refuses connections once for this time, in milliseconds. */
  refuseMs: number;
}

/** A request whose path matched a route. */
export interface RoutedRequest extends http.IncomingMessage {
  readonly url: string;
  readonly params: Readonly<Record<string, string>>;
}

/** A request with its response and parsed body. */
export interface Call {
  readonly request: RoutedRequest;
  readonly response: http.ServerResponse;
  /** The parsed JSON body; undefined when there is none. */
  readonly body: unknown;
}

/**
 * Handles one request. The returned value is sent as JSON; `undefined` means that the handler sends
 * the response itself.
 */
export type Handler = (call: Call) => unknown;

type Method = 'get' | 'put' | 'post';

const SERVICE_UNAVAILABLE = 503;
const OK = 200;

/** An HTTP server with fault injection. */
export class StandinServer {
  readonly faults: Faults = {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    cutBefore: 0,
    refuseMs: 0,
  };

  private readonly app = polka();

  private server: http.Server | undefined;

  private port = 0;

  private address = '';

  /** Called after `POST /faults` changed the faults. */
  onFaultsChanged: (() => void) | undefined;

  private constructor(private readonly createLog: () => unknown) {
    this.app.get('/healthz', (_request, response) => sendJson(response, OK, {}));
    this.app.get('/log', (_request, response) => sendJson(response, OK, this.createLog()));
    this.app.post('/faults', (request, response) => {
      readBody(request).then((body) => {
        Object.assign(this.faults, body);
        sendJson(response, OK, this.faults);
        this.applyFaults();
      });
    });
  }

  /** @param createLog creates the JSON body of `GET /log` */
  static create(createLog: () => unknown): StandinServer {
    return new StandinServer(createLog);
  }

  /** Adds a route that is subject to fault injection. */
  addRoute(method: Method, pattern: string, handler: Handler): void {
    this.app[method](pattern, (request, response) => {
      const routed = request as unknown as RoutedRequest;
      this.handle(routed, response, handler).catch(() => response.destroy());
    });
  }

  /** Adds a POST route that controls the experiment and is exempt from fault injection. */
  addControlRoute(pattern: string, handler: (body: unknown) => void | Promise<void>): void {
    this.app.post(pattern, (request, response) => {
      readBody(request)
        .then(handler)
        .then(
          () => sendJson(response, OK, {}),
          () => response.destroy(),
        );
    });
  }

  /** Listens on a port, 0 for any free one, and returns the bound port. */
  listen(address: string, port: number): Promise<number> {
    const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.app.handler(request as polka.Request, response);
    });
    this.server = server;
    this.address = address;
    return new Promise((resolve) => {
      server.listen(port, address, () => {
        this.port = (server.address() as net.AddressInfo).port;
        resolve(this.port);
      });
    });
  }

  /** Refuses connections for a time, like a process that restarts. */
  refuseConnections(durationMs: number): void {
    this.close();
    setTimeout(() => this.server?.listen(this.port, this.address), durationMs);
  }

  private applyFaults(): void {
    const { refuseMs } = this.faults;
    this.faults.refuseMs = 0;
    if (refuseMs > 0) setImmediate(() => this.refuseConnections(refuseMs));
    this.onFaultsChanged?.();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private async handle(
    request: RoutedRequest,
    response: http.ServerResponse,
    handler: Handler,
  ): Promise<void> {
    if (this.consumeFault('cutBefore')) {
      request.socket.destroy();
      return;
    }
    const body = await readBody(request);
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    if (this.faults.down) {
      sendJson(response, SERVICE_UNAVAILABLE, { error: 'down' });
      return;
    }
    const result = await handler({ request, response, body });
    if (this.consumeFault('loseAnswers')) {
      request.socket.destroy();
      return;
    }
    if (result === undefined) return;
    if (result instanceof statusResponses.StatusResponse)
      sendJson(response, result.status, result.body);
    else sendJson(response, OK, result);
  }

  private consumeFault(fault: 'loseAnswers' | 'cutBefore'): boolean {
    if (this.faults[fault] <= 0) return false;
    this.faults[fault] -= 1;
    return true;
  }
}

/** Sends a JSON response. */
export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

async function readBody(request: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
