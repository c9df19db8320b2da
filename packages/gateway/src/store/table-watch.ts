/**
 * Follows the rows of a table: one full read, then changes as they happen. When the store has
 * dropped the history that is needed to go on, the table is read in full again.
 */
import type * as runtime from '@azureworks/runtime';
import * as stores from '../types/store';

/** Receives what a watch sees. */
export interface TableObserver {
  /** All rows of the table, after a full read. */
  replace(rows: readonly stores.Row[]): void;
  /** Rows that changed since. */
  change(changes: readonly stores.RowChange[]): void;
}

/** What a watch needs. */
export interface TableWatchParts {
  readonly store: stores.Store;
  readonly table: string;
  readonly observer: TableObserver;
  readonly log: runtime.Log;
  readonly pause: (durationMs: number) => Promise<void>;
  /** How many gateways follow tables of this store. */
  readonly countMembers: () => number;
}

/**
 * The shortest wait for changes. A connection that went silent is noticed after a wait, so it
 * must stay below the time in which a change must be in force (2 s on the smallest deployment).
 */
const SHORTEST_WAIT_MS = 1200;
/** The longest: a change must be in force within 7 s on the largest deployment. */
const LONGEST_WAIT_MS = 5000;
/**
 * Waits that end without a change, a second and table, over all gateways: a tenth of the 2,000
 * reads a second that the store serves on the largest deployment.
 */
const WAITS_PER_SECOND = 200;
const MILLISECONDS_PER_SECOND = 1000;
/** Pauses after failures, doubled up to the longest. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 500;

/** Follows one table. */
export class TableWatch implements runtime.Task {
  readonly name: string;

  private isStopped = false;

  private revision: number | undefined;

  private pauseMs = FIRST_PAUSE_MS;

  private constructor(private readonly parts: TableWatchParts) {
    this.name = `watch ${parts.table}`;
  }

  static create(parts: TableWatchParts): TableWatch {
    return new TableWatch(parts);
  }

  start(): Promise<void> {
    this.follow();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    return Promise.resolve();
  }

  private async follow(): Promise<void> {
    while (!this.isStopped) {
      const isDone = this.revision === undefined ? await this.readAll() : await this.wait();
      if (isDone) this.pauseMs = FIRST_PAUSE_MS;
      else {
        await this.parts.pause(this.pauseMs);
        this.pauseMs = Math.min(LONGEST_PAUSE_MS, this.pauseMs * 2);
      }
    }
  }

  private async readAll(): Promise<boolean> {
    const { store, table, observer } = this.parts;
    const outcome = await store.read({ table, partition: '' });
    if (outcome.status !== stores.StoreStatus.Done || this.isStopped) return false;
    this.revision = outcome.revision;
    observer.replace(outcome.rows);
    return true;
  }

  private async wait(): Promise<boolean> {
    const { store, table, observer, log, countMembers } = this.parts;
    const waitMs = chooseWaitMs(countMembers());
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
    if (outcome.status !== stores.StoreStatus.Done) return false;
    this.revision = Math.max(this.revision ?? 0, outcome.revision);
    if (outcome.changes.length > 0) observer.change(outcome.changes);
    return true;
  }
}

/**
 * How long a wait for changes lasts: the more gateways wait, the longer, so that all of them
 * together ask the store no more often than it can bear.
 */
export function chooseWaitMs(members: number): number {
  const sharedMs = (members / WAITS_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.min(LONGEST_WAIT_MS, Math.max(SHORTEST_WAIT_MS, sharedMs));
}
