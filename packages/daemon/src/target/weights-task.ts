/**
 * Applies weight orders to the engine of a target daemon. No order reaches the engine by another
 * way.
 *
 * Fencing numbers are checked here, because some engines ignore them. The weight version of a model
 * is known only after the engine confirmed a load. After a failed load it is unknown: the engine
 * gets no work that must be labelled with a version, and the order is sent again until the engine
 * confirms it.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import type * as storage from '@azureworks/storage';
import * as undici from 'undici';
import * as runtime from '@azureworks/runtime';
import * as leaseNames from '../core/lease-names';
import type * as states from './target-state';

export interface WeightsTaskOptions {
  readonly target: configuration.TargetSettings;
  readonly tables: storage.TableService;
  readonly state: states.TargetState;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  /** Breaks off the responses in flight; called when the weight version became unknown. */
  abortStreams(): void;
  /** Sends a load report to the entries; called when a weight version changed. */
  announceLoad(): void;
}

const REPORT_POLL_INTERVAL_MS = 500;
const RETRY_BACKOFF_MS = 300;
const WEIGHT_LOAD_TIMEOUT_MS = 120_000;
const REPORT_TIMEOUT_MS = 2000;
const MAXIMUM_REPORT_LAG_MS = 3000;
const OK = 200;

/** Applies weight orders to one engine. */
export class WeightsTask implements runtime.Task {
  readonly name = 'weights';

  private readonly fence = decisions.Fence.create();

  private readonly latestOrders = new Map<string, links.WeightsOrder>();

  private readonly mailbox: runtime.Mailbox<string>;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  /** For each model, since when the engine's report has differed from the confirmed version. */
  private readonly mismatchSinceMs = new Map<string, number>();

  /** Models for which a load is in progress at the engine. */
  private readonly loadingModels = new Set<string>();

  private constructor(private readonly options: WeightsTaskOptions) {
    this.mailbox = runtime.Mailbox.create(
      (model: string) => this.applyLatestOrder(model),
      () => options.metrics.count('weight_order_errors'),
    );
  }

  static create(options: WeightsTaskOptions): WeightsTask {
    return new WeightsTask(options);
  }

  async start(): Promise<void> {
    this.isStopped = false;
    await this.checkReport();
    this.timer = setInterval(() => {
      this.checkReport().catch(() => {});
    }, REPORT_POLL_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Receives an order; ignores it unless it is newer than the latest one for its model. */
  receive(order: links.WeightsOrder): void {
    if (order.engine !== this.options.target.service) return;
    const latest = this.latestOrders.get(order.model);
    const isOlder =
      latest &&
      (order.fence < latest.fence ||
        (order.fence === latest.fence && order.version <= latest.version));
    if (isOlder) {
      if (order.fence < latest.fence) this.options.metrics.count('weight_orders_stale');
      return;
    }
    this.latestOrders.set(order.model, order);
    this.mailbox.post(order.model);
  }

  private async applyLatestOrder(model: string): Promise<void> {
    while (!this.isStopped) {
      const order = this.latestOrders.get(model) as links.WeightsOrder;
      if (this.options.state.weightVersions[model] === order.version) return;
      const decision = await this.checkFence(order);
      if (decision === decisions.FenceDecision.Stale) {
        this.options.metrics.count('weight_orders_stale');
        return;
      }
      if (decision === decisions.FenceDecision.Accept && (await this.load(order))) return;
      await runtime.pause(RETRY_BACKOFF_MS);
    }
  }

  private async checkFence(order: links.WeightsOrder): Promise<decisions.FenceDecision> {
    if (!this.fence.hasToken(order.engine)) {
      const key = leaseNames.createWeightsLeaseKey(order.engine);
      const read = await this.options.tables.read<decisions.LeaseRow>(leaseNames.LEASE_TABLE, key);
      if (read.isErr()) return decisions.FenceDecision.Unready;
      this.fence.recordToken(order.engine, read.value?.value.fence ?? 0);
    }
    return this.fence.check(order.engine, order.fence);
  }

  /** Sends the order to the engine; returns whether the engine confirmed the load. */
  private async load(order: links.WeightsOrder): Promise<boolean> {
    const { model, version, fence } = order;
    this.loadingModels.add(model);
    const outcome = await this.sendOrder(model, version, fence);
    this.loadingModels.delete(model);
    this.options.metrics.count('weight_loads', { outcome });
    const isLoaded = outcome === 'loaded';
    this.setVersion(model, isLoaded ? version : null);
    this.options.log.info('weights', { model, version, fence, outcome });
    if (!isLoaded) this.options.abortStreams();
    return isLoaded;
  }

  // Neither answer carries an id, so each has a connection of its own: a late copy of one would pass
  // for the other.
  private async sendOrder(model: string, version: number, fence: number): Promise<string> {
    try {
      const response = await undici.request(`${this.options.target.url}/v1/weights`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ model, version, fence }),
        reset: true,
        signal: AbortSignal.timeout(WEIGHT_LOAD_TIMEOUT_MS),
      });
      await response.body.dump();
      return response.statusCode === OK ? 'loaded' : 'failed';
    } catch {
      return 'unknown';
    }
  }

  private setVersion(model: string, version: number | null): void {
    const { state } = this.options;
    state.weightVersions = { ...state.weightVersions, [model]: version };
    this.options.announceLoad();
  }

  /** Compares the versions in the engine's report, which lags, with the confirmed versions. */
  private async checkReport(): Promise<void> {
    const report = await this.fetchReport();
    if (!report) return;
    const models = new Set([...Object.keys(report), ...this.latestOrders.keys()]);
    models.forEach((model) => {
      if (!this.loadingModels.has(model)) this.compareVersion(model, report[model] ?? null);
    });
  }

  private compareVersion(model: string, reported: number | null): void {
    const { state, clock } = this.options;
    if (state.weightVersions[model] === undefined && !this.latestOrders.has(model)) {
      this.setVersion(model, reported);
      return;
    }
    if (state.weightVersions[model] === reported) {
      this.mismatchSinceMs.delete(model);
      return;
    }
    const sinceMs = this.mismatchSinceMs.get(model) ?? clock.nowMs();
    this.mismatchSinceMs.set(model, sinceMs);
    if (clock.nowMs() - sinceMs >= MAXIMUM_REPORT_LAG_MS) this.recheck(model);
  }

  /** The engine may have lost its weights: the version is unknown until it confirms a load again. */
  private recheck(model: string): void {
    this.mismatchSinceMs.delete(model);
    this.options.metrics.count('weight_rechecks');
    this.setVersion(model, null);
    if (this.latestOrders.has(model)) this.mailbox.post(model);
  }

  /** Has the engine load every ordered model again, after a connection to it failed. */
  onEngineLost(): void {
    this.latestOrders.forEach((_order, model) => {
      if (!this.loadingModels.has(model)) this.recheck(model);
    });
  }

  private async fetchReport(): Promise<Record<string, number | null> | undefined> {
    try {
      const response = await undici.request(`${this.options.target.url}/v1/load`, {
        reset: true,
        signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
      });
      const report = (await response.body.json()) as {
        weight_versions?: Record<string, number | null>;
      };
      return report.weight_versions;
    } catch {
      return undefined;
    }
  }
}
