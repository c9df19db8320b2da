/**
 * The sockets of clients: tells the decisions on connections what happens on them, and carries out what
 * they decide. The HTTP server sees each socket as a stream whose bytes are parsed in turns.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as tls from 'node:tls';
import type * as runtime from '@azureworks/runtime';
import * as clientConnections from '../core/client-connections';
import * as clientStreams from './client-stream';
import * as inputSchedulers from './input-scheduler';

interface Reporting {
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
  /** Which listener the metrics and log lines are about; undefined where a process has one. */
  readonly listener?: string | undefined;
}

/** A connection and the stream on it, once the HTTP server has it. */
interface TrackedSocket {
  readonly connection: clientConnections.ClientConnection;
  stream?: clientStreams.ClientStream;
}

type ConnectionListener = (socket: net.Socket) => void;

/** The connections that one server accepted. */
export class ClientSockets {
  private readonly connections: clientConnections.ClientConnections;

  private readonly scheduler = inputSchedulers.InputScheduler.create();

  /** By the address of the peer, which the sockets below and above TLS share. */
  private readonly byPeer = new Map<string, TrackedSocket>();

  private readonly wholeRequests = new WeakSet<http.IncomingMessage>();

  private readonly closedSinceReport = new Map<clientConnections.ClosedConnection, number>();

  private readonly labels: runtime.Labels;

  private constructor(
    server: http.Server,
    private readonly limit: number,
    private readonly reporting: Reporting,
  ) {
    const { metrics, listener } = reporting;
    this.labels = listener === undefined ? {} : { listener };
    this.connections = clientConnections.ClientConnections.create(limit);
    metrics.gauge('client_connections', this.labels, () => this.connections.count);
    metrics.gauge('client_connections_limit', this.labels, () => limit);
    metrics.gauge('client_input_held_bytes', this.labels, () => this.scheduler.heldBytes);
    this.serveStreams(server);
    // Before all other listeners, which then find a refused socket closed.
    server.prependListener('connection', (socket: net.Socket) => this.open(socket));
  }

  /** @param limit connections that are open at the same time, see `computeConnectionLimit` */
  static create(server: http.Server, limit: number, reporting: Reporting): ClientSockets {
    return new ClientSockets(server, limit, reporting);
  }

  /**
   * Called when the head of a request was read.
   * @returns whether the connection is above the limit, so that its requests are refused
   */
  beginRequest(request: http.IncomingMessage, response: http.ServerResponse): boolean {
    const tracked = this.find(request.socket);
    if (!tracked) return false;
    const { connection, stream } = tracked;
    this.connections.beginRequest(connection);
    if (!hasBody(request)) this.completeRequest(request);
    stream?.block(this.connections.isPipeliningTooMuch(connection));
    response.once('close', () => {
      this.connections.endRequest(connection, this.wholeRequests.has(request));
      stream?.block(this.connections.isPipeliningTooMuch(connection));
    });
    return connection.isOverLimit;
  }

  /** Called when a request was read whole; it counts until its response is closed. */
  completeRequest(request: http.IncomingMessage): void {
    const tracked = this.find(request.socket);
    if (!tracked || this.wholeRequests.has(request)) return;
    this.wholeRequests.add(request);
    this.connections.completeRequest(tracked.connection);
  }

  /**
   * Called every second: closes connections whose client does not read what it is sent.
   * @param isMemoryShort whether work was refused for want of memory since the last call
   */
  sweep(idleTimeoutMs: number, isMemoryShort: boolean): void {
    this.connections.sweep(idleTimeoutMs, isMemoryShort);
    this.report();
  }

  private report(): void {
    if (this.closedSinceReport.size === 0) return;
    this.reporting.log.warn('connections of clients closed', {
      ...this.labels,
      ...Object.fromEntries(this.closedSinceReport),
      open: this.connections.count,
      limit: this.limit,
    });
    this.closedSinceReport.clear();
  }

  /** Puts a stream between each socket and the HTTP server. */
  private serveStreams(server: http.Server): void {
    const event = server instanceof tls.Server ? 'secureConnection' : 'connection';
    const serve = server.listeners(event).at(-1) as ConnectionListener;
    server.removeListener(event, serve);
    server.on(event, (socket: net.Socket) => {
      const tracked = this.find(socket);
      if (!tracked || socket.destroyed) {
        socket.destroy();
        return;
      }
      tracked.stream = clientStreams.ClientStream.create(socket, this.scheduler);
      serve.call(server, tracked.stream as unknown as net.Socket);
    });
  }

  private find(socket: net.Socket): TrackedSocket | undefined {
    return this.byPeer.get(getPeer(socket));
  }

  private open(socket: net.Socket): void {
    const peer = getPeer(socket);
    const getUnreadBytes = (): number =>
      socket.writableLength + (this.byPeer.get(peer)?.stream?.writableLength ?? 0);
    const connection = this.connections.open({
      readBytes: () => socket.bytesRead,
      writtenBytes: () => socket.bytesWritten - socket.writableLength,
      unreadBytes: getUnreadBytes,
      close: (cause) => {
        this.reporting.metrics.count('connections_closed', { ...this.labels, cause });
        this.closedSinceReport.set(cause, (this.closedSinceReport.get(cause) ?? 0) + 1);
        socket.destroy();
      },
    });
    if (!connection) return;
    this.byPeer.set(peer, { connection });
    socket.once('close', () => {
      this.byPeer.delete(peer);
      this.connections.close(connection);
    });
  }
}

function hasBody({ headers }: http.IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function getPeer({ remoteAddress, remotePort }: net.Socket): string {
  return `${remoteAddress}:${remotePort}`;
}
