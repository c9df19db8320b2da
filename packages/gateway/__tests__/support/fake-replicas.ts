/**
 * Simulated replicas in the test process. A stream produces an event every few milliseconds. A test
 * can make replicas unresponsive, break off streams, refuse requests or answer with a failure.
 */
import * as gateway from '@azureworks/gateway';
import * as time from './virtual-time';

const { CallStatus, ListeningState, OrderStatus } = gateway;

/** How a replica handles the next requests. */
export interface ReplicaBehaviour {
  /** Time per event of a stream. */
  eventMs: number;
  /** How many of the next requests are refused as not run. */
  refusals: number;
  /** The load that it reports with a refusal. */
  refusalLoad: gateway.ReplicaLoad | undefined;
  /** Streams break off after this many events of the text; undefined: never. */
  breakAfterEvents: number | undefined;
  /** Whether it starts each text from the beginning instead of resuming after an event. */
  ignoresResume: boolean;
  /** Whether it is unresponsive. */
  isSilent: boolean;
  /** Whether it resets the connection of each request after `answerMs`. */
  resetsRequests: boolean;
  /** How many of the next streams are answered with an error. */
  failedStreams: number;
  /** The status of such an answer; 200: a stream without a signature. */
  streamFailureStatus: number;
  /** Time until such an answer. */
  streamFailureMs: number;
  /** Status of plain answers. */
  status: number;
  /** Time until a plain answer. */
  answerMs: number;
  /** Time until the answer to a request for a report; Infinity: none. */
  reportMs: number;
  /** The outcome of the next orders, which the replica does not get; undefined: they arrive. */
  lostOrders: gateway.OrderStatus | undefined;
  /** The requests per second that it names as its limit; undefined: none. */
  rateLimit: number | undefined;
  /** Whether it says in its answers that it is leaving. */
  isLeaving: boolean;
  /** The response to a new connection while the replica has not crashed. */
  listening: gateway.ListeningState;
}

/** How long a replica that crashed refuses connections. */
export const RESTART_MS = 3000;

/** A stream request that a replica received. */
export interface RecordedRun {
  readonly replica: string;
  readonly itemId: string;
  readonly afterEvent: number | undefined;
  readonly startedMs: number;
  readonly softwareVersion: string | undefined;
}

/** The complete text of an item: the data of each event consists of the item's id and a number. */
export function createText(itemId: string, events: number): string {
  return Array.from({ length: events }, (_unused, index) => `${itemId}:${index}`).join('\n');
}

/** All replicas of a test. */
export class FakeReplicas implements gateway.ReplicaClient {
  readonly behaviours = new Map<string, ReplicaBehaviour>();

  /** Number of events by item; 10 when not set. */
  readonly eventCounts = new Map<string, number>();

  /** Bytes that each event has in addition. */
  eventBytes = 0;

  readonly versions = new Map<string, number>();

  /** The number of orders that replicas have accepted. */
  readonly acceptedOrders = new Map<string, number>();

  /** The software that replicas have while their rows still tell another one, by replica. */
  readonly actualSoftware = new Map<string, string>();

  readonly runs: RecordedRun[] = [];

  readonly calls: {
    readonly replica: string;
    readonly id: string;
    readonly startedMs: number;
  }[] = [];

  /** The organisations that replicas were told, by request. */
  readonly organisations = new Map<string, gateway.ReplicaRequest['organisation']>();

  /** Bodies of the requests that crash each replica that runs them. */
  readonly deadlyBodies = new Set<string>();

  /** The replicas whose connections a gateway closed, in this order. */
  readonly closedConnections: string[] = [];

  /** Called when a replica is back after a crash. */
  onRestart: (replica: string) => void = () => {};

  /** The replicas that crashed, in this order. */
  readonly crashes: string[] = [];

  private readonly downUntilMs = new Map<string, number>();

  private readonly connections = new Map<string, Set<() => void>>();

  readonly orders: (gateway.WeightsOrder & { readonly replica: string; readonly atMs: number })[] =
    [];

  static create(): FakeReplicas {
    return new FakeReplicas();
  }

  getBehaviour(id: string): ReplicaBehaviour {
    let behaviour = this.behaviours.get(id);
    if (!behaviour) {
      behaviour = {
        eventMs: 20,
        refusals: 0,
        refusalLoad: undefined,
        breakAfterEvents: undefined,
        ignoresResume: false,
        isSilent: false,
        resetsRequests: false,
        failedStreams: 0,
        streamFailureStatus: 500,
        streamFailureMs: 100,
        status: 200,
        answerMs: 10,
        reportMs: 0,
        lostOrders: undefined,
        rateLimit: undefined,
        isLeaving: false,
        listening: ListeningState.Accepting,
      };
      this.behaviours.set(id, behaviour);
    }
    return behaviour;
  }

  async call(
    replica: gateway.Replica,
    request: gateway.ReplicaRequest,
    options: gateway.CallOptions,
  ): Promise<gateway.CallOutcome> {
    if (this.isDown(replica.id)) {
      return { status: CallStatus.NotRun, reason: 'ECONNREFUSED', isSilent: true };
    }
    this.calls.push({ replica: replica.id, id: request.id, startedMs: time.nowMs() });
    this.organisations.set(request.id, request.organisation);
    const connection = this.connect(replica.id);
    const outcome = await Promise.race([connection.lost, this.run(replica, request, options)]);
    connection.close();
    return outcome;
  }

  /** Resets the connections to a replica, which breaks off its calls. */
  resetConnections(id: string): void {
    const connections = this.connections.get(id);
    this.connections.delete(id);
    connections?.forEach((reset) => reset());
  }

  /** Ends a replica; it is back after a while. */
  crash(id: string): void {
    this.crashes.push(id);
    this.downUntilMs.set(id, time.nowMs() + RESTART_MS);
    this.resetConnections(id);
    setTimeout(() => this.onRestart(id), RESTART_MS);
  }

  private async crashIfDeadly(
    replica: gateway.Replica,
    request: gateway.ReplicaRequest,
  ): Promise<void> {
    if (!this.deadlyBodies.has(request.body.toString())) return;
    await time.pause(this.getBehaviour(replica.id).answerMs);
    if (!this.isDown(replica.id)) this.crash(replica.id);
  }

  private isDown(id: string): boolean {
    return time.nowMs() < (this.downUntilMs.get(id) ?? 0);
  }

  private connect(id: string): {
    readonly lost: Promise<gateway.CallOutcome>;
    readonly close: () => void;
  } {
    const connections = this.connections.get(id) ?? new Set();
    this.connections.set(id, connections);
    let reset = (): void => {};
    const lost = new Promise<gateway.CallOutcome>((resolve) => {
      reset = () =>
        resolve({ status: CallStatus.Broken, reason: 'ECONNRESET', isConnectionLost: true });
    });
    connections.add(reset);
    return { lost, close: () => connections.delete(reset) };
  }

  private async run(
    replica: gateway.Replica,
    request: gateway.ReplicaRequest,
    options: gateway.CallOptions,
  ): Promise<gateway.CallOutcome> {
    const behaviour = this.getBehaviour(replica.id);
    await this.crashIfDeadly(replica, request);
    if (behaviour.refusals > 0) {
      behaviour.refusals -= 1;
      options.onSignals?.(createSignals(behaviour));
      return { status: CallStatus.NotRun, reason: 'status 503', load: behaviour.refusalLoad };
    }
    if (behaviour.isSilent) {
      const isAborted = await pauseUnlessAborted(options.deadlineMs, options.signal);
      if (isAborted) return { status: CallStatus.Cancelled, reason: 'aborted' };
      return { status: CallStatus.Broken, reason: 'no whole answer in time' };
    }
    if (await pauseUnlessAborted(behaviour.answerMs, options.signal)) {
      return { status: CallStatus.Cancelled, reason: 'aborted' };
    }
    if (behaviour.resetsRequests) return createReset();
    options.onSignals?.(createSignals(behaviour));
    const { status } = behaviour;
    const signature = status === 200 ? `signature of ${request.id}` : undefined;
    const answer = { status, headers: [], body: Buffer.from('body'), signature };
    return { status: CallStatus.Answered, answer, load: undefined };
  }

  async stream(
    ...stream: Parameters<gateway.ReplicaClient['stream']>
  ): Promise<gateway.StreamOutcome> {
    const [replica] = stream;
    if (this.isDown(replica.id)) {
      return { status: CallStatus.NotRun, reason: 'ECONNREFUSED', isSilent: true };
    }
    this.organisations.set(stream[1].id, stream[1].organisation);
    const connection = this.connect(replica.id);
    const outcome = await Promise.race([connection.lost, this.runStream(...stream)]);
    connection.close();
    return outcome;
  }

  private async runStream(
    replica: gateway.Replica,
    request: gateway.ReplicaRequest,
    options: gateway.StreamOptions,
    receiver: gateway.StreamReceiver,
  ): Promise<gateway.StreamOutcome> {
    const behaviour = this.getBehaviour(replica.id);
    const { afterEvent } = options;
    if (behaviour.refusals > 0) {
      behaviour.refusals -= 1;
      options.onSignals?.(createSignals(behaviour));
      return { status: CallStatus.NotRun, reason: 'status 503', load: behaviour.refusalLoad };
    }
    const startedMs = time.nowMs();
    const { id: replicaId } = replica;
    const softwareVersion = this.actualSoftware.get(replicaId) ?? replica.softwareVersion;
    this.runs.push({
      replica: replicaId,
      itemId: request.id,
      afterEvent,
      startedMs,
      softwareVersion,
    });
    await this.crashIfDeadly(replica, request);
    if (this.isDown(replica.id)) return { status: CallStatus.Broken, reason: 'ECONNRESET' };
    if (behaviour.isSilent) {
      const isAborted = await pauseUnlessAborted(options.firstEventTimeoutMs, options.signal);
      if (isAborted) return { status: CallStatus.Cancelled, reason: 'aborted' };
      return { status: CallStatus.Broken, reason: 'silent for too long', isSilent: true };
    }
    if (behaviour.resetsRequests) {
      const isAborted = await pauseUnlessAborted(behaviour.answerMs, options.signal);
      return isAborted ? { status: CallStatus.Cancelled, reason: 'aborted' } : createReset();
    }
    if (behaviour.failedStreams > 0) {
      behaviour.failedStreams -= 1;
      const isAborted = await pauseUnlessAborted(behaviour.streamFailureMs, options.signal);
      if (isAborted) return { status: CallStatus.Cancelled, reason: 'aborted' };
      options.onSignals?.(createSignals(behaviour));
      const status = behaviour.streamFailureStatus;
      const signature = status === 200 ? undefined : 'stamp';
      const head = { status, headers: [], signature, weightVersion: undefined, load: undefined };
      receiver.begin(head);
      const answer = { status, headers: [], body: Buffer.alloc(0), signature };
      return { status: CallStatus.Answered, answer, load: undefined };
    }
    let version = this.versions.get(replica.id) ?? 1;
    options.onSignals?.(createSignals(behaviour));
    receiver.begin({
      status: 200,
      headers: [],
      signature: 'stamp',
      weightVersion: version,
      load: undefined,
    });
    const length = this.eventCounts.get(request.id) ?? 10;
    const first = behaviour.ignoresResume ? 0 : (afterEvent ?? -1) + 1;
    for (let id = first; id < length; id += 1) {
      if (await pauseUnlessAborted(behaviour.eventMs, options.signal)) {
        return { status: CallStatus.Cancelled, reason: 'aborted' };
      }
      if (this.isDown(replica.id)) return { status: CallStatus.Broken, reason: 'ECONNRESET' };
      const isSilentNow = this.getBehaviour(replica.id).isSilent;
      if (isSilentNow) {
        await pauseUnlessAborted(options.idleTimeoutMs, options.signal);
        return { status: CallStatus.Broken, reason: 'silent for too long', isSilent: true };
      }
      const data = `${request.id}:${id}${'x'.repeat(this.eventBytes)}`;
      const formerVersion = version;
      version = this.versions.get(replica.id) ?? 1;
      const changedVersion = version === formerVersion ? undefined : version;
      receiver.receive({ id, data, raw: Buffer.from(data), weightVersion: changedVersion });
      if (behaviour.breakAfterEvents !== undefined && id + 1 >= behaviour.breakAfterEvents) {
        return { status: CallStatus.Broken, reason: 'ECONNRESET' };
      }
    }
    const answer = { status: 200, headers: [], body: Buffer.alloc(0), signature: 'stamp' };
    return { status: CallStatus.Answered, answer, load: undefined };
  }

  order(
    replica: gateway.Replica,
    order: gateway.WeightsOrder,
    _deadlineMs?: number,
    onSignals?: gateway.CallOptions['onSignals'],
  ): Promise<gateway.OrderStatus> {
    const behaviour = this.getBehaviour(replica.id);
    if (behaviour.lostOrders !== undefined) return Promise.resolve(behaviour.lostOrders);
    onSignals?.(createSignals(behaviour));
    this.orders.push({ ...order, replica: replica.id, atMs: time.nowMs() });
    const accepted = this.acceptedOrders.get(replica.id) ?? 0;
    if (order.acceptedOrders !== accepted) return Promise.resolve(OrderStatus.Busy);
    this.acceptedOrders.set(replica.id, accepted + 1);
    setTimeout(() => this.versions.set(replica.id, order.version), 900);
    return Promise.resolve(OrderStatus.Accepted);
  }

  async fetchReport(
    replica: gateway.Replica,
    deadlineMs = Infinity,
  ): Promise<gateway.ReplicaReport | undefined> {
    const { reportMs } = this.getBehaviour(replica.id);
    if (reportMs > 0) await time.pause(Math.min(reportMs, deadlineMs));
    if (reportMs > deadlineMs) return undefined;
    const versions = new Map([['model', this.versions.get(replica.id) ?? 1]]);
    const acceptedOrders = this.acceptedOrders.get(replica.id) ?? 0;
    return { versions, isBusy: false, acceptedOrders };
  }

  probe(replica: gateway.Replica): Promise<gateway.ListeningState> {
    return Promise.resolve(
      this.isDown(replica.id) ? ListeningState.Refusing : this.getBehaviour(replica.id).listening,
    );
  }

  closeConnections(replica: gateway.Replica): void {
    this.closedConnections.push(replica.id);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

function createReset(): gateway.CallOutcome {
  return { status: CallStatus.Broken, reason: 'ECONNRESET', isConnectionLost: true };
}

function createSignals({ rateLimit, isLeaving }: ReplicaBehaviour): gateway.ReplicaSignals {
  return { rateLimit, isLeaving };
}

/** Waits; returns true if the signal is aborted before the time has passed. */
function pauseUnlessAborted(durationMs: number, signal: AbortSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(true);
  return new Promise((resolve) => {
    const timer = setTimeout(() => finish(false), durationMs);
    const abort = (): void => finish(true);
    function finish(isAborted: boolean): void {
      clearTimeout(timer);
      signal.removeEventListener('abort', abort);
      resolve(isAborted);
    }
    signal.addEventListener('abort', abort, { once: true });
  });
}
