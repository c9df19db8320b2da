/**
 * Weight orders at a target daemon: the only way by which an order reaches the engine.
 *
 * Orders are fenced here, for engines that ignore fencing numbers. The version of a model is known
 * only after the engine confirmed a load; after a failed one it is unknown, the engine gets no
 * labelled work, and the order is given again until the engine confirms it.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import type * as storage from '@azureworks/storage';
import * as undici from 'undici';
import * as runtime from '@azureworks/runtime';
import * as leaseNames from '../core/lease-names';
import type * as states from './target-state';

/** What the weights task needs. */
export interface WeightsTaskOptions {
  readonly target: configuration.TargetSettings;
  readonly tables: storage.TableService;
  readonly state: states.TargetState;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  /** Called when the weight version became unknown in the middle of answers. */
  cutStreams(): void;
  /** Called when the versions changed. */
  announceLoad(): void;
}

const LOAD_POLL_INTERVAL_MS = 500;
const RETRY_PAUSE_MS = 300;
const LOAD_TIMEOUT_MS = 120_000;
const REPORT_TIMEOUT_MS = 2000;
const REPORT_LAG_BOUND_MS = 3000;
const OK = 200;

/** Obeys weight orders for one engine. */
export class WeightsTask implements runtime.Task {
  readonly name = 'weights';

  private readonly fence = decisions.Fence.create();

  private readonly wanted = new Map<string, links.WeightsOrder>();

  private readonly mailbox: runtime.Mailbox<string>;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  /** Since when the engine's report has differed from what was confirmed, for each model. */
  private readonly differsSinceMs = new Map<string, number>();

  /** Models whose order is being given to the engine. */
  private readonly loading = new Set<string>();

  private constructor(private readonly options: WeightsTaskOptions) {
    this.mailbox = runtime.Mailbox.create(
      (model: string) => this.obey(model),
      () => options.metrics.count('weight_order_errors'),
    );
  }

  static create(options: WeightsTaskOptions): WeightsTask {
    return new WeightsTask(options);
  }

  async start(): Promise<void> {
    this.isStopped = false;
    await this.readReport();
    this.timer = setInterval(() => {
      this.readReport().catch(() => {});
    }, LOAD_POLL_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Takes an order; older ones than the one wanted are refused. */
  take(order: links.WeightsOrder): void {
    if (order.engine !== this.options.target.service) return;
    const known = this.wanted.get(order.model);
    const isOlder =
      known &&
      (order.fence < known.fence ||
        (order.fence === known.fence && order.version <= known.version));
    if (isOlder) {
      if (order.fence < known.fence) this.options.metrics.count('weight_orders_stale');
      return;
    }
    this.wanted.set(order.model, order);
    this.mailbox.post(order.model);
  }

  private async obey(model: string): Promise<void> {
    while (!this.isStopped) {
      const order = this.wanted.get(model) as links.WeightsOrder;
      if (this.options.state.weightVersions[model] === order.version) return;
      const decision = await this.checkFence(order);
      if (decision === decisions.FenceDecision.Stale) {
        this.options.metrics.count('weight_orders_stale');
        return;
      }
      if (decision === decisions.FenceDecision.Accept && (await this.load(order))) return;
      await runtime.pause(RETRY_PAUSE_MS);
    }
  }

  private async checkFence(order: links.WeightsOrder): Promise<decisions.FenceDecision> {
    if (!this.fence.hasFloor(order.engine)) {
      const key = leaseNames.createWeightsLeaseKey(order.engine);
      const read = await this.options.tables.read<decisions.LeaseRow>(leaseNames.LEASE_TABLE, key);
      if (read.isErr()) return decisions.FenceDecision.Unready;
      this.fence.setFloor(order.engine, read.value?.value.fence ?? 0);
    }
    return this.fence.check(order.engine, order.fence);
  }

  /** Gives the order to the engine; returns whether the engine confirmed it. */
  private async load(order: links.WeightsOrder): Promise<boolean> {
    const { model, version, fence } = order;
    this.loading.add(model);
    const outcome = await this.sendOrder(model, version, fence);
    this.loading.delete(model);
    this.options.metrics.count('weight_loads', { outcome });
    const isLoaded = outcome === 'loaded';
    this.setVersion(model, isLoaded ? version : null);
    this.options.log.change('weights', { model, version, fence, outcome });
    if (!isLoaded) this.options.cutStreams();
    return isLoaded;
  }

  private async sendOrder(model: string, version: number, fence: number): Promise<string> {
    try {
      const response = await undici.request(`${this.options.target.url}/v1/weights`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ model, version, fence }),
        signal: AbortSignal.timeout(LOAD_TIMEOUT_MS),
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

  /** Compares the engine's report, which lags, with what the engine confirmed. */
  private async readReport(): Promise<void> {
    const report = await this.fetchReport();
    if (!report) return;
    const models = new Set([...Object.keys(report), ...this.wanted.keys()]);
    models.forEach((model) => {
      if (!this.loading.has(model)) this.compare(model, report[model] ?? null);
    });
  }

  private compare(model: string, reported: number | null): void {
    const { state, clock } = this.options;
    if (state.weightVersions[model] === undefined && !this.wanted.has(model)) {
      this.setVersion(model, reported);
      return;
    }
    if (state.weightVersions[model] === reported) {
      this.differsSinceMs.delete(model);
      return;
    }
    const sinceMs = this.differsSinceMs.get(model) ?? clock.nowMs();
    this.differsSinceMs.set(model, sinceMs);
    if (clock.nowMs() - sinceMs >= REPORT_LAG_BOUND_MS) this.recheck(model);
  }

  /** The engine may have lost its weights: nothing is known until it confirms them again. */
  private recheck(model: string): void {
    this.differsSinceMs.delete(model);
    this.options.metrics.count('weight_rechecks');
    this.setVersion(model, null);
    if (this.wanted.has(model)) this.mailbox.post(model);
  }

  /** Has every model confirmed again, after the connection to the engine was lost. */
  noteEngineLost(): void {
    this.wanted.forEach((_order, model) => {
      if (!this.loading.has(model)) this.recheck(model);
    });
  }

  private async fetchReport(): Promise<Record<string, number | null> | undefined> {
    try {
      const response = await undici.request(`${this.options.target.url}/v1/load`, {
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
