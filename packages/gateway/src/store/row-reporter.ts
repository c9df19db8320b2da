/**
 * Writes rows that this gateway shares with the others, and removes them again.
 *
 * Load pattern: one event, such as a replica that crashes or one that names a limit, is seen in many
 * requests at once, and some of what they show is refuted a moment later. A row is therefore held
 * back for a short time, and never written if it is withdrawn meanwhile: otherwise each of these
 * requests would cost two transactions and wake the watches of all gateways twice.
 *
 * The backlog is bounded and keeps one change for each row. Changes that come together share a
 * transaction. A transaction has no conditions, so it may be repeated when its outcome is unknown.
 */
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import * as stores from '../types/store';

/** A change of one row; a row without a value is removed. */
export type RowToReport = stores.RowAddress & { readonly value?: Buffer };

export interface RowReporterOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  /** What the rows hold, for the log. */
  readonly subject: string;
  /** Name of the counter of transactions; that of dropped rows begins with it. */
  readonly metric: string;
  /** How long a row is held back. */
  readonly holdBackMs: number;
}

interface PendingChange {
  readonly change: RowToReport;
  dueMs: number;
  /** Whether a transaction with this change was sent. */
  isSent: boolean;
}

/** Rows that wait to be changed; the oldest are dropped first. */
const MAXIMUM_BACKLOG = 512;
const MAXIMUM_TRANSACTION_ROWS = 50;
/** One event shows in several requests within this time; their rows share a transaction. */
const COLLECT_MS = 5;
/** Limits of the transactions of one gateway, also of failed ones: a token bucket. */
const BURST_TRANSACTIONS = 5;
const TRANSACTION_INTERVAL_MS = 100;
/** Backoff while the store does not accept a transaction; doubles with each failure. */
const MINIMUM_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 1000;

/** Reports rows of one kind. */
export class RowReporter {
  private readonly backlog = new Map<string, PendingChange>();

  private readonly waiters = new Set<() => void>();

  private timer: NodeJS.Timeout | undefined;

  private isWriting = false;

  private isStopped = false;

  private backoffMs = MINIMUM_BACKOFF_MS;

  private notBeforeMs = -Infinity;

  private tokens = BURST_TRANSACTIONS;

  private tokensUpdatedMs = -Infinity;

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: RowReporterOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, options.subject);
  }

  static create(options: RowReporterOptions): RowReporter {
    return new RowReporter(options);
  }

  /** Writes a row soon, unless it is withdrawn before. */
  report(row: stores.RowWrite): void {
    this.add(row, this.options.holdBackMs);
  }

  /** Removes rows; those that were not written yet need no transaction. */
  withdraw(rows: readonly stores.RowAddress[]): void {
    rows.forEach((row) => {
      const pending = this.backlog.get(row.key);
      if (pending?.isSent === false) this.backlog.delete(row.key);
      else this.add(row, 0);
    });
  }

  /** Writes the whole backlog now; resolves when it is written, or after `limitMs`. */
  async flush(limitMs: number): Promise<void> {
    const nowMs = this.options.environment.nowMs();
    this.backlog.forEach((pending) => {
      pending.dueMs = Math.min(pending.dueMs, nowMs);
    });
    if (!this.hasDue()) return;
    this.schedule();
    let resume = (): void => {};
    const written = new Promise<void>((resolve) => {
      resume = resolve;
      this.waiters.add(resolve);
    });
    await Promise.race([written, this.options.environment.pause(limitMs)]);
    this.waiters.delete(resume);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.release();
  }

  private add(change: RowToReport, delayMs: number): void {
    const dueMs = this.options.environment.nowMs() + delayMs;
    this.backlog.delete(change.key);
    this.backlog.set(change.key, { change, dueMs, isSent: false });
    this.limitBacklog();
    this.schedule();
  }

  private schedule(): void {
    if (this.isWriting || this.isStopped) return;
    clearTimeout(this.timer);
    if (this.backlog.size === 0) return;
    const dueMs = Math.min(...[...this.backlog.values()].map((pending) => pending.dueMs));
    const waitMs = Math.max(dueMs, this.notBeforeMs) - this.options.environment.nowMs();
    this.timer = setTimeout(() => this.write(), Math.max(COLLECT_MS, waitMs));
  }

  private async write(): Promise<void> {
    const { nowMs, random, metrics } = this.options.environment;
    this.isWriting = true;
    const status = await this.errors.settle(() => this.writeDue(), stores.StoreStatus.Unknown);
    metrics.count(this.options.metric, { outcome: status });
    const isDone = status === stores.StoreStatus.Done;
    const backoffMs = isDone ? 0 : this.backoffMs * (0.5 + random());
    this.backoffMs = isDone ? MINIMUM_BACKOFF_MS : Math.min(MAXIMUM_BACKOFF_MS, this.backoffMs * 2);
    this.notBeforeMs = nowMs() + Math.max(backoffMs, this.takeToken());
    this.isWriting = false;
    if (!this.hasDue()) this.release();
    this.schedule();
  }

  private async writeDue(): Promise<stores.StoreStatus> {
    const nowMs = this.options.environment.nowMs();
    const due = [...this.backlog.values()]
      .filter((pending) => pending.dueMs <= nowMs)
      .slice(0, MAXIMUM_TRANSACTION_ROWS);
    if (due.length === 0) return stores.StoreStatus.Done;
    due.forEach((pending) => {
      pending.isSent = true;
    });
    const changes = due.map(({ change }) => change);
    const outcome = await this.options.store.transact({
      conditions: [],
      writes: changes.flatMap(({ value, ...row }) => (value ? [{ ...row, value }] : [])),
      removals: changes.flatMap(({ value, ...row }) => (value ? [] : [row])),
    });
    if (outcome.status === stores.StoreStatus.Done) {
      const written = due.filter((pending) => this.backlog.get(pending.change.key) === pending);
      written.forEach((pending) => this.backlog.delete(pending.change.key));
    }
    return outcome.status;
  }

  private hasDue(): boolean {
    const nowMs = this.options.environment.nowMs();
    return [...this.backlog.values()].some((pending) => pending.dueMs <= nowMs);
  }

  /** Takes a token; returns how long to wait for the next transaction, in milliseconds. */
  private takeToken(): number {
    const nowMs = this.options.environment.nowMs();
    const refill = (nowMs - this.tokensUpdatedMs) / TRANSACTION_INTERVAL_MS;
    this.tokens = Math.min(BURST_TRANSACTIONS, this.tokens + refill) - 1;
    this.tokensUpdatedMs = nowMs;
    return this.tokens >= 1 ? 0 : (1 - this.tokens) * TRANSACTION_INTERVAL_MS;
  }

  private limitBacklog(): void {
    const excess = [...this.backlog.keys()].slice(
      0,
      Math.max(0, this.backlog.size - MAXIMUM_BACKLOG),
    );
    if (excess.length === 0) return;
    excess.forEach((key) => this.backlog.delete(key));
    const { environment, metric, subject } = this.options;
    environment.metrics.count(`${metric}_dropped`, {}, excess.length);
    environment.log.warn(`${subject} dropped before it was reported`, { rows: excess.length });
  }

  private release(): void {
    this.waiters.forEach((resume) => resume());
    this.waiters.clear();
  }
}
