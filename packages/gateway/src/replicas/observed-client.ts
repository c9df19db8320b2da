/**
 * Reports what replicas tell about themselves in their answers. Everything that the gateway sends to a
 * replica passes through here, whichever part of the gateway sends it. An unexpected error becomes the
 * verdict that the request may have run, as its sender counts on a verdict.
 */
import type * as errorGuards from '../core/error-guard';
import * as replicas from '../types/replica';

/** An answer's signals, and when the request for it was sent. */
export interface SignalObserver {
  /** @param sentMs when the request was sent, on the monotonic clock */
  onSignals(replica: replicas.Replica, signals: replicas.ReplicaSignals, sentMs: number): void;
}

const UNEXPECTED_ERROR: replicas.CallOutcome = {
  status: replicas.CallStatus.Broken,
  reason: 'unexpected error',
};

/** A replica client whose answers are observed, and whose calls never reject. */
export class ObservedReplicaClient implements replicas.ReplicaClient {
  private constructor(
    private readonly client: replicas.ReplicaClient,
    private readonly observer: SignalObserver,
    private readonly nowMs: () => number,
    private readonly errors: errorGuards.ErrorGuard,
  ) {}

  static create(
    client: replicas.ReplicaClient,
    observer: SignalObserver,
    nowMs: () => number,
    errors: errorGuards.ErrorGuard,
  ): ObservedReplicaClient {
    return new ObservedReplicaClient(client, observer, nowMs, errors);
  }

  call(
    replica: replicas.Replica,
    request: replicas.ReplicaRequest,
    options: replicas.CallOptions,
  ): Promise<replicas.CallOutcome> {
    return this.errors.settle(
      () => this.client.call(replica, request, this.observe(replica, options)),
      UNEXPECTED_ERROR,
    );
  }

  stream(
    replica: replicas.Replica,
    request: replicas.ReplicaRequest,
    options: replicas.StreamOptions,
    receiver: replicas.StreamReceiver,
  ): Promise<replicas.StreamOutcome> {
    return this.errors.settle(
      () => this.client.stream(replica, request, this.observe(replica, options), receiver),
      UNEXPECTED_ERROR,
    );
  }

  order(
    replica: replicas.Replica,
    order: replicas.WeightsOrder,
    deadlineMs: number,
  ): Promise<replicas.OrderStatus> {
    return this.errors.settle(
      () => this.client.order(replica, order, deadlineMs, this.createListener(replica)),
      replicas.OrderStatus.Unknown,
    );
  }

  fetchReport(
    replica: replicas.Replica,
    deadlineMs: number,
  ): Promise<replicas.ReplicaReport | undefined> {
    return this.errors.settle(
      () => this.client.fetchReport(replica, deadlineMs, this.createListener(replica)),
      undefined,
    );
  }

  probe(...probe: Parameters<replicas.ReplicaClient['probe']>): Promise<replicas.ListeningState> {
    return this.errors.settle(() => this.client.probe(...probe), replicas.ListeningState.Unknown);
  }

  closeConnections(replica: replicas.Replica): void {
    this.errors.run(() => this.client.closeConnections(replica));
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
    return (signals) => {
      this.errors.run(() => this.observer.onSignals(replica, signals, sentMs));
    };
  }
}
