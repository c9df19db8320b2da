/**
 * Learns the rate limits that other gateways share, and removes the rows of limits that have ended
 * or whose replicas have left.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import type * as tableWatches from '../store/table-watch';
import type * as rowReporters from '../store/row-reporter';
import type * as environments from '../types/environment';
import type * as replicas from '../types/replica';
import type * as stores from '../types/store';
import * as limitRows from './limit-rows';
import type * as rateLimits from './rate-limits';

export interface LimitTaskOptions {
  readonly environment: environments.Environment;
  readonly limits: rateLimits.RateLimits;
  readonly reporter: Pick<rowReporters.RowReporter, 'withdraw' | 'stop'>;
  /** Whether this gateway issues the permits for a replica, and so maintains its row. */
  readonly isResponsible: (replicaId: string) => boolean;
  readonly findReplica: (replicaId: string) => replicas.Replica | undefined;
}

/** Interval between searches for rows that are no longer needed. */
const CLEANUP_INTERVAL_MS = 60_000;

/** Maintains the shared limits. */
export class LimitTask implements runtime.Task, tableWatches.TableObserver {
  readonly name = 'rate limits';

  /** The shared limits, by replica. */
  private readonly shared = new Map<string, limitRows.SharedLimit>();

  private timer: NodeJS.Timeout | undefined;

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: LimitTaskOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: LimitTaskOptions): LimitTask {
    return new LimitTask(options);
  }

  start(): Promise<void> {
    this.timer = setInterval(() => this.errors.run(() => this.cleanUp()), CLEANUP_INTERVAL_MS);
    return Promise.resolve();
  }

  stop(): Promise<void> {
    clearInterval(this.timer);
    this.options.reporter.stop();
    return Promise.resolve();
  }

  onSnapshot(rows: readonly stores.Row[]): void {
    this.shared.clear();
    this.errors.forEach(rows, (row) => this.learn(row));
  }

  onChanges(changes: readonly stores.RowChange[]): void {
    this.errors.forEach(changes, (change) => {
      if (!change.isRemoved) this.learn(change);
      else if (change.partition === limitRows.RATE_LIMIT_PARTITION) this.forget(change.key);
    });
  }

  private learn(row: stores.Row): void {
    if (row.partition !== limitRows.RATE_LIMIT_PARTITION) return;
    const limit = limitRows.decodeLimit(row);
    if (!limit) return;
    this.shared.set(row.key, limit);
    this.options.limits.learn(limit);
  }

  private forget(replicaId: string): void {
    const limit = this.shared.get(replicaId);
    this.shared.delete(replicaId);
    if (limit) this.options.limits.forget(limit.replica);
  }

  /** Removes the rows of replicas that left, were started again or name no limit any more. */
  private cleanUp(): void {
    const { limits, reporter, isResponsible, findReplica, environment } = this.options;
    const obsolete = [...this.shared.values()].filter(({ replica }) => {
      const current = findReplica(replica.id);
      const isSame = current?.bornMs === replica.bornMs && current.address === replica.address;
      return isResponsible(replica.id) && !(isSame && limits.get(replica));
    });
    if (obsolete.length === 0) return;
    reporter.withdraw(obsolete.map(({ replica }) => limitRows.locateLimit(replica.id)));
    environment.log.info('rows of rate limits removed', { rows: obsolete.length });
  }
}
