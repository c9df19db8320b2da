/**
 * Interface of the transactional row store. Rows are addressed by table, partition and key, and
 * changed under conditions on their revisions. Every call resolves to an outcome that says whether
 * it took effect; no call throws.
 */

/** Identifies a row. */
export interface RowAddress {
  readonly table: string;
  /** Transactions are atomic within one partition. */
  readonly partition: string;
  readonly key: string;
}

/** A row as read. */
export interface Row extends RowAddress {
  readonly value: Buffer;
  /** Increases with every transaction of the store. */
  readonly revision: number;
}

/** Requires that a row has a certain revision; 0 requires that it does not exist. */
export interface RowCondition extends RowAddress {
  readonly revision: number;
}

/** A row and the value that a transaction writes to it. */
export interface RowWrite extends RowAddress {
  readonly value: Buffer;
}

/** Changes to rows of one partition, applied atomically. */
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
  /** The call certainly had no effect. */
  NotDone: 'not-done',
  /** No answer: the call may have taken effect, or may still do so. */
  Unknown: 'unknown',
  /** The store no longer keeps the requested history (`waitForChanges` only). */
  HistoryLost: 'history-lost',
} as const;
export type StoreStatus = (typeof StoreStatus)[keyof typeof StoreStatus];

/** The outcome of a call that the store refused or did not answer. */
export interface StoreFailure {
  readonly status: typeof StoreStatus.NotDone | typeof StoreStatus.Unknown;
  readonly reason: string;
}

/** The outcome of a transaction. */
export type TransactionOutcome =
  | { readonly status: typeof StoreStatus.Done; readonly revision: number }
  | { readonly status: typeof StoreStatus.Conflict; readonly rows: readonly Row[] }
  | StoreFailure;

/** Which rows a read returns: keys from `from` (inclusive) to `to` (exclusive). */
export interface RowRange {
  readonly table: string;
  readonly partition: string;
  readonly from?: string;
  readonly to?: string;
  /** How many of the first rows to read at most; the store may return fewer. */
  readonly maximumRows?: number;
}

/** The outcome of a read; the rows are a consistent snapshot. */
export type ReadOutcome =
  | {
      readonly status: typeof StoreStatus.Done;
      readonly rows: readonly Row[];
      readonly revision: number;
      /** Whether the range has further rows, as `maximumRows` limited the read. */
      readonly hasMore?: boolean;
    }
  | StoreFailure;

/** The outcome of listing partitions. */
export type PartitionsOutcome =
  | { readonly status: typeof StoreStatus.Done; readonly partitions: readonly string[] }
  | StoreFailure;

/** A row that was written or removed. */
export interface RowChange extends Row {
  readonly isRemoved: boolean;
}

/** The outcome of waiting for changes. */
export type ChangesOutcome =
  | {
      readonly status: typeof StoreStatus.Done;
      readonly changes: readonly RowChange[];
      /** The revision after which the next wait continues. */
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
  /**
   * A time in milliseconds that the store's monotonic clock has reached: it may be behind, but not
   * ahead. Right after a response it is no earlier than the time at which the call was sent;
   * -Infinity before the first response.
   */
  readonly nowMs: number;
}
