/**
 * Decides which connections of clients are kept when there are more than the process has descriptors for.
 *
 * Load pattern: a client opens connections without end, each with a part of a request or with nothing at
 * all, while others send whole requests on new connections. At the limit, the connection that has waited
 * for the rest of a request for longest is closed, then the one that has been idle for longest. A request
 * that was read whole is never closed; when all connections carry one, new ones are refused.
 */

/** Why a connection was closed by a decision. */
export const ClosedConnection = {
  Incomplete: 'incomplete-request',
  Idle: 'idle',
  Refused: 'refused',
} as const;

export type ClosedConnection = (typeof ClosedConnection)[keyof typeof ClosedConnection];

/** What the server tells of a connection. */
export interface ConnectionHandle {
  /** All bytes that were read from it. */
  readBytes(): number;
  close(cause: ClosedConnection): void;
}

/** A connection of a client. */
export interface ClientConnection {
  readonly handle: ConnectionHandle;
  /** Requests that were read whole and are being answered. */
  wholeRequests: number;
  isReadingRequest: boolean;
  /** The bytes read when it was last known to make progress. */
  readBytes: number;
  /** Its requests are refused, as it is above the limit. */
  readonly isOverLimit: boolean;
}

/** Descriptors for files, the listening sockets and the process itself. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the others for connections of clients; the rest is for replicas, gateways and the store. */
const CLIENT_SHARE = 0.75;
const MINIMUM_CONNECTIONS = 16;
/** Share of the limit by which connections may exceed it, so that their requests can be refused. */
const OVERFLOW_SHARE = 1 / 16;
/** How many connections that have made progress are passed over before one is closed. */
const MAXIMUM_PASSED_OVER = 16;

/** Number of connections of clients that fit into the descriptors of a process. */
export function computeConnectionLimit(maximumDescriptors: number): number {
  const limit = Math.floor((maximumDescriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE);
  return Math.max(MINIMUM_CONNECTIONS, limit);
}

/** The connections of all clients. */
export class ClientConnections {
  /** Those without a whole request, in the order in which they made progress. */
  private readonly incomplete = new Set<ClientConnection>();

  private readonly idle = new Set<ClientConnection>();

  private readonly opened = new Set<ClientConnection>();

  private constructor(private readonly limit: number) {}

  static create(limit: number): ClientConnections {
    return new ClientConnections(limit);
  }

  get count(): number {
    return this.opened.size;
  }

  /** Takes a new connection, and closes another one for it at the limit; undefined: it is closed itself. */
  open(handle: ConnectionHandle): ClientConnection | undefined {
    if (this.count >= this.limit) this.closeWorst();
    if (this.count >= this.limit + Math.ceil(this.limit * OVERFLOW_SHARE)) {
      handle.close(ClosedConnection.Refused);
      return undefined;
    }
    const isOverLimit = this.count >= this.limit;
    const connection: ClientConnection = {
      handle,
      wholeRequests: 0,
      isReadingRequest: false,
      readBytes: 0,
      isOverLimit,
    };
    this.opened.add(connection);
    this.incomplete.add(connection);
    return connection;
  }

  close(connection: ClientConnection): void {
    this.opened.delete(connection);
    this.incomplete.delete(connection);
    this.idle.delete(connection);
  }

  /** Called when the head of a request was read. */
  beginRequest(connection: ClientConnection): void {
    Object.assign(connection, { isReadingRequest: true });
    this.place(connection);
  }

  /** Called when a request was read whole; it will be answered. */
  completeRequest(connection: ClientConnection): void {
    const entry = connection;
    entry.isReadingRequest = false;
    entry.wholeRequests += 1;
    this.place(entry);
  }

  /** Called when a request that was read whole was answered. */
  endRequest(connection: ClientConnection): void {
    const entry = connection;
    entry.wholeRequests -= 1;
    this.place(entry);
  }

  private place(connection: ClientConnection): void {
    this.incomplete.delete(connection);
    this.idle.delete(connection);
    Object.assign(connection, { readBytes: connection.handle.readBytes() });
    if (!this.opened.has(connection) || connection.wholeRequests > 0) return;
    (connection.isReadingRequest ? this.incomplete : this.idle).add(connection);
  }

  private closeWorst(): void {
    const incomplete = this.findOldest(this.incomplete);
    const worst = incomplete ?? this.findOldest(this.idle);
    if (!worst) return;
    this.close(worst);
    worst.handle.close(incomplete ? ClosedConnection.Incomplete : ClosedConnection.Idle);
  }

  /** The first that has made no progress since it was placed; others are placed last. */
  private findOldest(connections: Set<ClientConnection>): ClientConnection | undefined {
    let passedOver = 0;
    for (const connection of connections) {
      const readBytes = connection.handle.readBytes();
      if (readBytes === connection.readBytes || passedOver === MAXIMUM_PASSED_OVER) {
        return connection;
      }
      passedOver += 1;
      connections.delete(connection);
      this.incomplete.add(connection);
      Object.assign(connection, { readBytes });
    }
    return undefined;
  }
}
