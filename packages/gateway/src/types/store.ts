/**
 * The transactional row store as the gateway sees it: rows addressed by table, partition and key,
 * changed under conditions on their revisions. Every call ends with an outcome that says whether
 * it took effect; nothing throws.
 */

/** Where a row is. */
export interface RowAddress {
  readonly table: string;
  /** Transactions are atomic within one partition. */
  readonly partition: string;
  readonly key: string;
}

/** A row as read. */
export interface Row extends RowAddress {
  readonly value: Buffer;
  /** Grows with every transaction of the store. */
  readonly revision: number;
}

/** A row that a transaction requires in a certain revision; 0 requires that it does not exist. */
export interface RowCondition extends RowAddress {
  readonly revision: number;
}

/** A row that a transaction writes. */
export interface RowWrite extends RowAddress {
  readonly value: Buffer;
}

/** A change of rows in one partition, applied whole or not at all. */
export interface Transaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
  readonly removals: readonly RowAddress[];
}

/** How a store call ended. */
export const StoreStatus = {
  Done: 'done',
  /** A condition did not hold; nothing was changed. */
  Conflict: 'conflict',
  /** Nothing was done. */
  NotDone: 'not-done',
  /** Without an answer: the call may have taken effect, or may still. */
  Unknown: 'unknown',
  /** The history asked for is no longer kept (only feeds). */
  HistoryLost: 'history-lost',
} as const;
export type StoreStatus = (typeof StoreStatus)[keyof typeof StoreStatus];

/** A store call that did not succeed for lack of an answer or by the store's refusal. */
export interface StoreFailure {
  readonly status: typeof StoreStatus.NotDone | typeof StoreStatus.Unknown;
  readonly reason: string;
}

/** The outcome of a transaction. */
export type TransactionOutcome =
  | { readonly status: typeof StoreStatus.Done; readonly revision: number }
  | { readonly status: typeof StoreStatus.Conflict; readonly rows: readonly Row[] }
  | StoreFailure;

/** Which rows a read returns: keys from `from` (included) to `to` (excluded). */
export interface RowRange {
  readonly table: string;
  readonly partition: string;
  readonly from?: string;
  readonly to?: string;
}

/** The outcome of a read; the rows are those of one moment. */
export type ReadOutcome =
  | {
      readonly status: typeof StoreStatus.Done;
      readonly rows: readonly Row[];
      readonly revision: number;
    }
  | StoreFailure;

/** The outcome of listing partitions. */
export type PartitionsOutcome =
  | { readonly status: typeof StoreStatus.Done; readonly partitions: readonly string[] }
  | StoreFailure;

/** A row that changed. */
export interface RowChange extends Row {
  readonly isRemoved: boolean;
}

/** The outcome of waiting for changes. */
export type ChangesOutcome =
  | {
      readonly status: typeof StoreStatus.Done;
      readonly changes: readonly RowChange[];
      /** Where to go on. */
      readonly revision: number;
    }
  | { readonly status: typeof StoreStatus.HistoryLost }
  | StoreFailure;

/** The row store. */
export interface Store {
  transact(transaction: Transaction): Promise<TransactionOutcome>;
  read(range: RowRange): Promise<ReadOutcome>;
  /** All partitions of a table that hold a row. */
  listPartitions(table: string): Promise<PartitionsOutcome>;
  /** Waits up to `waitMs` for changes of a table after a revision. */
  waitForChanges(table: string, afterRevision: number, waitMs: number): Promise<ChangesOutcome>;
  /** The store's steady clock in milliseconds, as far as answers have told it. */
  readonly nowMs: number;
}
