/**
 * What every stand-in shares: an HTTP server with fault switches. `POST /faults` sets switches,
 * `GET /log` returns what the stand-in saw, `GET /healthz` answers while the process lives.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import polka from 'polka';
import * as statusAnswers from './status-answer';

/** Fault switches that every stand-in has. */
export interface Faults {
  /** Answers 503 at once, before doing anything. */
  down: boolean;
  /** Waits this long before doing anything, in milliseconds. */
  slowMs: number;
  /** Answers still to be lost after their effect: the connection is cut instead. */
  loseAnswers: number;
  /** Connections still to be cut before the request is read. */
  cutBefore: number;
  /** Closes the port for this long, in milliseconds, once. */
  refuseMs: number;
}

/** A request whose path matched a route. */
export interface RoutedRequest extends http.IncomingMessage {
  readonly url: string;
  readonly params: Readonly<Record<string, string>>;
}

/** A parsed request. */
export interface Call {
  readonly request: RoutedRequest;
  readonly response: http.ServerResponse;
  /** The parsed JSON body; undefined when there is none. */
  readonly body: unknown;
}

/** Handles one request; the returned value is sent as JSON unless undefined. */
export type Handler = (call: Call) => unknown;

type Method = 'get' | 'put' | 'post';

const SERVICE_UNAVAILABLE = 503;
const OK = 200;

/** An HTTP server with fault switches. */
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

  /** Called after the switches were set. */
  onFaultsSet: (() => void) | undefined;

  private constructor(private readonly readLog: () => unknown) {
    this.app.get('/healthz', (_request, response) => sendJson(response, OK, {}));
    this.app.get('/log', (_request, response) => sendJson(response, OK, this.readLog()));
    this.app.post('/faults', (request, response) => {
      readBody(request).then((body) => {
        Object.assign(this.faults, body);
        sendJson(response, OK, this.faults);
        this.onFaults();
      });
    });
  }

  /** @param readLog returns what the stand-in saw, as JSON */
  static create(readLog: () => unknown): StandinServer {
    return new StandinServer(readLog);
  }

  /** Adds a route whose requests are subject to the fault switches. */
  add(method: Method, pattern: string, handler: Handler): void {
    this.app[method](pattern, (request, response) => {
      const routed = request as unknown as RoutedRequest;
      this.serve(routed, response, handler).catch(() => response.destroy());
    });
  }

  /** Adds a route for the owner of an experiment, which no fault switch touches. */
  addAdministration(pattern: string, handler: (body: unknown) => void | Promise<void>): void {
    this.app.post(pattern, (request, response) => {
      readBody(request)
        .then(handler)
        .then(
          () => sendJson(response, OK, {}),
          () => response.destroy(),
        );
    });
  }

  /** Binds the port, 0 for any free one, and returns the port taken. */
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

  /** Refuses connections for a while, as a process that is being started again does. */
  refuse(durationMs: number): void {
    this.close();
    setTimeout(() => this.server?.listen(this.port, this.address), durationMs);
  }

  private onFaults(): void {
    const { refuseMs } = this.faults;
    this.faults.refuseMs = 0;
    if (refuseMs > 0) setImmediate(() => this.refuse(refuseMs));
    this.onFaultsSet?.();
  }

  /** Closes the port and every connection. */
  close(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private async serve(
    request: RoutedRequest,
    response: http.ServerResponse,
    handler: Handler,
  ): Promise<void> {
    if (this.takeFault('cutBefore')) {
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
    if (this.takeFault('loseAnswers')) {
      request.socket.destroy();
      return;
    }
    if (result === undefined) return;
    if (result instanceof statusAnswers.StatusAnswer)
      sendJson(response, result.status, result.body);
    else sendJson(response, OK, result);
  }

  private takeFault(fault: 'loseAnswers' | 'cutBefore'): boolean {
    if (this.faults[fault] <= 0) return false;
    this.faults[fault] -= 1;
    return true;
  }
}

/** Sends a JSON answer. */
export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Waits for a number of milliseconds. */
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
