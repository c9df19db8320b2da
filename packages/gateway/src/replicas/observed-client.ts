/**
 * Reports what replicas tell about themselves in their answers. Everything that the gateway sends to a
 * replica passes through here, whichever part of the gateway sends it.
 */
import type * as replicas from '../types/replica';

/** An answer's signals, and when the request for it was sent. */
export interface SignalObserver {
  /** @param sentMs when the request was sent, on the monotonic clock */
  onSignals(replica: replicas.Replica, signals: replicas.ReplicaSignals, sentMs: number): void;
}

/** A replica client whose answers are observed. */
export class ObservedReplicaClient implements replicas.ReplicaClient {
  private constructor(
    private readonly client: replicas.ReplicaClient,
    private readonly observer: SignalObserver,
    private readonly nowMs: () => number,
  ) {}

  static create(
    client: replicas.ReplicaClient,
    observer: SignalObserver,
    nowMs: () => number,
  ): ObservedReplicaClient {
    return new ObservedReplicaClient(client, observer, nowMs);
  }

  call(
    replica: replicas.Replica,
    request: replicas.ReplicaRequest,
    options: replicas.CallOptions,
  ): Promise<replicas.CallOutcome> {
    return this.client.call(replica, request, this.observe(replica, options));
  }

  stream(
    replica: replicas.Replica,
    request: replicas.ReplicaRequest,
    options: replicas.StreamOptions,
    receiver: replicas.StreamReceiver,
  ): Promise<replicas.StreamOutcome> {
    return this.client.stream(replica, request, this.observe(replica, options), receiver);
  }

  order(
    replica: replicas.Replica,
    order: replicas.WeightsOrder,
    deadlineMs: number,
  ): Promise<replicas.OrderStatus> {
    return this.client.order(replica, order, deadlineMs, this.createListener(replica));
  }

  fetchReport(
    replica: replicas.Replica,
    deadlineMs: number,
  ): Promise<replicas.ReplicaReport | undefined> {
    return this.client.fetchReport(replica, deadlineMs, this.createListener(replica));
  }

  probe(...probe: Parameters<replicas.ReplicaClient['probe']>): Promise<replicas.ListeningState> {
    return this.client.probe(...probe);
  }

  closeConnections(replica: replicas.Replica): void {
    this.client.closeConnections(replica);
  }

  close(): Promise<void> {
    return this.client.close();
  }

  private observe<Options extends replicas.CallOptions>(
    replica: replicas.Replica,
    options: Options,
  ): Options {
    return { ...options, onSignals: this.createListener(replica) };
  }

  private createListener(replica: replicas.Replica): (signals: replicas.ReplicaSignals) => void {
    const sentMs = this.nowMs();
    return (signals) => this.observer.onSignals(replica, signals, sentMs);
  }
}
