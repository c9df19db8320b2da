/**
 * Decides which connections of clients are kept when there are more than the process has descriptors for.
 *
 * Load pattern: a client opens connections without end, each with a part of a request or with nothing at
 * all, while others send whole requests on new connections. At the limit, the connection that has waited
 * for the rest of a request for longest is closed, then the one that has been idle for longest. A request
 * that was read whole is not closed before it is answered; when all connections carry one, new ones are
 * refused. Other clients send requests and never read the responses, which fill the memory: their connections
 * are closed after a time, and before all others when there are too many or the memory is short.
 */

/** Why a connection was closed by a decision. */
export const ClosedConnection = {
  Incomplete: 'incomplete-request',
  Idle: 'idle',
  Refused: 'refused',
  Unread: 'unread-response',
} as const;

export type ClosedConnection = (typeof ClosedConnection)[keyof typeof ClosedConnection];

/** What the server tells of a connection. */
export interface ConnectionHandle {
  /** All bytes that were read from it. */
  readBytes(): number;
  /** All bytes that were handed to the system. */
  writtenBytes(): number;
  /** Bytes of responses that wait until the client reads earlier ones. */
  unreadBytes(): number;
  close(cause: ClosedConnection): void;
}

/** A connection of a client. */
export interface ClientConnection {
  readonly handle: ConnectionHandle;
  /** Requests whose head was read and that are not answered yet. */
  openRequests: number;
  /** Those of them that were read whole. */
  wholeRequests: number;
  isReadingRequest: boolean;
  /** The bytes read when it was last known to make progress. */
  readBytes: number;
  /** Sweeps in which its client has read nothing of what waits for it. */
  unreadSweeps: number;
  /** The bytes handed to the system at the last sweep. */
  writtenBytes: number;
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

/** Requests of one connection that are open at the same time; further ones wait unread. */
const MAXIMUM_PIPELINED = 16;
/** Requests of all connections that are open besides the first of each. */
const MAXIMUM_PIPELINED_OF_ALL = 1024;
/** How often `sweep` is called, in milliseconds. */
const SWEEP_INTERVAL_MS = 1000;
/** After how many sweeps without progress a client counts as one that does not read. */
const UNREAD_SWEEPS = 2;
/** Least time that a client may take to read, in milliseconds: a slow line shows progress rarely. */
const MINIMUM_UNREAD_TIMEOUT_MS = 30_000;
/** Share of the descriptors that is left to listeners for other processes of the deployment. */
const PEER_SHARE = 0.1;
const MINIMUM_PEER_CONNECTIONS = 64;

/** Number of connections of other processes of the deployment. */
export function computePeerConnectionLimit(maximumDescriptors: number): number {
  const limit = Math.floor((maximumDescriptors - RESERVED_DESCRIPTORS) * PEER_SHARE);
  return Math.max(MINIMUM_PEER_CONNECTIONS, limit);
}

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

  private pipelinedRequests = 0;

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
      openRequests: 0,
      wholeRequests: 0,
      isReadingRequest: false,
      readBytes: 0,
      unreadSweeps: 0,
      writtenBytes: 0,
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
    const entry = connection;
    if (entry.openRequests > 0) this.pipelinedRequests += 1;
    entry.openRequests += 1;
    entry.isReadingRequest = true;
    this.place(entry);
  }

  /** Called when a request was read whole; it will be answered. */
  completeRequest(connection: ClientConnection): void {
    const entry = connection;
    entry.isReadingRequest = false;
    entry.wholeRequests += 1;
    this.place(entry);
  }

  /**
   * Called when a request was answered or given up.
   * @param wasWhole whether it was read whole
   */
  endRequest(connection: ClientConnection, wasWhole: boolean): void {
    const entry = connection;
    entry.openRequests -= 1;
    if (entry.openRequests > 0) this.pipelinedRequests -= 1;
    else entry.isReadingRequest = false;
    if (wasWhole) entry.wholeRequests -= 1;
    this.place(entry);
  }

  /** Whether a connection has so many open requests that no further one is read from it. */
  isPipeliningTooMuch({ openRequests }: ClientConnection): boolean {
    if (openRequests < 2) return false;
    return openRequests >= MAXIMUM_PIPELINED || this.pipelinedRequests >= MAXIMUM_PIPELINED_OF_ALL;
  }

  /**
   * Closes the connections whose client reads nothing of what waits for it.
   * @param isMemoryShort whether they are closed as soon as they are known
   */
  sweep(idleTimeoutMs: number, isMemoryShort: boolean): void {
    const timeoutMs = Math.max(idleTimeoutMs, MINIMUM_UNREAD_TIMEOUT_MS);
    const limit = isMemoryShort ? UNREAD_SWEEPS : Math.ceil(timeoutMs / SWEEP_INTERVAL_MS);
    this.opened.forEach((connection) => {
      if (connection.openRequests === 0) return;
      updateUnreadSweeps(connection);
      if (connection.unreadSweeps >= limit) this.end(connection, ClosedConnection.Unread);
    });
  }

  private place(connection: ClientConnection): void {
    this.incomplete.delete(connection);
    this.idle.delete(connection);
    Object.assign(connection, { readBytes: connection.handle.readBytes() });
    if (!this.opened.has(connection) || connection.wholeRequests > 0) return;
    (connection.isReadingRequest ? this.incomplete : this.idle).add(connection);
  }

  private closeWorst(): void {
    const unread = this.findUnread();
    if (unread) {
      this.end(unread, ClosedConnection.Unread);
      return;
    }
    const incomplete = this.findOldest(this.incomplete);
    const worst = incomplete ?? this.findOldest(this.idle);
    if (worst) this.end(worst, incomplete ? ClosedConnection.Incomplete : ClosedConnection.Idle);
  }

  private end(connection: ClientConnection, cause: ClosedConnection): void {
    this.close(connection);
    connection.handle.close(cause);
  }

  private findUnread(): ClientConnection | undefined {
    for (const connection of this.opened) {
      if (connection.unreadSweeps >= UNREAD_SWEEPS) return connection;
    }
    return undefined;
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

/** Counts the sweeps since the client of a connection has read anything; 0 when nothing waits for it. */
function updateUnreadSweeps(connection: ClientConnection): void {
  const { handle, writtenBytes, unreadSweeps } = connection;
  const nowWrittenBytes = handle.writtenBytes();
  const isUnread = handle.unreadBytes() > 0 && nowWrittenBytes === writtenBytes;
  Object.assign(connection, {
    unreadSweeps: isUnread ? unreadSweeps + 1 : 0,
    writtenBytes: nowWrittenBytes,
  });
}
