/**
 * Reads and changes batch jobs in the store. Every change is conditional on the revision of the
 * job's head row that the writer knows.
 */
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as settled from '../store/settled-transaction';
import * as stores from '../types/store';
import * as records from './job-record';

/** A head row with the revision under which it was read or written. */
export interface HeadState {
  readonly head: records.JobHead;
  readonly revision: number;
}

/** A job as it is in the store. */
export interface LoadedJob {
  readonly items: readonly jobs.Item[];
  readonly results: readonly jobs.ItemResult[];
  readonly partials: readonly records.PartialText[];
}

/** A read that failed because the store did not answer. */
export const UNREADABLE = Symbol('unreadable');

/** How long a change is tried before the caller hears that its outcome is unknown. */
const CHANGE_LIMIT_MS = 2500;
/** Most bytes and rows that one transaction carries; the store takes 1 MB and 100 entries. */
const TRANSACTION_BYTES = 600_000;
const TRANSACTION_ROWS = 80;

/** The jobs in the store. */
export class JobStore {
  private writes = 0;

  private constructor(
    private readonly environment: environments.Environment,
    private readonly store: stores.Store,
  ) {}

  static create(environment: environments.Environment, store: stores.Store): JobStore {
    return new JobStore(environment, store);
  }

  /** The store's clock. */
  get nowMs(): number {
    return this.store.nowMs;
  }

  /** Stores a new job for the gateway that is to run it. Conflict means that the job exists. */
  async create(
    job: jobs.BatchJob,
    owner: records.JobOwner = this.self,
  ): Promise<{ readonly outcome: stores.TransactionOutcome; readonly head: records.JobHead }> {
    const head: records.JobHead = {
      owner: { vm: owner.vm, incarnation: owner.incarnation },
      isEnded: false,
      isFinished: false,
      total: job.items.length,
      listed: 0,
      submittedMs: this.store.nowMs,
      host: job.host,
      path: job.path,
      step: job.step,
      model: job.model,
      oldestVersion: job.oldestVersion,
      wantedGroups: job.wantedGroups,
      writeId: this.createWriteId(),
    };
    const open = { table: records.OPEN_TABLE, partition: job.id, key: records.OPEN_KEY };
    const notices =
      owner.vm === this.self.vm ? [] : [createNotice(job.id, records.Notice.Assigned, owner.vm)];
    const rows = [...records.createItemRows(job), { ...open, value: Buffer.from('1') }, ...notices];
    const batches = splitRows(rows);
    const last = batches.pop() ?? [];
    // Rows without a head mean nothing, so a job that needs several transactions exists as a
    // whole with the last one or not at all.
    for (const writes of batches) {
      const outcome = await this.settle({ conditions: [], writes, removals: [] }, undefined);
      if (outcome.status !== stores.StoreStatus.Done) {
        return {
          outcome: { status: stores.StoreStatus.NotDone, reason: 'items not stored' },
          head,
        };
      }
    }
    const marker = createHeadWrite(job.id, head);
    const conditions = [{ ...locateHead(job.id), revision: 0 }];
    const outcome = await this.settle(
      { conditions, writes: [marker, ...last], removals: [] },
      marker,
    );
    return { outcome, head };
  }

  /** The head of a job; undefined when there is no such job. */
  async readHead(id: string): Promise<HeadState | undefined | typeof UNREADABLE> {
    const outcome = await this.store.read({
      table: records.JOBS_TABLE,
      partition: id,
      from: records.HEAD_KEY,
      to: `${records.HEAD_KEY}.`,
    });
    if (outcome.status !== stores.StoreStatus.Done) return UNREADABLE;
    const row = outcome.rows.find((candidate) => candidate.key === records.HEAD_KEY);
    const head = row && records.decodeHead(row);
    return head ? { head, revision: row.revision } : undefined;
  }

  /** The items of a job. */
  async readItems(id: string): Promise<readonly jobs.Item[] | typeof UNREADABLE> {
    const outcome = await this.store.read({
      table: records.JOBS_TABLE,
      partition: id,
      from: records.ITEMS_PREFIX,
      to: records.ITEMS_END,
    });
    if (outcome.status !== stores.StoreStatus.Done) return UNREADABLE;
    return records.readItems(outcome.rows);
  }

  /** The results of a job from a position on. */
  async readResults(
    id: string,
    position: number,
  ): Promise<readonly jobs.ItemResult[] | typeof UNREADABLE> {
    const outcome = await this.store.read({
      table: records.RESULTS_TABLE,
      partition: id,
      from: records.createPositionKey(position),
    });
    if (outcome.status !== stores.StoreStatus.Done) return UNREADABLE;
    return records.readPositions<jobs.ItemResult>(outcome.rows).map((entry) => entry.value);
  }

  /** Everything that is needed to go on with a job. */
  async load(id: string): Promise<LoadedJob | typeof UNREADABLE> {
    const [items, results, partials] = await Promise.all([
      this.readItems(id),
      this.readResults(id, 0),
      this.store.read({ table: records.PARTIALS_TABLE, partition: id }),
    ]);
    if (items === UNREADABLE || results === UNREADABLE) return UNREADABLE;
    if (partials.status !== stores.StoreStatus.Done) return UNREADABLE;
    const texts = records.readPositions<records.PartialText>(partials.rows);
    return { items, results, partials: texts.map((entry) => entry.value) };
  }

  /** The ids of all jobs that still have to be run. */
  async listOpen(): Promise<readonly string[] | typeof UNREADABLE> {
    const outcome = await this.store.listPartitions(records.OPEN_TABLE);
    return outcome.status === stores.StoreStatus.Done ? outcome.partitions : UNREADABLE;
  }

  /** Makes this process the owner of a job. */
  claim(id: string, state: HeadState): Promise<ChangeOutcome> {
    return this.change(id, state, { owner: this.self }, [], []);
  }

  /**
   * Lists results at the next positions. As many as fit one transaction are taken; the outcome's
   * head tells how many.
   */
  append(
    id: string,
    state: HeadState,
    results: readonly jobs.ItemResult[],
  ): Promise<ChangeOutcome> {
    const { head } = state;
    const writes: stores.RowWrite[] = [];
    let count = 0;
    let bytes = 0;
    for (const result of results) {
      const position = head.listed + count;
      const rows = records.createPositionRows(records.RESULTS_TABLE, id, position, result);
      bytes += rows.reduce((sum, row) => sum + row.value.length, 0);
      const isFull = bytes > TRANSACTION_BYTES || writes.length + rows.length > TRANSACTION_ROWS;
      if (count > 0 && isFull) break;
      writes.push(...rows);
      count += 1;
    }
    const listed = head.listed + count;
    const isFinished = listed === head.total;
    const removals = isFinished ? [locateOpen(id)] : [];
    return this.change(id, state, { listed, isFinished }, writes, removals);
  }

  /** Ends a job; nothing is listed afterwards. */
  end(id: string, state: HeadState): Promise<ChangeOutcome> {
    const notice = createNotice(id, records.Notice.Ended);
    return this.change(id, state, { isEnded: true }, [notice], [locateOpen(id)]);
  }

  /** Gives a job back so that another gateway goes on with it. */
  release(
    id: string,
    state: HeadState,
    partials: readonly IndexedPartial[],
  ): Promise<ChangeOutcome> {
    const notice = createNotice(id, records.Notice.Released, this.self.vm);
    const rows = createPartialRows(id, partials);
    return this.change(id, state, { owner: null }, [...rows, notice], []);
  }

  /**
   * Keeps texts under way. The write has no condition: whoever wrote it last, the text of an item
   * is one that replicas have made.
   */
  keepPartials(
    id: string,
    partials: readonly IndexedPartial[],
  ): Promise<stores.TransactionOutcome> {
    const writes = createPartialRows(id, partials);
    return this.store.transact({ conditions: [], writes, removals: [] });
  }

  /** Removes all rows of a job that nobody can ask for any more; its head goes last. */
  async discard(id: string): Promise<void> {
    const tables = [
      records.RESULTS_TABLE,
      records.PARTIALS_TABLE,
      records.NOTICES_TABLE,
      records.JOBS_TABLE,
    ];
    for (const table of tables) {
      const outcome = await this.store.read({ table, partition: id });
      const rows = outcome.status === stores.StoreStatus.Done ? [...outcome.rows].reverse() : [];
      for (let start = 0; start < rows.length; start += TRANSACTION_ROWS) {
        const removals = rows.slice(start, start + TRANSACTION_ROWS);
        const done = await this.store.transact({ conditions: [], writes: [], removals });
        this.environment.metrics.count('rows_discarded', { outcome: done.status }, removals.length);
      }
    }
  }

  private async change(
    id: string,
    state: HeadState,
    change: Partial<records.JobHead>,
    writes: readonly stores.RowWrite[],
    removals: readonly stores.RowAddress[],
  ): Promise<ChangeOutcome> {
    const head = { ...state.head, ...change, writeId: this.createWriteId() };
    const marker = createHeadWrite(id, head);
    const conditions = [{ ...locateHead(id), revision: state.revision }];
    const transaction = { conditions, writes: [marker, ...writes], removals };
    const outcome = await this.settle(transaction, marker);
    if (outcome.status !== stores.StoreStatus.Done) return { status: outcome.status };
    return { status: outcome.status, state: { head, revision: outcome.revision } };
  }

  private settle(
    transaction: stores.Transaction,
    marker: stores.RowWrite | undefined,
  ): Promise<stores.TransactionOutcome> {
    const { nowMs, pause, random } = this.environment;
    const options = { limitMs: CHANGE_LIMIT_MS, nowMs, pause, random };
    const fallback = transaction.writes[0];
    return settled.settleTransaction(this.store, transaction, marker ?? fallback, options);
  }

  /** Whether this process owns a job with this head. */
  isOwn(head: records.JobHead): boolean {
    const { vm, incarnation } = this.self;
    return head.owner?.vm === vm && head.owner.incarnation === incarnation;
  }

  private get self(): records.JobOwner {
    return { vm: this.environment.vm, incarnation: this.environment.incarnation };
  }

  private createWriteId(): string {
    this.writes += 1;
    return `${this.environment.incarnation}.${this.writes}`;
  }
}

/** The outcome of a change of a job. */
export type ChangeOutcome =
  | { readonly status: typeof stores.StoreStatus.Done; readonly state: HeadState }
  | { readonly status: Exclude<stores.TransactionOutcome['status'], 'done'> };

function locateHead(id: string): stores.RowAddress {
  return { table: records.JOBS_TABLE, partition: id, key: records.HEAD_KEY };
}

function createHeadWrite(id: string, head: records.JobHead): stores.RowWrite {
  return { ...locateHead(id), value: records.encodeValue(head) };
}

function locateOpen(id: string): stores.RowAddress {
  return { table: records.OPEN_TABLE, partition: id, key: records.OPEN_KEY };
}

/** A text under way, with the index of its item. */
export interface IndexedPartial {
  readonly index: number;
  readonly text: records.PartialText;
}

/** The rows of the texts that fit one transaction; a text that needs several rows is left out. */
function createPartialRows(id: string, partials: readonly IndexedPartial[]): stores.RowWrite[] {
  const rows = partials
    .map(({ index, text }) => records.createPositionRows(records.PARTIALS_TABLE, id, index, text))
    .filter((parts) => parts.length === 1)
    .flat();
  return splitRows(rows)[0] ?? [];
}

function createNotice(id: string, notice: records.Notice, value: string = notice): stores.RowWrite {
  return {
    table: records.NOTICES_TABLE,
    partition: id,
    key: notice,
    value: Buffer.from(value),
  };
}

/** Splits rows so that each part fits a transaction. */
function splitRows(rows: readonly stores.RowWrite[]): stores.RowWrite[][] {
  const parts: stores.RowWrite[][] = [[]];
  let bytes = 0;
  rows.forEach((row) => {
    const part = parts[parts.length - 1];
    bytes += row.value.length;
    if (part.length > 0 && (bytes > TRANSACTION_BYTES || part.length >= TRANSACTION_ROWS)) {
      parts.push([row]);
      bytes = row.value.length;
    } else {
      part.push(row);
    }
  });
  return parts;
}
