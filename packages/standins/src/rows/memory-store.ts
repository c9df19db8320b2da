/**
 * The transactional row store in memory, with the failures that a real one has: away, slow,
 * refusing, answers lost before or long after the effect, history dropped.
 */
import * as gateway from '@azureworks/gateway';

const { StoreStatus } = gateway;

/** Failures to bring about; may be changed at any time. */
export interface StoreFaults {
  /** Calls get no answer and have no effect. */
  isAway: boolean;
  /** Calls are refused. */
  isRefusing: boolean;
  /** How many of the next transactions take effect without an answer. */
  loseAnswers: number;
  /** How many of the next transactions get no answer and take effect after `lateMs`. */
  applyLate: number;
  lateMs: number;
  /** Delay of every answer, in milliseconds. */
  slowMs: number;
}

/** What the store needs. */
export interface MemoryStoreParts {
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
}

const UNKNOWN: gateway.StoreFailure = { status: StoreStatus.Unknown, reason: 'no answer' };
const NOT_DONE: gateway.StoreFailure = { status: StoreStatus.NotDone, reason: 'refused' };
/** How long a caller waits for an answer that does not come, in milliseconds. */
const PATIENCE_MS = 200;

/** Rows in memory. */
export class MemoryStore implements gateway.Store {
  readonly faults: StoreFaults = {
    isAway: false,
    isRefusing: false,
    loseAnswers: 0,
    applyLate: 0,
    lateMs: 500,
    slowMs: 0,
  };

  private readonly rows = new Map<string, gateway.Row>();

  private history: gateway.RowChange[] = [];

  private oldestRevision = 0;

  private revision = 0;

  private readonly waiters = new Set<() => void>();

  private constructor(private readonly parts: MemoryStoreParts) {}

  static create(parts: MemoryStoreParts): MemoryStore {
    return new MemoryStore(parts);
  }

  get nowMs(): number {
    return this.parts.nowMs();
  }

  async transact(transaction: gateway.Transaction): Promise<gateway.TransactionOutcome> {
    const failure = await this.fail();
    if (failure) return failure;
    if (this.faults.applyLate > 0) {
      this.faults.applyLate -= 1;
      this.parts.pause(this.faults.lateMs).then(() => this.apply(transaction));
      await this.parts.pause(PATIENCE_MS);
      return UNKNOWN;
    }
    const outcome = this.apply(transaction);
    if (this.faults.loseAnswers === 0) return outcome;
    this.faults.loseAnswers -= 1;
    await this.parts.pause(PATIENCE_MS);
    return UNKNOWN;
  }

  async read(range: gateway.RowRange): Promise<gateway.ReadOutcome> {
    const failure = await this.fail();
    if (failure) return { ...failure, status: StoreStatus.NotDone };
    const rows = this.list((row) => isWithin(row, range));
    return { status: StoreStatus.Done, rows, revision: this.revision };
  }

  async listPartitions(table: string): Promise<gateway.PartitionsOutcome> {
    const failure = await this.fail();
    if (failure) return { ...failure, status: StoreStatus.NotDone };
    const rows = this.list((row) => row.table === table);
    return { status: StoreStatus.Done, partitions: [...new Set(rows.map((row) => row.partition))] };
  }

  async waitForChanges(
    table: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<gateway.ChangesOutcome> {
    const failure = await this.fail();
    if (failure) return { ...failure, status: StoreStatus.NotDone };
    if (afterRevision < this.oldestRevision) return { status: StoreStatus.HistoryLost };
    const endMs = this.parts.nowMs() + waitMs;
    for (;;) {
      const changes = this.history.filter(
        (change) => change.table === table && change.revision > afterRevision,
      );
      const leftMs = endMs - this.parts.nowMs();
      if (changes.length > 0 || leftMs <= 0) {
        return { status: StoreStatus.Done, changes, revision: this.revision };
      }
      await this.waitForChange(leftMs);
      if (afterRevision < this.oldestRevision) return { status: StoreStatus.HistoryLost };
    }
  }

  /** Forgets all changes so far; their effects stay. */
  dropHistory(): void {
    this.history = [];
    this.oldestRevision = this.revision;
    this.wake();
  }

  /** Writes a row as another writer would. */
  write(table: string, partition: string, key: string, value: string | Buffer): void {
    const row = { table, partition, key, value: Buffer.from(value) };
    this.apply({ conditions: [], writes: [row], removals: [] });
  }

  /** Removes a row as another writer would. */
  remove(table: string, partition: string, key: string): void {
    this.apply({ conditions: [], writes: [], removals: [{ table, partition, key }] });
  }

  /** All rows of a table, whatever fails. */
  inspect(table: string): gateway.Row[] {
    return this.list((row) => row.table === table);
  }

  private async fail(): Promise<gateway.StoreFailure | undefined> {
    if (this.faults.slowMs > 0) await this.parts.pause(this.faults.slowMs);
    if (this.faults.isRefusing) return NOT_DONE;
    if (!this.faults.isAway) return undefined;
    await this.parts.pause(PATIENCE_MS);
    return UNKNOWN;
  }

  private apply(transaction: gateway.Transaction): gateway.TransactionOutcome {
    const { conditions, writes, removals } = transaction;
    const hasConflict = conditions.some(
      (condition) => (this.rows.get(locate(condition))?.revision ?? 0) !== condition.revision,
    );
    if (hasConflict) {
      const rows = conditions.flatMap((condition) => this.rows.get(locate(condition)) ?? []);
      return { status: StoreStatus.Conflict, rows };
    }
    this.revision += 1;
    const { revision } = this;
    writes.forEach((write) => {
      const row = { ...write, revision };
      this.rows.set(locate(write), row);
      this.history.push({ ...row, isRemoved: false });
    });
    removals.forEach((removal) => {
      if (!this.rows.delete(locate(removal))) return;
      this.history.push({ ...removal, value: Buffer.alloc(0), revision, isRemoved: true });
    });
    this.wake();
    return { status: StoreStatus.Done, revision };
  }

  private list(isWanted: (row: gateway.Row) => boolean): gateway.Row[] {
    return [...this.rows.values()]
      .filter(isWanted)
      .sort((first, second) => (locate(first) < locate(second) ? -1 : 1));
  }

  private async waitForChange(limitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      this.parts.pause(limitMs).then(wake);
    });
  }

  private wake(): void {
    [...this.waiters].forEach((wake) => wake());
  }
}

function locate(row: gateway.RowAddress): string {
  return `${row.table}\0${row.partition}\0${row.key}`;
}

function isWithin(row: gateway.Row, range: gateway.RowRange): boolean {
  if (row.table !== range.table || row.partition !== range.partition) return false;
  if (range.from !== undefined && row.key < range.from) return false;
  return range.to === undefined || row.key < range.to;
}
