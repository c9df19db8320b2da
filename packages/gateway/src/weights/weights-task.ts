/**
 * Controller that moves replicas to the desired versions of weights. Only the gateway that holds
 * the lease sends orders; each order carries the fence of the lease.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import type * as activeConfigurations from '../configuration/active-configuration';
import * as errorGuards from '../core/error-guard';
import * as suspensionDetectors from '../core/suspension-detector';
import * as leaseRows from '../store/lease-row';
import * as oddRows from '../store/odd-rows';
import type * as environments from '../types/environment';
import * as replicas from '../types/replica';
import * as stores from '../types/store';
import type * as directories from '../replicas/directory';
import * as incarnations from '../replicas/incarnation';
import * as orderCounts from './order-counts';
import * as reportTimeLimits from './report-time-limits';
import * as weightsPlan from './weights-plan';

export interface WeightsTaskOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly configuration: activeConfigurations.ActiveConfiguration;
  readonly directory: directories.ReplicaDirectory;
  readonly replicaClient: replicas.ReplicaClient;
  readonly leaseMs: number;
  readonly countGateways: () => number;
}

/** The row of the lease under which orders are sent. */
const LEASE: stores.RowAddress = { table: 'leases', partition: 'weights', key: 'weights' };
/** Cycles per duration of the lease; each cycle renews, claims or checks the lease. */
const CYCLES_PER_LEASE = 4;
/** With this many gateways, those without the lease check it half as often. */
const GATEWAYS_TO_HALVE_CHECKS = 30;
/** Expected duration of a load. */
const EXPECTED_LOAD_MS = 950;
/**
 * How much older than its response a replica's report may be. The first poll of a loading replica comes so
 * much later than the expected end of its load: an earlier one would find it busy, and cost a connection.
 */
const REPORT_LAG_MS = 200;
/** Interval between polls of a loading replica; also the delay before a busy one is retried. */
const LOAD_POLL_INTERVAL_MS = 200;
/** An order that has not led to the version after this time is given up; a new one may follow. */
const LOAD_TIMEOUT_MS = 4000;
/** Backoff before another order to a replica that did not accept one, or another request for its report. */
const ORDER_BACKOFF_MS = 300;

interface OrderInProgress {
  readonly order: weightsPlan.PlannedOrder;
  readonly startMs: number;
}

/** Competes for the lease and sends orders while it holds it. */
export class WeightsTask implements runtime.Task {
  readonly name = 'weights';

  private readonly lease: decisions.Lease;

  private readonly suspensionDetector: suspensionDetectors.SuspensionDetector;

  private readonly ordersInProgress = new Map<string, OrderInProgress>();

  private readonly orderCounts = orderCounts.OrderCounts.create();

  private readonly reportTimeLimits = reportTimeLimits.ReportTimeLimits.create();

  /** Replicas that are asked again for a report, without which they get no order. */
  private readonly unreported = new Set<directories.TrackedReplica>();

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private wasLeaseHolder = false;

  private hadLease = false;

  private readonly errors: errorGuards.ErrorGuard;

  private readonly oddRows: oddRows.OddRows;

  private constructor(private readonly options: WeightsTaskOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
    this.oddRows = oddRows.OddRows.create(options.environment);
    const { vm, nowMs, wallClockMs } = options.environment;
    this.lease = decisions.Lease.create(vm, options.leaseMs, { nowMs });
    this.suspensionDetector = suspensionDetectors.SuspensionDetector.create(nowMs, wallClockMs);
  }

  static create(options: WeightsTaskOptions): WeightsTask {
    return new WeightsTask(options);
  }

  start(): Promise<void> {
    this.runCycle();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.lease.drop();
    return Promise.resolve();
  }

  /** Sends the orders that are due; called whenever desired versions or replicas have changed. */
  planOrders(): void {
    const fence = this.getValidFence();
    if (fence === undefined) return;
    const { directory, configuration } = this.options;
    const services = [...(configuration.current?.services.values() ?? [])];
    services
      .filter((service) => service.models.length > 0)
      .forEach((service) => {
        const desired = service.models.flatMap((model) => {
          const version = configuration.getDesiredVersion(model);
          return version === undefined ? [] : [{ model, version }];
        });
        const tracked = directory.list(service.name).filter((entry) => !this.unreported.has(entry));
        const orders = weightsPlan.planOrders(
          tracked.map((entry) => this.toWeightsReplica(entry)),
          desired,
        );
        orders.forEach((order) => this.startOrder(order, fence));
      });
  }

  private toWeightsReplica(tracked: directories.TrackedReplica): weightsPlan.WeightsReplica {
    const { directory } = this.options;
    const models = [...tracked.replica.modelVersions.keys()];
    return {
      id: tracked.replica.id,
      versions: new Map(models.map((model) => [model, directory.getVersion(tracked, model) ?? 0])),
      load: directory.getLoad(tracked),
      loading: this.ordersInProgress.get(tracked.replica.id)?.order,
    };
  }

  private getValidFence(): number | undefined {
    this.dropLeaseIfSuspended();
    return this.isStopped ? undefined : this.lease.fence;
  }

  private dropLeaseIfSuspended(): boolean {
    const wasSuspended = this.suspensionDetector.check();
    if (wasSuspended) this.lease.drop();
    return wasSuspended;
  }

  /** Sends an order; after an unexpected error a new one may follow. */
  private async startOrder(order: weightsPlan.PlannedOrder, fence: number): Promise<void> {
    const send = async (): Promise<true> => {
      await this.sendOrder(order, fence);
      return true;
    };
    if (await this.errors.settle(send, false)) return;
    this.endOrderAfter(order.replicaId, ORDER_BACKOFF_MS);
  }

  private async sendOrder(order: weightsPlan.PlannedOrder, fence: number): Promise<void> {
    const { environment, directory, replicaClient } = this.options;
    const tracked = directory.get(order.replicaId);
    if (!tracked) return;
    const startMs = environment.nowMs();
    this.ordersInProgress.set(order.replicaId, { order, startMs });
    const key = incarnations.createIncarnationKey(tracked.replica);
    const knownCount = this.orderCounts.find(key, fence);
    // Each report takes a connection of its own, so it is left out where its answer is known already.
    const state = knownCount === undefined ? await this.fetchReport(tracked, fence) : undefined;
    const acceptedOrders = knownCount ?? state?.acceptedOrders;
    if (acceptedOrders === undefined) {
      this.unreported.add(tracked);
      this.endOrderAfter(order.replicaId, 0);
      setTimeout(() => this.askAgain(tracked), ORDER_BACKOFF_MS);
      return;
    }
    const held = directory.getVersion(tracked, order.model) ?? 0;
    const isNeeded = held < order.version && !state?.isBusy;
    if (!isNeeded || this.getValidFence() !== fence) {
      this.endOrderAfter(order.replicaId, state?.isBusy ? LOAD_POLL_INTERVAL_MS : 0);
      return;
    }
    const status = await replicaClient.order(
      tracked.replica,
      {
        ...order,
        waitsForRunningRequests: this.isSingleVersion(order.model),
        holder: environment.vm,
        fence,
        acceptedOrders,
      },
      this.reportTimeLimits.get(key),
    );
    this.orderCounts.recordOrder(key, fence, { acceptedOrders, status });
    environment.metrics.count('weight_orders', { outcome: status });
    environment.log.info('weights ordered', {
      replica: order.replicaId,
      model: order.model,
      version: order.version,
      held,
      fence,
      acceptedOrders,
      hasReport: state !== undefined,
      outcome: status,
      tookMs: Math.round(environment.nowMs() - startMs),
    });
    this.handleOrderStatus(tracked, order, status, startMs);
  }

  private handleOrderStatus(
    tracked: directories.TrackedReplica,
    order: weightsPlan.PlannedOrder,
    status: replicas.OrderStatus,
    startMs: number,
  ): void {
    const { OrderStatus } = replicas;
    if (status === OrderStatus.Accepted) {
      const untilMs = this.options.environment.nowMs() + EXPECTED_LOAD_MS;
      tracked.loadingUntilMs.set(order.model, untilMs);
      setTimeout(() => this.poll(tracked, order), EXPECTED_LOAD_MS + REPORT_LAG_MS);
      return;
    }
    if (status === OrderStatus.AlreadyHolds) {
      this.options.directory.recordVersion(tracked, order.model, order.version, startMs);
      this.endOrderAfter(order.replicaId, 0);
      return;
    }
    if (status === OrderStatus.Fenced) this.lease.drop();
    if (status === OrderStatus.Unknown)
      setTimeout(() => this.poll(tracked, order), EXPECTED_LOAD_MS + REPORT_LAG_MS);
    else this.endOrderAfter(order.replicaId, ORDER_BACKOFF_MS);
  }

  /** Asks a replica for its report until it gives one, and can get orders again. */
  private async askAgain(tracked: directories.TrackedReplica): Promise<void> {
    const fence = this.getValidFence();
    const isGone = this.options.directory.get(tracked.replica.id) !== tracked;
    const ask = (): Promise<boolean> =>
      this.fetchReport(tracked, fence).then((state) => state !== undefined);
    const isDone = fence === undefined || isGone || (await this.errors.settle(ask, false));
    if (!isDone) {
      setTimeout(() => this.askAgain(tracked), ORDER_BACKOFF_MS);
      return;
    }
    this.unreported.delete(tracked);
    this.errors.run(() => this.planOrders());
  }

  /** Asks a loading replica whether it has loaded the ordered version. */
  private async poll(
    tracked: directories.TrackedReplica,
    order: weightsPlan.PlannedOrder,
  ): Promise<void> {
    const ask = async (): Promise<true> => {
      await this.pollOnce(tracked, order);
      return true;
    };
    if (await this.errors.settle(ask, false)) return;
    this.endOrderAfter(order.replicaId, ORDER_BACKOFF_MS);
  }

  private async pollOnce(
    tracked: directories.TrackedReplica,
    order: weightsPlan.PlannedOrder,
  ): Promise<void> {
    const { environment, directory } = this.options;
    const loading = this.ordersInProgress.get(order.replicaId);
    if (!loading || this.isStopped) return;
    const state = await this.fetchReport(tracked, this.getValidFence());
    const isLoaded = (directory.getVersion(tracked, order.model) ?? 0) >= order.version;
    const ageMs = environment.nowMs() - loading.startMs;
    const isGone = directory.get(order.replicaId) !== tracked;
    if (isLoaded) tracked.loadingUntilMs.delete(order.model);
    if (
      isLoaded ||
      isGone ||
      ageMs > LOAD_TIMEOUT_MS ||
      (state && !state.isBusy && ageMs > EXPECTED_LOAD_MS * 2)
    ) {
      environment.log.info('weights loaded', {
        replica: order.replicaId,
        model: order.model,
        version: order.version,
        isLoaded,
        isLeft: isGone,
        tookMs: Math.round(ageMs),
      });
      if (isLoaded) environment.metrics.record('weight_load', { model: order.model }, ageMs);
      this.endOrderAfter(order.replicaId, 0);
      return;
    }
    setTimeout(() => this.poll(tracked, order), LOAD_POLL_INTERVAL_MS);
  }

  /** @param fence under which the next order to the replica will be sent; undefined: none */
  private async fetchReport(
    tracked: directories.TrackedReplica,
    fence: number | undefined,
  ): Promise<replicas.ReplicaReport | undefined> {
    const { replicaClient, environment, directory } = this.options;
    const key = incarnations.createIncarnationKey(tracked.replica);
    const startMs = environment.nowMs();
    const state = await replicaClient.fetchReport(tracked.replica, this.reportTimeLimits.get(key));
    const tookMs = Math.round(environment.nowMs() - startMs);
    this.reportTimeLimits.record(key, state !== undefined, tookMs);
    environment.metrics.count('weight_reports', { isAnswered: String(state !== undefined) });
    if (!state) {
      environment.log.info('no report of a replica', { replica: tracked.replica.id, tookMs });
      return undefined;
    }
    state.versions.forEach((version, model) =>
      directory.recordVersion(tracked, model, version, startMs - REPORT_LAG_MS),
    );
    if (fence !== undefined && !state.isBusy) {
      this.orderCounts.recordReport(key, fence, state.acceptedOrders);
    }
    return state;
  }

  private endOrderAfter(replicaId: string, delayMs: number): void {
    setTimeout(() => {
      this.ordersInProgress.delete(replicaId);
      this.errors.run(() => this.planOrders());
    }, delayMs);
  }

  private isSingleVersion(model: string): boolean {
    const { current } = this.options.configuration;
    const services = [...(current?.services.values() ?? [])].filter((service) =>
      service.models.includes(model),
    );
    const names = new Set(services.map((service) => service.name));
    return (current?.routes ?? []).some(
      (route) => route.isSingleVersion && route.services.some((share) => names.has(share.service)),
    );
  }

  private async runCycle(): Promise<void> {
    await this.errors.settle(() => this.renewOrClaimLease(), undefined);
    if (this.isStopped) return;
    const isLeaseHolder = this.getValidFence() !== undefined;
    if (isLeaseHolder !== this.wasLeaseHolder) {
      this.wasLeaseHolder = isLeaseHolder;
      this.options.environment.log.info(
        isLeaseHolder ? 'lease of orders taken' : 'lease of orders lost',
        {
          fence: this.lease.fence,
        },
      );
    }
    if (isLeaseHolder) this.errors.run(() => this.planOrders());
    const cycleMs = this.options.leaseMs / CYCLES_PER_LEASE;
    const factor = isLeaseHolder ? 1 : 1 + this.options.countGateways() / GATEWAYS_TO_HALVE_CHECKS;
    const delayMs = cycleMs * factor * (0.9 + 0.2 * this.options.environment.random());
    this.timer = setTimeout(() => this.runCycle(), delayMs);
  }

  private async renewOrClaimLease(): Promise<void> {
    const { store, environment } = this.options;
    const read = await store.read({ table: LEASE.table, partition: LEASE.partition });
    if (read.status !== stores.StoreStatus.Done || this.isStopped) return;
    const current = read.rows.find((row) => row.key === LEASE.key);
    const step = this.planLease(current && this.decode(current));
    if (step.kind === 'wait') return;
    this.dropLeaseIfSuspended();
    const sentMs = environment.nowMs();
    const outcome = await store.transact({
      conditions: [{ ...LEASE, revision: current?.revision ?? 0 }],
      writes: [{ ...LEASE, value: Buffer.from(JSON.stringify(step.row)) }],
      removals: [],
    });
    if (this.dropLeaseIfSuspended() || outcome.status !== stores.StoreStatus.Done) return;
    this.hadLease = true;
    this.lease.recordWrite(step.row, sentMs);
  }

  private decode(row: stores.Row): decisions.LeaseRow {
    const lease = leaseRows.decodeLease(row);
    if (lease) return lease;
    this.oddRows.report(row, 'the lease of orders has to expire');
    return leaseRows.createUnknownLease(row);
  }

  /**
   * A lease held by the former process on this VM need not expire first, as that process is
   * certainly gone. The fence still increases, so that its delayed orders are rejected.
   */
  private planLease(row: decisions.LeaseRow | undefined): decisions.LeaseAction {
    const step = this.lease.plan(row);
    if (this.hadLease || step.kind === 'wait' || !row || step.row.fence > row.fence) return step;
    return { kind: 'write', row: { ...step.row, fence: row.fence + 1, renewal: 0 } };
  }
}
