/**
 * Moves replicas to the versions of weights that trainers name. One gateway at a time gives
 * orders: the one that holds the lease, whose fence goes with every order.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import type * as configurationKeepers from '../configuration/configuration-keeper';
import * as suspensions from '../core/suspension-detector';
import type * as environments from '../types/environment';
import * as replicas from '../types/replica';
import * as stores from '../types/store';
import type * as directories from '../replicas/directory';
import * as weightsPlan from './weights-plan';

/** What the task needs. */
export interface WeightsParts {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly configuration: configurationKeepers.ConfigurationKeeper;
  readonly directory: directories.Directory;
  readonly caller: replicas.ReplicaCaller;
  readonly leaseMs: number;
  readonly countLive: () => number;
}

/** The row of the lease under which orders are given. */
const LEASE: stores.RowAddress = { table: 'leases', partition: 'weights', key: 'weights' };
/** Renewals and looks a lease time. */
const STEPS_A_LEASE = 4;
/** With this many gateways, those without the lease look half as often as with one. */
const MANY_GATEWAYS = 30;
/** How long an order may take to be answered, in milliseconds. */
const ORDER_DEADLINE_MS = 500;
/** How long a replica is expected to load, before its state is asked for, in milliseconds. */
const LOAD_MS = 950;
/** How often the state of a loading replica is asked for, in milliseconds. */
const LOOK_MS = 200;
/** After this long without the version an order is given again, in milliseconds. */
const STUCK_MS = 4000;
/** The pause before another order to a replica that was busy or did not answer, in milliseconds. */
const REST_MS = 300;

interface Loading {
  readonly order: weightsPlan.PlannedOrder;
  readonly sinceMs: number;
}

/** Gives orders while it holds the lease. */
export class WeightsTask implements runtime.Task {
  readonly name = 'weights';

  private readonly lease: decisions.Lease;

  private readonly suspension: suspensions.Suspension;

  private readonly loading = new Map<string, Loading>();

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private wasHolder = false;

  private hasHeld = false;

  private constructor(private readonly parts: WeightsParts) {
    const { vm, nowMs, wallMs } = parts.environment;
    this.lease = decisions.Lease.create(vm, parts.leaseMs, { nowMs });
    this.suspension = suspensions.Suspension.create(nowMs, wallMs);
  }

  static create(parts: WeightsParts): WeightsTask {
    return new WeightsTask(parts);
  }

  start(): Promise<void> {
    this.step();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.lease.drop();
    return Promise.resolve();
  }

  /** Gives the orders that are due; called whenever something changed. */
  planOrders(): void {
    const fence = this.getFence();
    if (fence === undefined) return;
    const { directory, configuration } = this.parts;
    const services = [...(configuration.current?.services.values() ?? [])];
    services
      .filter((service) => service.models.length > 0)
      .forEach((service) => {
        const named = service.models.flatMap((model) => {
          const version = configuration.getNamedVersion(model);
          return version === undefined ? [] : [{ model, version }];
        });
        const known = directory.list(service.name);
        const orders = weightsPlan.planOrders(
          known.map((entry) => this.describe(entry)),
          named,
        );
        orders.forEach((order) => this.give(order, fence));
      });
  }

  private describe(known: directories.KnownReplica): weightsPlan.WeightsReplica {
    const { directory } = this.parts;
    const models = [...known.replica.modelVersions.keys()];
    return {
      id: known.replica.id,
      versions: new Map(models.map((model) => [model, directory.getVersion(known, model) ?? 0])),
      load: directory.getLoad(known),
      loading: this.loading.get(known.replica.id)?.order,
    };
  }

  private getFence(): number | undefined {
    if (this.suspension.look()) this.lease.drop();
    return this.isStopped ? undefined : this.lease.fence;
  }

  private async give(order: weightsPlan.PlannedOrder, fence: number): Promise<void> {
    const { environment, directory, caller } = this.parts;
    const known = directory.get(order.replicaId);
    if (!known) return;
    const sinceMs = environment.nowMs();
    this.loading.set(order.replicaId, { order, sinceMs });
    const state = await caller.report(known.replica, ORDER_DEADLINE_MS);
    if (state) this.noteVersions(known, state.versions);
    const held = directory.getVersion(known, order.model) ?? 0;
    const isNeeded = held < order.version && !state?.isBusy;
    if (!isNeeded || this.getFence() !== fence) {
      this.rest(order.replicaId, state?.isBusy ? LOOK_MS : 0);
      return;
    }
    const status = await caller.order(
      known.replica,
      {
        ...order,
        waitsForRuns: this.isSingleVersion(order.model),
        holder: environment.vm,
        fence,
        acceptedOrders: state?.acceptedOrders,
      },
      ORDER_DEADLINE_MS,
    );
    environment.metrics.count('weight_orders', { outcome: status });
    environment.log.change('weights ordered', {
      replica: order.replicaId,
      model: order.model,
      version: order.version,
      held,
      fence,
      acceptedOrders: state?.acceptedOrders,
      outcome: status,
      tookMs: Math.round(environment.nowMs() - sinceMs),
    });
    this.follow(known, order, status);
  }

  private follow(
    known: directories.KnownReplica,
    order: weightsPlan.PlannedOrder,
    status: replicas.OrderStatus,
  ): void {
    const { OrderStatus } = replicas;
    if (status === OrderStatus.Accepted) {
      const untilMs = this.parts.environment.nowMs() + LOAD_MS;
      known.loadingUntilMs.set(order.model, untilMs);
      setTimeout(() => this.look(known, order), LOAD_MS);
      return;
    }
    if (status === OrderStatus.AlreadyHolds) {
      known.shownVersions.set(order.model, order.version);
      this.rest(order.replicaId, 0);
      return;
    }
    if (status === OrderStatus.Fenced) this.lease.drop();
    if (status === OrderStatus.Unknown) setTimeout(() => this.look(known, order), LOAD_MS);
    else this.rest(order.replicaId, REST_MS);
  }

  /** Asks a loading replica whether it has the version. */
  private async look(
    known: directories.KnownReplica,
    order: weightsPlan.PlannedOrder,
  ): Promise<void> {
    const { environment, directory, caller } = this.parts;
    const loading = this.loading.get(order.replicaId);
    if (!loading || this.isStopped) return;
    const state = await caller.report(known.replica, ORDER_DEADLINE_MS);
    if (state) this.noteVersions(known, state.versions);
    const isLoaded = (directory.getVersion(known, order.model) ?? 0) >= order.version;
    const ageMs = environment.nowMs() - loading.sinceMs;
    const isLeft = directory.get(order.replicaId) !== known;
    if (isLoaded) known.loadingUntilMs.delete(order.model);
    if (isLoaded || isLeft || ageMs > STUCK_MS || (state && !state.isBusy && ageMs > LOAD_MS * 2)) {
      environment.log.change('weights loaded', {
        replica: order.replicaId,
        model: order.model,
        version: order.version,
        isLoaded,
        isLeft,
        tookMs: Math.round(ageMs),
      });
      if (isLoaded) environment.metrics.record('weight_load', { model: order.model }, ageMs);
      this.rest(order.replicaId, 0);
      return;
    }
    setTimeout(() => this.look(known, order), LOOK_MS);
  }

  private noteVersions(
    known: directories.KnownReplica,
    versions: ReadonlyMap<string, number>,
  ): void {
    versions.forEach((version, model) => known.shownVersions.set(model, version));
  }

  private rest(replicaId: string, durationMs: number): void {
    setTimeout(() => {
      this.loading.delete(replicaId);
      this.planOrders();
    }, durationMs);
  }

  private isSingleVersion(model: string): boolean {
    const { current } = this.parts.configuration;
    const services = [...(current?.services.values() ?? [])].filter((service) =>
      service.models.includes(model),
    );
    const names = new Set(services.map((service) => service.name));
    return (current?.routes ?? []).some(
      (route) => route.isSingleVersion && route.services.some((share) => names.has(share.service)),
    );
  }

  private async step(): Promise<void> {
    await this.tendLease();
    if (this.isStopped) return;
    const isHolder = this.getFence() !== undefined;
    if (isHolder !== this.wasHolder) {
      this.wasHolder = isHolder;
      this.parts.environment.log.change(
        isHolder ? 'lease of orders taken' : 'lease of orders lost',
        {
          fence: this.lease.fence,
        },
      );
    }
    if (isHolder) this.planOrders();
    const stepMs = this.parts.leaseMs / STEPS_A_LEASE;
    const factor = isHolder ? 1 : 1 + this.parts.countLive() / MANY_GATEWAYS;
    const delayMs = stepMs * factor * (0.9 + 0.2 * this.parts.environment.random());
    this.timer = setTimeout(() => this.step(), delayMs);
  }

  private async tendLease(): Promise<void> {
    const { store, environment } = this.parts;
    const read = await store.read({ table: LEASE.table, partition: LEASE.partition });
    if (read.status !== stores.StoreStatus.Done || this.isStopped) return;
    const current = read.rows.find((row) => row.key === LEASE.key);
    const step = this.planLease(current && decodeLease(current));
    if (step.kind === 'wait') return;
    this.suspension.look();
    const sentMs = environment.nowMs();
    const outcome = await store.transact({
      conditions: [{ ...LEASE, revision: current?.revision ?? 0 }],
      writes: [{ ...LEASE, value: Buffer.from(JSON.stringify(step.row)) }],
      removals: [],
    });
    if (outcome.status !== stores.StoreStatus.Done || this.suspension.look()) return;
    this.hasHeld = true;
    this.lease.noteWritten(step.row, sentMs);
  }

  /**
   * The former process on this VM is gone for certain, so its lease need not lapse first; the
   * fence grows all the same, to tell its late orders from new ones.
   */
  private planLease(row: decisions.LeaseRow | undefined): decisions.LeaseStep {
    const step = this.lease.plan(row);
    if (this.hasHeld || step.kind === 'wait' || !row || step.row.fence > row.fence) return step;
    return { kind: 'write', row: { ...step.row, fence: row.fence + 1, renewal: 0 } };
  }
}

function decodeLease(row: stores.Row): decisions.LeaseRow | undefined {
  try {
    return JSON.parse(row.value.toString()) as decisions.LeaseRow;
  } catch {
    return undefined;
  }
}
