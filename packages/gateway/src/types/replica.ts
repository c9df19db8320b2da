/**
 * A replica as it registers itself, and the calls that can be made to it.
 */

/** A replica of a service. */
export interface Replica {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Unix time of its start; with the id it names one incarnation. */
  readonly bornMs: number;
  /** The version of the weights by model. */
  readonly modelVersions: ReadonlyMap<string, number>;
}

/** What a replica tells of itself when it is asked. */
export interface ReplicaReport {
  readonly versions: ReadonlyMap<string, number>;
  /** Whether it carries out an order. */
  readonly isBusy: boolean;
  /** Orders that it accepted since its start. */
  readonly acceptedOrders: number;
}

/** How many requests a replica runs and holds waiting, as it said in an answer. */
export interface ReplicaLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** A request to a replica. */
export interface ReplicaRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly host: string;
  /** Name and value in turn, without those that concern one connection or that the gateway sets. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How a call to a replica ended. */
export const CallStatus = {
  /** A whole answer that belongs to the request. */
  Answered: 'answered',
  /** The replica said, or it is certain, that the request did not run. */
  NotRun: 'not-run',
  /** Another replica is at this address; the request did not run. */
  WrongReplica: 'wrong-replica',
  /** No answer, a broken one, or one of another request: it may have run. */
  Broken: 'broken',
  /** The caller of the call gave it up. */
  Cancelled: 'cancelled',
} as const;
export type CallStatus = (typeof CallStatus)[keyof typeof CallStatus];

/** A replica's whole answer. */
export interface ReplicaAnswer {
  readonly status: number;
  /** Name and value in turn, without those that concern one connection. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The replica's signature of its answer. */
  readonly signature: string | undefined;
}

/** The outcome of a call. */
export type CallOutcome =
  | {
      readonly status: typeof CallStatus.Answered;
      readonly answer: ReplicaAnswer;
      readonly load: ReplicaLoad | undefined;
    }
  | {
      readonly status: Exclude<CallStatus, typeof CallStatus.Answered>;
      readonly reason: string;
      readonly load?: ReplicaLoad | undefined;
      /** Whether the replica gave no sign of life: no connection, or nothing for too long. */
      readonly isSilent?: boolean;
    };

/** An event of a stream. */
export interface StreamEvent {
  readonly id: number;
  readonly data: string;
  /** The event as the replica sent it, with its end. */
  readonly raw: Buffer;
  /** The version of the weights, where it changes with this event. */
  readonly weightVersion: number | undefined;
}

/** What a replica says before its first event. */
export interface StreamHead {
  readonly status: number;
  readonly headers: readonly string[];
  readonly signature: string | undefined;
  /** The version of the weights of the first event. */
  readonly weightVersion: number | undefined;
  readonly load: ReplicaLoad | undefined;
}

/** Receives a stream as it comes. */
export interface StreamReceiver {
  begin(head: StreamHead): void;
  receive(event: StreamEvent): void;
}

/** Whether a call is certain not to have run, so that any replica may get it next. */
export function isNotRun(status: CallStatus): boolean {
  return status === CallStatus.NotRun || status === CallStatus.WrongReplica;
}

/** The urgency of a stream that nothing makes more or less urgent than others; see StreamOptions. */
export const ORDINARY_PRIORITY = 5;

/** How a stream ended: `Answered` when its end was seen. */
export type StreamOutcome = CallOutcome;

/** Parameters of a call. */
export interface CallOptions {
  /** How long the replica may take. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Parameters of a stream. */
export interface StreamOptions extends CallOptions {
  /** Goes on after this event. */
  readonly afterEvent: number | undefined;
  /** 0 (first) to 9. */
  readonly priority: number;
  /** How long the stream may be silent before its first event, and then between events. */
  readonly firstEventMs: number;
  readonly silenceMs: number;
}

/** An order to move a replica to a version of a model's weights. */
export interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  /** Whether running requests finish first; otherwise they go on under the new version. */
  readonly waitsForRuns: boolean;
  readonly holder: string;
  readonly fence: number;
  /** The number of orders that the replica must have accepted, where known. */
  readonly acceptedOrders: number | undefined;
}

/** What a replica answered to an order. */
export const OrderStatus = {
  Accepted: 'accepted',
  AlreadyHolds: 'already-holds',
  /** Another order is in progress, or the count of accepted orders differs. */
  Busy: 'busy',
  /** A higher fence has been seen. */
  Fenced: 'fenced',
  WrongReplica: 'wrong-replica',
  /** The order is not valid, or not yet known there. */
  Invalid: 'invalid',
  /** No answer: it may have been accepted, or may be carried out later. */
  Unknown: 'unknown',
} as const;
export type OrderStatus = (typeof OrderStatus)[keyof typeof OrderStatus];

/** Calls to replicas. */
export interface ReplicaCaller {
  call(replica: Replica, request: ReplicaRequest, options: CallOptions): Promise<CallOutcome>;
  stream(
    replica: Replica,
    request: ReplicaRequest,
    options: StreamOptions,
    receiver: StreamReceiver,
  ): Promise<StreamOutcome>;
  order(replica: Replica, order: WeightsOrder, deadlineMs: number): Promise<OrderStatus>;
  /** Asks a replica for its state; undefined when it does not answer. */
  report(replica: Replica, deadlineMs: number): Promise<ReplicaReport | undefined>;
  /** Closes the connections to a replica that is gone. */
  forget(replica: Replica): void;
  close(): Promise<void>;
}
