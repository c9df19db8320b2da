/**
 * Watches a table: one full read, then the changes as they happen. When the store no longer has the
 * history that is needed to continue, the table is read in full again; so it is when an observer fails
 * to take in changes.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import * as stores from '../types/store';
import * as sharedCalls from './shared-call';

/** Receives the rows and changes of a watched table. */
export interface TableObserver {
  /** All rows of the table, after a full read. */
  onSnapshot(rows: readonly stores.Row[]): void;
  /** Rows that changed since the last call. */
  onChanges(changes: readonly stores.RowChange[]): void;
}

/**
 * Passes everything on to several observers, in this order. The error of one is thrown when all others
 * have had their turn.
 */
export function combineObservers(observers: readonly TableObserver[]): TableObserver {
  const notifyAll = (notify: (observer: TableObserver) => void): void => {
    const errors: unknown[] = [];
    observers.forEach((observer) => {
      try {
        notify(observer);
      } catch (error) {
        errors.push(error);
      }
    });
    if (errors.length > 0) throw new AggregateError(errors, 'an observer of a table failed');
  };
  return {
    onSnapshot: (rows) => notifyAll((observer) => observer.onSnapshot(rows)),
    onChanges: (changes) => notifyAll((observer) => observer.onChanges(changes)),
  };
}

export interface TableWatchOptions {
  readonly store: stores.Store;
  readonly table: string;
  /** The partitions that are read in full; the changes are those of all partitions. */
  readonly partitions?: readonly string[];
  readonly observer: TableObserver;
  readonly log: runtime.Log;
  readonly nowMs: () => number;
  readonly metrics?: runtime.Metrics;
  readonly pause: (durationMs: number) => Promise<void>;
  /** The number of gateways that watch tables of this store. */
  readonly countGateways: () => number;
  readonly confirmation?: TableConfirmation;
}

/** Learns when the table was known in full. */
export interface TableConfirmation {
  /** The longest wait for changes; undefined when nothing limits it. */
  readonly maximumWaitMs: number | undefined;
  /**
   * Called before a read is sent.
   * @returns called when the observer has taken in what the read returned
   */
  begin(): () => void;
}

/**
 * A dead connection is detected only when a wait ends. The shortest wait must therefore stay below
 * the time within which a change must be in force, which is 2 s on the smallest deployment.
 */
const MINIMUM_WAIT_MS = 1200;
/** A change must be in force within 7 s on the largest deployment. */
const MAXIMUM_WAIT_MS = 5000;
/**
 * Limit for waits that end without a change, per table over all gateways: a tenth of the 2,000
 * reads per second that the store serves on the largest deployment.
 */
const MAXIMUM_WAITS_PER_SECOND = 200;
const MILLISECONDS_PER_SECOND = 1000;
/**
 * The shortest time between two reads of the changes up to now, and what each gateway adds to it: all
 * of them together make at most a fifth of the 2,000 reads per second that the store serves.
 */
const MINIMUM_CATCH_UP_INTERVAL_MS = 100;
const CATCH_UP_INTERVAL_PER_GATEWAY_MS = 2.5;
/** Backoff after failures; doubles with each failure. */
const MINIMUM_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 500;

/** Watches one table. */
export class TableWatch implements runtime.Task {
  readonly name: string;

  private isStopped = false;

  private revision: number | undefined;

  private backoffMs = MINIMUM_BACKOFF_MS;

  private readonly errors: errorGuards.ErrorGuard;

  private readonly catchUps: sharedCalls.SharedCall<boolean>;

  private constructor(private readonly options: TableWatchOptions) {
    this.name = `watch ${options.table}`;
    this.catchUps = sharedCalls.SharedCall.create({
      clock: options,
      call: () => this.readNewChanges(),
      getIntervalMs: () => chooseCatchUpIntervalMs(options.countGateways()),
    });
    this.errors = errorGuards.ErrorGuard.create(options, this.name);
  }

  static create(options: TableWatchOptions): TableWatch {
    return new TableWatch(options);
  }

  start(): Promise<void> {
    this.run();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    return Promise.resolve();
  }

  /**
   * Passes everything on that the table held when this was called; returns whether that was possible.
   * The wait that is in flight cannot tell: as long as it is not answered, the store may be cut off.
   */
  catchUp(): Promise<boolean> {
    return this.catchUps.request();
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const isDone = await this.errors.settle(
        () => (this.revision === undefined ? this.readTable() : this.readChanges()),
        false,
      );
      if (isDone) this.backoffMs = MINIMUM_BACKOFF_MS;
      else {
        await this.options.pause(this.backoffMs);
        this.backoffMs = Math.min(MAXIMUM_BACKOFF_MS, this.backoffMs * 2);
      }
    }
  }

  private async readTable(): Promise<boolean> {
    const { store, table, partitions = [''], observer } = this.options;
    const confirm = this.options.confirmation?.begin();
    const rows: stores.Row[] = [];
    let revision = Infinity;
    for (const partition of partitions) {
      const outcome = await store.read({ table, partition });
      if (outcome.status !== stores.StoreStatus.Done || this.isStopped) return false;
      rows.push(...outcome.rows);
      // The changes between two reads are seen again, which does no harm.
      revision = Math.min(revision, outcome.revision);
    }
    this.revision = revision;
    // Reading the table again at once would meet the same rows, so the watch goes on with the changes.
    if (this.errors.run(() => observer.onSnapshot(rows))) confirm?.();
    return true;
  }

  private async readChanges(): Promise<boolean> {
    const { store, table, log, countGateways } = this.options;
    const maximumWaitMs = this.options.confirmation?.maximumWaitMs ?? Infinity;
    const waitMs = Math.min(maximumWaitMs, chooseWaitMs(countGateways()));
    const confirm = this.options.confirmation?.begin();
    const outcome = await store.waitForChanges(table, this.revision ?? 0, waitMs);
    if (this.isStopped) return false;
    if (outcome.status === stores.StoreStatus.HistoryLost) {
      log.warn('history of a table was dropped, reading it in full', {
        table,
        afterRevision: this.revision,
      });
      this.revision = undefined;
      return true;
    }
    if (outcome.status !== stores.StoreStatus.Done || this.revision === undefined) return false;
    return this.apply(outcome, this.revision, confirm);
  }

  private async readNewChanges(): Promise<boolean> {
    const { store, table } = this.options;
    if (this.revision === undefined || this.isStopped) return false;
    const confirm = this.options.confirmation?.begin();
    const outcome = await store.waitForChanges(table, this.revision, 0);
    // Without its history, or while it is read in full, the table is known only after that read.
    if (outcome.status !== stores.StoreStatus.Done || this.revision === undefined) return false;
    return this.apply(outcome, this.revision, confirm);
  }

  /** Returns false when the observer missed some of the changes, which it learns from the table. */
  private apply(
    { changes, revision }: ReadChanges,
    knownRevision: number,
    confirm: (() => void) | undefined,
  ): boolean {
    // Two reads of changes may overlap; what the later one told includes the earlier one.
    const isNew = revision > knownRevision;
    if (isNew) this.revision = revision;
    if (!isNew || changes.length === 0 || this.takeIn(changes)) {
      confirm?.();
      return true;
    }
    this.revision = undefined;
    return false;
  }

  private takeIn(changes: readonly stores.RowChange[]): boolean {
    return this.errors.run(() => this.options.observer.onChanges(changes));
  }
}

type ReadChanges = Extract<stores.ChangesOutcome, { readonly status: 'done' }>;

/**
 * The length of a wait for changes. It grows with the number of gateways, to keep the total rate of
 * their reads within what the store can serve.
 */
export function chooseWaitMs(gateways: number): number {
  const rateLimitedWaitMs = (gateways / MAXIMUM_WAITS_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.min(MAXIMUM_WAIT_MS, Math.max(MINIMUM_WAIT_MS, rateLimitedWaitMs));
}

/** The shortest time between two reads of the changes up to now. */
export function chooseCatchUpIntervalMs(gateways: number): number {
  return Math.max(MINIMUM_CATCH_UP_INTERVAL_MS, gateways * CATCH_UP_INTERVAL_PER_GATEWAY_MS);
}
