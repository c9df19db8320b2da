/**
 * A store client with failover: calls go to the store directly, or through a peer that relays them.
 *
 * The store may refuse or not receive calls of one VM while it serves the others. Calls then go
 * through a peer, and the direct connection is retried after a backoff. A relayed call has the same
 * meaning as a direct one, since the peer only passes it on.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import * as stores from '../types/store';

/** A store client with a connection that can be closed. */
export interface ConnectedStore extends stores.Store {
  close(): void;
}

/** Provides the addresses of relays. */
export interface RelaySource {
  /** Addresses of peers that may relay calls, best first. */
  listRelays(): readonly string[];
}

export interface RoutedStoreOptions {
  readonly direct: ConnectedStore;
  readonly relays: RelaySource;
  readonly connect: (address: string) => ConnectedStore;
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
  readonly nowMs: () => number;
}

/** Backoff after a failure of the direct connection; doubles with each failure. */
const MINIMUM_DIRECT_BACKOFF_MS = 250;
const MAXIMUM_DIRECT_BACKOFF_MS = 2000;
/** Backoff after a failure of a relay. */
const RELAY_BACKOFF_MS = 1000;
const MAXIMUM_RELAYS_PER_CALL = 2;
/** The store counts as stable again this long after the last failed call. */
const STABLE_AFTER_MS = 2000;

interface Relay {
  readonly store: ConnectedStore;
  backoffUntilMs: number;
}

type Call<Outcome> = (store: stores.Store) => Promise<Outcome>;

/** The store as all tasks of the gateway use it. */
export class RoutedStore implements stores.Store {
  private backoffUntilMs = -Infinity;

  private backoffMs = MINIMUM_DIRECT_BACKOFF_MS;

  private lastFailureMs = -Infinity;

  private isDirectlyReachable = true;

  private readonly relays = new Map<string, Relay>();

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: RoutedStoreOptions) {
    this.errors = errorGuards.ErrorGuard.create(options, 'store');
  }

  static create(options: RoutedStoreOptions): RoutedStore {
    return new RoutedStore(options);
  }

  get nowMs(): number {
    // Each connection knows a time that the store has reached, so the latest is the most accurate.
    const relays = [...this.relays.values()].map((relay) => relay.store.nowMs);
    return Math.max(this.options.direct.nowMs, ...relays);
  }

  /** Whether no call has failed recently; one that succeeded through a relay has not failed. */
  get isStable(): boolean {
    return this.options.nowMs() - this.lastFailureMs > STABLE_AFTER_MS;
  }

  transact(transaction: stores.Transaction): Promise<stores.TransactionOutcome> {
    return this.callAndRecord('transact', (store) => store.transact(transaction));
  }

  read(range: stores.RowRange): Promise<stores.ReadOutcome> {
    return this.callAndRecord('read', (store) => store.read(range));
  }

  listPartitions(table: string): Promise<stores.PartitionsOutcome> {
    return this.callAndRecord('list-partitions', (store) => store.listPartitions(table));
  }

  waitForChanges(
    table: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<stores.ChangesOutcome> {
    return this.callAndRecord('wait', (store) =>
      store.waitForChanges(table, afterRevision, waitMs),
    );
  }

  /** Closes all connections. */
  close(): void {
    this.options.direct.close();
    this.relays.forEach((relay) => relay.store.close());
    this.relays.clear();
  }

  private async callAndRecord<Outcome extends { readonly status: stores.StoreStatus }>(
    name: string,
    call: Call<Outcome>,
  ): Promise<Outcome> {
    const sentMs = this.options.nowMs();
    const outcome = await this.callWithFailover(call);
    const { metrics } = this.options;
    metrics.count('store_calls', { call: name, outcome: outcome.status });
    if (name !== 'wait')
      metrics.record('store_call', { call: name }, this.options.nowMs() - sentMs);
    if (isFailure(outcome)) this.lastFailureMs = this.options.nowMs();
    return outcome;
  }

  private async callWithFailover<Outcome extends { readonly status: stores.StoreStatus }>(
    call: Call<Outcome>,
  ): Promise<Outcome> {
    if (this.options.nowMs() < this.backoffUntilMs) {
      const relayed = await this.callRelays(call);
      if (relayed) return relayed;
    }
    const direct = await call(this.options.direct);
    if (!isFailure(direct)) {
      this.recordDirectSuccess();
      return direct;
    }
    this.recordDirectFailure(direct);
    // A call that may have taken effect is not repeated here: the caller has to resolve it.
    if (direct.status === stores.StoreStatus.Unknown) return direct;
    return (await this.callRelays(call)) ?? direct;
  }

  private async callRelays<Outcome extends { readonly status: stores.StoreStatus }>(
    call: Call<Outcome>,
  ): Promise<Outcome | undefined> {
    const nowMs = this.options.nowMs();
    const addresses = this.options.relays
      .listRelays()
      .filter((address) => (this.relays.get(address)?.backoffUntilMs ?? -Infinity) <= nowMs)
      .slice(0, MAXIMUM_RELAYS_PER_CALL);
    for (const address of addresses) {
      const relay = this.openRelay(address);
      const outcome = relay && (await call(relay.store));
      if (outcome && !isFailure(outcome)) return outcome;
      if (relay) relay.backoffUntilMs = this.options.nowMs() + RELAY_BACKOFF_MS;
      if (outcome?.status === stores.StoreStatus.Unknown) return outcome;
    }
    return undefined;
  }

  /** Connects to a relay; undefined when its address, which another program may have written, is none. */
  private openRelay(address: string): Relay | undefined {
    const known = this.relays.get(address);
    if (known) return known;
    this.errors.run(() => {
      const store = this.options.connect(address);
      this.relays.set(address, { store, backoffUntilMs: -Infinity });
    });
    return this.relays.get(address);
  }

  private recordDirectSuccess(): void {
    this.backoffMs = MINIMUM_DIRECT_BACKOFF_MS;
    this.backoffUntilMs = -Infinity;
    if (this.isDirectlyReachable) return;
    this.isDirectlyReachable = true;
    this.options.log.info('store reached directly again');
  }

  private recordDirectFailure(outcome: { readonly status: stores.StoreStatus }): void {
    this.backoffUntilMs = this.options.nowMs() + this.backoffMs;
    this.backoffMs = Math.min(MAXIMUM_DIRECT_BACKOFF_MS, this.backoffMs * 2);
    if (!this.isDirectlyReachable) return;
    this.isDirectlyReachable = false;
    const { reason } = outcome as stores.StoreFailure;
    this.options.log.warn('store not reached directly', { status: outcome.status, reason });
  }
}

function isFailure(outcome: { readonly status: stores.StoreStatus }): boolean {
  return (
    outcome.status === stores.StoreStatus.NotDone || outcome.status === stores.StoreStatus.Unknown
  );
}
