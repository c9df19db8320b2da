/**
 * A store that can be reached in two ways: directly, or through another VM that relays calls.
 *
 * The store may refuse or not hear one VM while it serves the others. Calls then go through a
 * peer; the direct way is tried again now and then, by one call at a time. A relayed call has the
 * same meaning as a direct one, since the peer only passes it on.
 */
import type * as runtime from '@azureworks/runtime';
import * as stores from '../types/store';

/** A store on the other end of a connection. */
export interface ConnectedStore extends stores.Store {
  close(): void;
}

/** Where relays are. */
export interface RelaySource {
  /** Addresses of peers that may relay, best first. */
  listRelays(): readonly string[];
}

/** What a routed store needs. */
export interface RoutedStoreParts {
  readonly direct: ConnectedStore;
  readonly relays: RelaySource;
  readonly connect: (address: string) => ConnectedStore;
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
  readonly nowMs: () => number;
}

/** How long the direct way is left alone after it failed; doubled up to the longest. */
const FIRST_REST_MS = 250;
const LONGEST_REST_MS = 2000;
/** How long a relay is left alone after it failed, in milliseconds. */
const RELAY_REST_MS = 1000;
/** Relays that one call may try. */
const MOST_RELAYS_A_CALL = 2;
/** Within this time of a failure the store does not count as steady, in milliseconds. */
const UNSTEADY_MS = 2000;

type Call<Outcome> = (store: stores.Store) => Promise<Outcome>;

/** The store as every task of the gateway uses it. */
export class RoutedStore implements stores.Store {
  private restUntilMs = -Infinity;

  private restMs = FIRST_REST_MS;

  private lastFailureMs = -Infinity;

  private isDirect = true;

  private readonly relays = new Map<string, { store: ConnectedStore; restUntilMs: number }>();

  private constructor(private readonly parts: RoutedStoreParts) {}

  static create(parts: RoutedStoreParts): RoutedStore {
    return new RoutedStore(parts);
  }

  get nowMs(): number {
    return this.parts.direct.nowMs;
  }

  /** Whether no call has failed on every way of late. */
  get isSteady(): boolean {
    return this.parts.nowMs() - this.lastFailureMs > UNSTEADY_MS;
  }

  transact(transaction: stores.Transaction): Promise<stores.TransactionOutcome> {
    return this.run('transact', (store) => store.transact(transaction));
  }

  read(range: stores.RowRange): Promise<stores.ReadOutcome> {
    return this.run('read', (store) => store.read(range));
  }

  listPartitions(table: string): Promise<stores.PartitionsOutcome> {
    return this.run('list-partitions', (store) => store.listPartitions(table));
  }

  waitForChanges(
    table: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<stores.ChangesOutcome> {
    return this.run('wait', (store) => store.waitForChanges(table, afterRevision, waitMs));
  }

  /** Closes all connections. */
  close(): void {
    this.parts.direct.close();
    this.relays.forEach((relay) => relay.store.close());
    this.relays.clear();
  }

  private async run<Outcome extends { readonly status: stores.StoreStatus }>(
    name: string,
    call: Call<Outcome>,
  ): Promise<Outcome> {
    const startMs = this.parts.nowMs();
    const outcome = await this.choose(call);
    const { metrics } = this.parts;
    metrics.count('store_calls', { call: name, outcome: outcome.status });
    if (name !== 'wait') metrics.record('store_call', { call: name }, this.parts.nowMs() - startMs);
    if (isFailure(outcome)) this.lastFailureMs = this.parts.nowMs();
    return outcome;
  }

  private async choose<Outcome extends { readonly status: stores.StoreStatus }>(
    call: Call<Outcome>,
  ): Promise<Outcome> {
    if (this.parts.nowMs() < this.restUntilMs) {
      const relayed = await this.callRelays(call);
      if (relayed) return relayed;
    }
    const direct = await call(this.parts.direct);
    if (!isFailure(direct)) {
      this.noteDirectSuccess();
      return direct;
    }
    this.noteDirectFailure(direct);
    // A call that may have taken effect is for its caller to settle.
    if (direct.status === stores.StoreStatus.Unknown) return direct;
    return (await this.callRelays(call)) ?? direct;
  }

  private async callRelays<Outcome extends { readonly status: stores.StoreStatus }>(
    call: Call<Outcome>,
  ): Promise<Outcome | undefined> {
    const nowMs = this.parts.nowMs();
    const addresses = this.parts.relays
      .listRelays()
      .filter((address) => (this.relays.get(address)?.restUntilMs ?? -Infinity) <= nowMs)
      .slice(0, MOST_RELAYS_A_CALL);
    for (const address of addresses) {
      const relay = this.openRelay(address);
      const outcome = await call(relay.store);
      if (!isFailure(outcome)) return outcome;
      relay.restUntilMs = this.parts.nowMs() + RELAY_REST_MS;
      if (outcome.status === stores.StoreStatus.Unknown) return outcome;
    }
    return undefined;
  }

  private openRelay(address: string): { store: ConnectedStore; restUntilMs: number } {
    let relay = this.relays.get(address);
    if (!relay) {
      relay = { store: this.parts.connect(address), restUntilMs: -Infinity };
      this.relays.set(address, relay);
    }
    return relay;
  }

  private noteDirectSuccess(): void {
    this.restMs = FIRST_REST_MS;
    this.restUntilMs = -Infinity;
    if (this.isDirect) return;
    this.isDirect = true;
    this.parts.log.change('store reached directly again');
  }

  private noteDirectFailure(outcome: { readonly status: stores.StoreStatus }): void {
    this.restUntilMs = this.parts.nowMs() + this.restMs;
    this.restMs = Math.min(LONGEST_REST_MS, this.restMs * 2);
    if (!this.isDirect) return;
    this.isDirect = false;
    const { reason } = outcome as stores.StoreFailure;
    this.parts.log.warn('store not reached directly', { status: outcome.status, reason });
  }
}

function isFailure(outcome: { readonly status: stores.StoreStatus }): boolean {
  return (
    outcome.status === stores.StoreStatus.NotDone || outcome.status === stores.StoreStatus.Unknown
  );
}
