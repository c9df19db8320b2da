/**
 * An in-memory transactional row store that injects the failures of a real one: unreachable, slow,
 * refusing calls, answers lost although the transaction takes effect at once or later, and change
 * history discarded.
 */
import * as gateway from '@azureworks/gateway';

const { StoreStatus } = gateway;

/** Failures to inject; may be changed at any time. */
export interface StoreFaults {
  /** Calls time out and have no effect. */
  isUnreachable: boolean;
  /** Calls are refused. */
  isRefusing: boolean;
  /** Number of next transactions that take effect but time out for the caller. */
  loseAnswers: number;
  /** Number of next transactions that time out and take effect after `applyDelayMs`. */
  applyLate: number;
  applyDelayMs: number;
  /** Delay of every call, in milliseconds. */
  slowMs: number;
}

/** Clock and timer of the store. */
export interface MemoryStoreOptions {
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
}

const UNKNOWN: gateway.StoreFailure = { status: StoreStatus.Unknown, reason: 'no answer' };
const NOT_DONE: gateway.StoreFailure = { status: StoreStatus.NotDone, reason: 'refused' };
/** Time after which a caller gives up on an answer that does not arrive. */
const ANSWER_TIMEOUT_MS = 200;

/** The in-memory row store. */
export class MemoryStore implements gateway.Store {
  readonly faults: StoreFaults = {
    isUnreachable: false,
    isRefusing: false,
    loseAnswers: 0,
    applyLate: 0,
    applyDelayMs: 500,
    slowMs: 0,
  };

  private readonly rows = new Map<string, gateway.Row>();

  private history: gateway.RowChange[] = [];

  private oldestRevision = 0;

  private revision = 0;

  private readonly waiters = new Set<() => void>();

  private constructor(private readonly options: MemoryStoreOptions) {}

  static create(options: MemoryStoreOptions): MemoryStore {
    return new MemoryStore(options);
  }

  get nowMs(): number {
    return this.options.nowMs();
  }

  async transact(transaction: gateway.Transaction): Promise<gateway.TransactionOutcome> {
    const failure = await this.simulateFailure();
    if (failure) return failure;
    if (this.faults.applyLate > 0) {
      this.faults.applyLate -= 1;
      this.options.pause(this.faults.applyDelayMs).then(() => this.apply(transaction));
      await this.options.pause(ANSWER_TIMEOUT_MS);
      return UNKNOWN;
    }
    const outcome = this.apply(transaction);
    if (this.faults.loseAnswers === 0) return outcome;
    this.faults.loseAnswers -= 1;
    await this.options.pause(ANSWER_TIMEOUT_MS);
    return UNKNOWN;
  }

  async read(range: gateway.RowRange): Promise<gateway.ReadOutcome> {
    const failure = await this.simulateFailure();
    if (failure) return { ...failure, status: StoreStatus.NotDone };
    const rows = this.listRows((row) => isWithin(row, range));
    const { maximumRows = Infinity } = range;
    const hasMore = rows.length > maximumRows;
    const read = rows.slice(0, maximumRows);
    return { status: StoreStatus.Done, rows: read, revision: this.revision, hasMore };
  }

  async listPartitions(table: string): Promise<gateway.PartitionsOutcome> {
    const failure = await this.simulateFailure();
    if (failure) return { ...failure, status: StoreStatus.NotDone };
    const rows = this.listRows((row) => row.table === table);
    return { status: StoreStatus.Done, partitions: [...new Set(rows.map((row) => row.partition))] };
  }

  async waitForChanges(
    table: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<gateway.ChangesOutcome> {
    const failure = await this.simulateFailure();
    if (failure) return { ...failure, status: StoreStatus.NotDone };
    if (afterRevision < this.oldestRevision) return { status: StoreStatus.HistoryLost };
    const deadlineMs = this.options.nowMs() + waitMs;
    for (;;) {
      const changes = this.history.filter(
        (change) => change.table === table && change.revision > afterRevision,
      );
      const remainingMs = deadlineMs - this.options.nowMs();
      if (changes.length > 0 || remainingMs <= 0) {
        return { status: StoreStatus.Done, changes, revision: this.revision };
      }
      await this.waitForChange(remainingMs);
      if (afterRevision < this.oldestRevision) return { status: StoreStatus.HistoryLost };
    }
  }

  /** Discards the change history; the rows stay. */
  dropHistory(): void {
    this.history = [];
    this.oldestRevision = this.revision;
    this.notifyWaiters();
  }

  /** Writes a row on behalf of another writer; injected failures do not apply. */
  write(table: string, partition: string, key: string, value: string | Buffer): void {
    const row = { table, partition, key, value: Buffer.from(value) };
    this.apply({ conditions: [], writes: [row], removals: [] });
  }

  /** Removes a row on behalf of another writer; injected failures do not apply. */
  remove(table: string, partition: string, key: string): void {
    this.apply({ conditions: [], writes: [], removals: [{ table, partition, key }] });
  }

  /** Returns all rows of a table; injected failures do not apply. */
  inspect(table: string): gateway.Row[] {
    return this.listRows((row) => row.table === table);
  }

  private async simulateFailure(): Promise<gateway.StoreFailure | undefined> {
    if (this.faults.slowMs > 0) await this.options.pause(this.faults.slowMs);
    if (this.faults.isRefusing) return NOT_DONE;
    if (!this.faults.isUnreachable) return undefined;
    await this.options.pause(ANSWER_TIMEOUT_MS);
    return UNKNOWN;
  }

  private apply(transaction: gateway.Transaction): gateway.TransactionOutcome {
    const { conditions, writes, removals } = transaction;
    const hasConflict = conditions.some(
      (condition) => (this.rows.get(createRowId(condition))?.revision ?? 0) !== condition.revision,
    );
    if (hasConflict) {
      const rows = conditions.flatMap((condition) => this.rows.get(createRowId(condition)) ?? []);
      return { status: StoreStatus.Conflict, rows };
    }
    this.revision += 1;
    const { revision } = this;
    writes.forEach((write) => {
      const row = { ...write, revision };
      this.rows.set(createRowId(write), row);
      this.history.push({ ...row, isRemoved: false });
    });
    removals.forEach((removal) => {
      if (!this.rows.delete(createRowId(removal))) return;
      this.history.push({ ...removal, value: Buffer.alloc(0), revision, isRemoved: true });
    });
    this.notifyWaiters();
    return { status: StoreStatus.Done, revision };
  }

  private listRows(isWanted: (row: gateway.Row) => boolean): gateway.Row[] {
    return [...this.rows.values()]
      .filter(isWanted)
      .sort((first, second) => (createRowId(first) < createRowId(second) ? -1 : 1));
  }

  private async waitForChange(maximumMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const resume = (): void => {
        this.waiters.delete(resume);
        resolve();
      };
      this.waiters.add(resume);
      this.options.pause(maximumMs).then(resume);
    });
  }

  private notifyWaiters(): void {
    [...this.waiters].forEach((resume) => resume());
  }
}

function createRowId(row: gateway.RowAddress): string {
  return `${row.table}\0${row.partition}\0${row.key}`;
}

function isWithin(row: gateway.Row, range: gateway.RowRange): boolean {
  if (row.table !== range.table || row.partition !== range.partition) return false;
  if (range.from !== undefined && row.key < range.from) return false;
  return range.to === undefined || row.key < range.to;
}
