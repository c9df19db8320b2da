/**
 * Removes the rows of usage that are too old to be reported, and those of windows that cannot be true, while
 * this gateway holds the duty. Partitions are listed, so that rows are also found which were written late.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import type * as tenures from './tenure';
import type * as trueTimes from './true-time';
import * as usageRows from './usage-rows';
import * as usageWindows from './usage-windows';

export interface UsageCleanerOptions {
  readonly environment: environments.Environment;
  readonly store: Pick<stores.Store, 'read' | 'transact' | 'listPartitions'>;
  readonly time: Pick<trueTimes.TrueTime, 'nowMs'>;
  readonly timing: usageWindows.UsageTiming;
  readonly tenure: Pick<tenures.Tenure, 'fence'>;
}

/** Pause between two cleanings. */
const PAUSE_MS = 20_000;
/** Windows beyond those in use that are kept: the clocks of two holders differ a little. */
const MARGIN_WINDOWS = 3;
/** The store takes at most 100 rows in one transaction. */
const ROWS_PER_REMOVAL = 100;
/** Partitions removed in one cleaning, so that a backlog does not load the store. */
const MAXIMUM_PARTITIONS = 40;

/** Removes old rows. */
export class UsageCleaner implements runtime.Task {
  readonly name = 'usage cleaner';

  private readonly errors: errorGuards.ErrorGuard;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private constructor(private readonly options: UsageCleanerOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: UsageCleanerOptions): UsageCleaner {
    return new UsageCleaner(options);
  }

  start(): Promise<void> {
    this.schedule();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    return Promise.resolve();
  }

  private schedule(): void {
    const delayMs = PAUSE_MS * (0.8 + 0.4 * this.options.environment.random());
    this.timer = setTimeout(async () => {
      await this.errors.settle(() => this.clean(), undefined);
      if (!this.isStopped) this.schedule();
    }, delayMs);
  }

  private get isActive(): boolean {
    return !this.isStopped && this.options.tenure.fence !== undefined;
  }

  private async clean(): Promise<void> {
    if (!this.isActive) return;
    const { store, time, timing } = this.options;
    const outcome = await store.listPartitions(usageRows.USAGE_TABLE);
    if (outcome.status !== stores.StoreStatus.Done) return;
    const now = time.nowMs;
    const oldest = usageWindows.findOldestWindow(now, timing) - MARGIN_WINDOWS;
    const newest = usageWindows.findWindow(now, timing) + MARGIN_WINDOWS;
    const unused = outcome.partitions.filter((partition) => {
      const windowNo = usageRows.parsePartition(partition);
      return windowNo === undefined || windowNo < oldest || windowNo > newest;
    });
    for (const partition of unused.slice(0, MAXIMUM_PARTITIONS)) {
      if (this.isActive) await this.remove(partition);
    }
  }

  private async remove(partition: string): Promise<void> {
    const { store, environment } = this.options;
    const outcome = await store.read({ table: usageRows.USAGE_TABLE, partition });
    if (outcome.status !== stores.StoreStatus.Done) return;
    for (let start = 0; start < outcome.rows.length; start += ROWS_PER_REMOVAL) {
      const removals = outcome.rows.slice(start, start + ROWS_PER_REMOVAL);
      // Without an effect it is repeated by the next cleaning.
      await store.transact({ conditions: [], writes: [], removals });
    }
    environment.metrics.count('usage_windows_removed');
  }
}
