/**
 * A replica as it registers itself, and the calls that can be made to it.
 */

import type * as organisations from './organisation';

/** A running instance of a service, as described in its row. */
export interface Replica {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Unix time of its start; together with the id it identifies one incarnation. */
  readonly bornMs: number;
  /**
   * The version of its software, which is not that of the weights; undefined when it names none.
   * What replicas of different versions write does not fit together.
   */
  readonly softwareVersion: string | undefined;
  /** Loaded version of the weights, by model. */
  readonly modelVersions: ReadonlyMap<string, number>;
}

/** A replica's answer to a request for its state. */
export interface ReplicaReport {
  readonly versions: ReadonlyMap<string, number>;
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** Number of orders that it has accepted since its start. */
  readonly acceptedOrders: number;
}

/** Running and queued requests of a replica, as reported in one of its answers. */
export interface ReplicaLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes there at this moment, relative to the usual time: 1 is usual, 2 is twice as long.
   * Undefined when the replica does not report it.
   */
  readonly workFactor?: number | undefined;
}

/** What a replica tells about itself in the head of an answer, whatever the request was. */
export interface ReplicaSignals {
  /**
   * The requests per second that it takes from all gateways together; undefined when it names no
   * limit.
   */
  readonly rateLimit: number | undefined;
  /** Whether it is about to leave: it finishes what it runs, and is to get nothing new. */
  readonly isLeaving: boolean;
}

/** A request to a replica. */
export interface ReplicaRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly host: string;
  /** Alternating names and values, without hop-by-hop headers and those that the gateway sets. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly organisation?: organisations.RequestOrganisation;
}

/** How a call to a replica ended. */
export const CallStatus = {
  /** A complete answer that belongs to the request. */
  Answered: 'answered',
  /** The replica reported, or it is otherwise certain, that the request did not run. */
  NotRun: 'not-run',
  /** Another replica listens at this address; the request did not run. */
  WrongReplica: 'wrong-replica',
  /** No answer, an incomplete one, or that of another request; the request may have run. */
  Broken: 'broken',
  /** The call was aborted through its signal. */
  Cancelled: 'cancelled',
} as const;
export type CallStatus = (typeof CallStatus)[keyof typeof CallStatus];

/** A replica's complete answer. */
export interface ReplicaAnswer {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The replica's signature of its answer. */
  readonly signature: string | undefined;
}

/** The connection that carried a call, for logs: it tells whether a response may be a late one. */
export interface ConnectionUse {
  /** Distinguishes the connections to a replica. */
  readonly connection: number;
  /** How many exchanges it carried before this one. */
  readonly earlierExchanges: number;
}

/** The outcome of a call. */
export type CallOutcome =
  | {
      readonly status: typeof CallStatus.Answered;
      readonly answer: ReplicaAnswer;
      readonly load: ReplicaLoad | undefined;
      readonly connection?: ConnectionUse | undefined;
    }
  | {
      readonly status: Exclude<CallStatus, typeof CallStatus.Answered>;
      readonly reason: string;
      readonly load?: ReplicaLoad | undefined;
      /** Whether the replica was unresponsive: no connection, or no data for too long. */
      readonly isSilent?: boolean;
      /** Whether the connection was closed or reset before the response was complete. */
      readonly isConnectionLost?: boolean;
      /** Undefined when the request was not sent. */
      readonly connection?: ConnectionUse | undefined;
    };

/** An event of a stream. */
export interface StreamEvent {
  readonly id: number;
  readonly data: string;
  /** The event's bytes as sent by the replica, including the terminator. */
  readonly raw: Buffer;
  /** The version of the weights, if it changes with this event. */
  readonly weightVersion: number | undefined;
}

/** What a replica sends before the first event of a stream. */
export interface StreamHead {
  readonly status: number;
  readonly headers: readonly string[];
  readonly signature: string | undefined;
  /** The version of the weights that produced the first event. */
  readonly weightVersion: number | undefined;
  readonly load: ReplicaLoad | undefined;
}

/** Receives the head and events of a stream as they arrive. */
export interface StreamReceiver {
  begin(head: StreamHead): void;
  receive(event: StreamEvent): void;
}

/** Whether a call certainly did not run, so that it may be retried on any replica. */
export function isNotRun(status: CallStatus): boolean {
  return status === CallStatus.NotRun || status === CallStatus.WrongReplica;
}

/** Priority of streams that have no reason for another one; see `StreamOptions.priority`. */
export const DEFAULT_STREAM_PRIORITY = 5;

/** How a stream ended: `Answered` if it was received to its end. */
export type StreamOutcome = CallOutcome;

/** Parameters of a call. */
export interface CallOptions {
  /** Time limit for the whole call. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Called with the head of an answer of this replica, before the answer is complete. */
  readonly onSignals?: (signals: ReplicaSignals) => void;
}

/** Parameters of a stream. */
export interface StreamOptions extends CallOptions {
  /** Id of the event after which the stream resumes. */
  readonly afterEvent: number | undefined;
  /** 0 (most urgent) to 9. */
  readonly priority: number;
  /** The longest wait for the first event, and then between events. */
  readonly firstEventTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** An order to load a version of a model's weights. */
export interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  /** Whether running requests finish first; otherwise they continue on the new version. */
  readonly waitsForRunningRequests: boolean;
  readonly holder: string;
  readonly fence: number;
  /**
   * The order is valid only if the replica has accepted this many so far. One that reaches the replica late thus
   * has no effect after a newer one.
   */
  readonly acceptedOrders: number;
}

/** How a replica responded to an order. */
export const OrderStatus = {
  Accepted: 'accepted',
  AlreadyHolds: 'already-holds',
  /** Another order is in progress, or the count of accepted orders differs. */
  Busy: 'busy',
  /** The replica has seen a higher fence. */
  Fenced: 'fenced',
  WrongReplica: 'wrong-replica',
  /** The order is invalid, or refers to something that the replica does not know yet. */
  Invalid: 'invalid',
  /** No answer: the order may have been accepted, or may still be carried out later. */
  Unknown: 'unknown',
} as const;
export type OrderStatus = (typeof OrderStatus)[keyof typeof OrderStatus];

/** Whether a replica accepts connections. */
export const ListeningState = {
  Accepting: 'accepting',
  /** Nothing listens at its address, but its host answers. */
  Refusing: 'refusing',
  /** No response, or an error that does not tell whether it runs. */
  Unknown: 'unknown',
} as const;
export type ListeningState = (typeof ListeningState)[keyof typeof ListeningState];

/** Sends requests to replicas. */
export interface RequestSender {
  call(replica: Replica, request: ReplicaRequest, options: CallOptions): Promise<CallOutcome>;
  stream(
    replica: Replica,
    request: ReplicaRequest,
    options: StreamOptions,
    receiver: StreamReceiver,
  ): Promise<StreamOutcome>;
}

/** Client for calls to replicas. */
export interface ReplicaClient extends RequestSender {
  order(
    replica: Replica,
    order: WeightsOrder,
    deadlineMs: number,
    onSignals?: CallOptions['onSignals'],
  ): Promise<OrderStatus>;
  /** Asks a replica for its state; undefined when it does not answer. */
  fetchReport(
    replica: Replica,
    deadlineMs: number,
    onSignals?: CallOptions['onSignals'],
  ): Promise<ReplicaReport | undefined>;
  /** Opens a new connection to a replica and closes it at once. */
  probe(replica: Replica, timeoutMs: number): Promise<ListeningState>;
  /**
   * Closes the connections to a replica once their exchanges have ended. Requests that wait for one
   * are not sent.
   */
  closeConnections(replica: Replica): void;
  close(): Promise<void>;
}
