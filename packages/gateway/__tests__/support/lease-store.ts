/**
 * A store that holds nothing but the lease of orders.
 */
import * as stores from '../../src/types/store';

/** A store with one row, the lease, whose reads can be held back. */
export class LeaseStore implements stores.Store {
  readonly nowMs = 0;

  lease: stores.Row | undefined;

  private release: (() => void) | undefined;

  private held: Promise<void> | undefined;

  static create(): LeaseStore {
    return new LeaseStore();
  }

  /** Answers of reads from now on arrive only when the returned function is called. */
  holdReads(): () => void {
    this.held = new Promise((resolve) => {
      this.release = resolve;
    });
    return () => this.release?.();
  }

  async read(): Promise<stores.ReadOutcome> {
    const rows = this.lease ? [this.lease] : [];
    await this.held;
    return { status: stores.StoreStatus.Done, rows, revision: 1 };
  }

  async transact({ conditions, writes }: stores.Transaction): Promise<stores.TransactionOutcome> {
    const current = this.lease?.revision ?? 0;
    if (conditions.some(({ revision }) => revision !== current)) {
      return { status: stores.StoreStatus.Conflict, rows: this.lease ? [this.lease] : [] };
    }
    writes.forEach((write) => {
      this.lease = { ...write, revision: current + 1 };
    });
    return { status: stores.StoreStatus.Done, revision: current + 1 };
  }

  async listPartitions(): Promise<stores.PartitionsOutcome> {
    return { status: stores.StoreStatus.Done, partitions: [] };
  }

  async waitForChanges(): Promise<stores.ChangesOutcome> {
    return { status: stores.StoreStatus.HistoryLost };
  }
}
