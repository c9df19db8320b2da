/**
 * Limits the connections of a server that is not one of HTTP/1: at the limit, the one that has received
 * nothing for longest is closed for a new one.
 */
import type * as net from 'node:net';
import type * as runtime from '@azureworks/runtime';
import * as clientConnections from '../core/client-connections';

/** What a limit is about, and where it reports. */
export interface SocketLimitOptions {
  readonly maximumConnections: number;
  /** Which listener the metrics and log lines are about. */
  readonly listener: string;
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
}

/** Closes sockets of a server at its limit. */
export class SocketLimit {
  private readonly connections: clientConnections.ClientConnections;

  private constructor(private readonly options: SocketLimitOptions) {
    const { maximumConnections, listener, metrics } = options;
    this.connections = clientConnections.ClientConnections.create(maximumConnections);
    metrics.gauge('client_connections', { listener }, () => this.connections.count);
    metrics.gauge('client_connections_limit', { listener }, () => maximumConnections);
  }

  /** Applies a limit to a server that does not listen yet. */
  static apply(server: net.Server, options: SocketLimitOptions): void {
    const limit = new SocketLimit(options);
    server.prependListener('connection', (socket: net.Socket) => limit.open(socket));
  }

  private open(socket: net.Socket): void {
    const connection = this.connections.open({
      readBytes: () => socket.bytesRead,
      writtenBytes: () => socket.bytesWritten,
      unreadBytes: () => 0,
      close: (cause) => this.close(socket, cause),
    });
    if (connection) socket.once('close', () => this.connections.close(connection));
  }

  private close(socket: net.Socket, cause: clientConnections.ClosedConnection): void {
    const { listener, log, metrics } = this.options;
    metrics.count('connections_closed', { listener, cause });
    log.info('connection closed at the limit', { listener, cause, client: socket.remoteAddress });
    socket.destroy();
  }
}
