/**
 * Writes evidence to the store, and removes it when the request was answered.
 *
 * The backlog is bounded and keeps one change for each row. Changes that come together share a
 * transaction. A transaction has no conditions, so it may be repeated when its outcome is unknown.
 */
import type * as environments from '../types/environment';
import * as stores from '../types/store';

/** A change of one row; a row without a value is removed. */
export type EvidenceChange = stores.RowAddress & { readonly value?: Buffer };

export interface EvidenceReporterOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
}

/** Rows that wait to be changed; the oldest are dropped first. */
const MAXIMUM_BACKLOG = 512;
const MAXIMUM_TRANSACTION_ROWS = 50;
/** One crash breaks off several requests within this time; their rows share a transaction. */
const COLLECT_MS = 5;
/** Limits of the transactions of one gateway, also of failed ones: a token bucket. */
const BURST_TRANSACTIONS = 5;
const TRANSACTION_INTERVAL_MS = 100;
/** Backoff while the store does not accept a transaction; doubles with each failure. */
const MINIMUM_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 1000;

/** Reports evidence of this gateway. */
export class EvidenceReporter {
  private readonly backlog = new Map<string, EvidenceChange>();

  private readonly waiters = new Set<() => void>();

  private isRunning = false;

  private tokens = BURST_TRANSACTIONS;

  private tokensUpdatedMs = -Infinity;

  private isStopped = false;

  private constructor(private readonly options: EvidenceReporterOptions) {}

  static create(options: EvidenceReporterOptions): EvidenceReporter {
    return new EvidenceReporter(options);
  }

  enqueue(changes: readonly EvidenceChange[]): void {
    changes.forEach((change) => {
      this.backlog.delete(change.key);
      this.backlog.set(change.key, change);
    });
    this.limitBacklog();
    if (this.backlog.size > 0 && !this.isRunning) this.run();
  }

  /** Waits until the backlog has been written, or for `limitMs`. */
  async settle(limitMs: number): Promise<void> {
    if (this.backlog.size === 0) return;
    let resume = (): void => {};
    const settled = new Promise<void>((resolve) => {
      resume = resolve;
      this.waiters.add(resolve);
    });
    await Promise.race([settled, this.options.environment.pause(limitMs)]);
    this.waiters.delete(resume);
  }

  stop(): void {
    this.isStopped = true;
    this.release();
  }

  private async run(): Promise<void> {
    const { pause, random, metrics } = this.options.environment;
    this.isRunning = true;
    let backoffMs = MINIMUM_BACKOFF_MS;
    while (this.backlog.size > 0 && !this.isStopped) {
      await pause(Math.max(COLLECT_MS, this.takeToken()));
      const status = await this.writeNext();
      metrics.count('quarantine_reports', { outcome: status });
      if (this.backlog.size === 0) this.release();
      if (status === stores.StoreStatus.Done) backoffMs = MINIMUM_BACKOFF_MS;
      else {
        await pause(backoffMs * (0.5 + random()));
        backoffMs = Math.min(MAXIMUM_BACKOFF_MS, backoffMs * 2);
      }
    }
    this.isRunning = false;
  }

  /** Takes a token; returns how long to wait until it is there, in milliseconds. */
  private takeToken(): number {
    const nowMs = this.options.environment.nowMs();
    const refill = (nowMs - this.tokensUpdatedMs) / TRANSACTION_INTERVAL_MS;
    this.tokens = Math.min(BURST_TRANSACTIONS, this.tokens + refill) - 1;
    this.tokensUpdatedMs = nowMs;
    return this.tokens >= 0 ? 0 : -this.tokens * TRANSACTION_INTERVAL_MS;
  }

  private async writeNext(): Promise<stores.StoreStatus> {
    const changes = [...this.backlog.values()].slice(0, MAXIMUM_TRANSACTION_ROWS);
    const outcome = await this.options.store.transact({
      conditions: [],
      writes: changes.flatMap(({ value, ...row }) => (value ? [{ ...row, value }] : [])),
      removals: changes.flatMap(({ value, ...row }) => (value ? [] : [row])),
    });
    if (outcome.status === stores.StoreStatus.Done) {
      const written = changes.filter((change) => this.backlog.get(change.key) === change);
      written.forEach((change) => this.backlog.delete(change.key));
    }
    return outcome.status;
  }

  private limitBacklog(): void {
    const excess = [...this.backlog.keys()].slice(
      0,
      Math.max(0, this.backlog.size - MAXIMUM_BACKLOG),
    );
    if (excess.length === 0) return;
    excess.forEach((key) => this.backlog.delete(key));
    const { log, metrics } = this.options.environment;
    metrics.count('quarantine_reports_dropped', {}, excess.length);
    log.warn('evidence dropped before it was reported', { rows: excess.length });
  }

  private release(): void {
    this.waiters.forEach((resume) => resume());
    this.waiters.clear();
  }
}
