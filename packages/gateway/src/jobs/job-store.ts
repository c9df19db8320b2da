/**
 * Reads and changes batch jobs in the store. Every change of a job is conditional on the revision
 * at which the writer last saw the job's head row.
 */
import * as runtime from '@azureworks/runtime';
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as transactionRetries from '../store/transaction-retry';
import * as oddRows from '../store/odd-rows';
import * as stores from '../types/store';
import * as boundedMaps from './bounded-map';
import * as itemEncoders from './item-encoder';
import * as itemSources from './item-source';
import * as records from './job-record';

/** The head of a job that is certainly in the store. */
export type AcceptedHead = records.JobHead & { readonly acceptedMs: number };

/** A head row with the revision at which it was read or written. */
export interface HeadState {
  readonly head: AcceptedHead;
  readonly revision: number;
}

/** A job that was stored, or the outcome of the attempt. */
export interface CreatedJob {
  readonly outcome: stores.TransactionOutcome;
  readonly head: AcceptedHead;
  /** The items; undefined when there are too many to hold them all. */
  readonly items: readonly jobs.Item[] | undefined;
}

/** Results from a position onwards. */
export interface ResultRange {
  readonly results: readonly jobs.ItemResult[];
  /** Whether further results may follow. */
  readonly hasMore: boolean;
}

/** Returned by reads that failed: the store did not answer, or its rows cannot be decoded. */
export const UNREADABLE = Symbol('unreadable');

/** How long a change is retried before its outcome is reported as unknown. */
const CHANGE_TIMEOUT_MS = 2500;
/** Limits of one transaction, below those of the store: 1 MB and 100 entries. */
const MAXIMUM_TRANSACTION_BYTES = 600_000;
const MAXIMUM_TRANSACTION_ROWS = 80;
/** Full rows of items that one transaction stores. */
const BATCH_ROWS = 10;

/** Items of a new job that are held to be run at once; those of larger jobs are read from the store. */
const MAXIMUM_HELD_ITEMS = 2048;
const MAXIMUM_HELD_BYTES = 1024 * 1024;
/** Rows of one read of results or texts; the store returns up to 1 MB. */
const ROWS_PER_READ = 500;

/** Jobs that are remembered for having rows that cannot be decoded. */
const MAXIMUM_ODD_JOBS = 1000;

/** Access to the batch jobs in the store. */
export class JobStore {
  private writeCount = 0;

  private readonly oddRows: oddRows.OddRows;

  private readonly oddJobs = boundedMaps.BoundedMap.create<true>(MAXIMUM_ODD_JOBS);

  private constructor(
    private readonly environment: environments.Environment,
    private readonly store: stores.Store,
  ) {
    this.oddRows = oddRows.OddRows.create(environment);
  }

  static create(environment: environments.Environment, store: stores.Store): JobStore {
    return new JobStore(environment, store);
  }

  /** The store's clock. */
  get nowMs(): number {
    return this.store.nowMs;
  }

  /**
   * Stores a new job, owned by the gateway that is to run it. Conflict means that it exists. The items are
   * encoded one by one, so that the job is not held in memory a second time.
   */
  async create(job: jobs.SubmittedJob, owner: records.JobOwner = this.self): Promise<CreatedJob> {
    const encoder = itemEncoders.ItemEncoder.create(job.id);
    const pacer = runtime.Pacer.create();
    let held: jobs.Item[] | undefined = [];
    let encodedBytes = 0;
    const rows: stores.RowWrite[] = [];
    let isFirstBatch = true;
    for (const item of job.items) {
      const itemRows = encoder.add(item);
      encodedBytes += itemRows.reduce((sum, row) => sum + row.value.length, 0);
      const isHeld = encoder.count <= MAXIMUM_HELD_ITEMS && encodedBytes <= MAXIMUM_HELD_BYTES;
      if (isHeld) held?.push(item);
      else held = undefined;
      rows.push(...itemRows);
      if (rows.length >= BATCH_ROWS) {
        if (isFirstBatch) {
          const known = await this.findKnown(job, owner);
          if (known) return known;
          isFirstBatch = false;
        }
        // Rows without a head are ignored and the last transaction writes the head, so a job that needs
        // several transactions exists either completely or not at all.
        if (!(await this.storeRows(rows.splice(0)))) return this.createUnstored(job, owner);
      }
      await pacer.rest();
    }
    rows.push(...encoder.end());
    const head = this.createHead(job, owner, encoder.count);
    const openRow = { table: records.OPEN_TABLE, partition: job.id, key: records.OPEN_KEY };
    const notices =
      owner.vm === this.self.vm ? [] : [createNotice(job.id, records.Notice.Assigned, owner.vm)];
    const batches = splitIntoBatches([
      ...rows,
      { ...openRow, value: Buffer.from('1') },
      ...notices,
    ]);
    const lastBatch = batches.pop() ?? [];
    for (const batch of batches) {
      if (!(await this.storeRows(batch))) return this.createUnstored(job, owner);
    }
    const headWrite = createHeadWrite(job.id, head);
    const conditions = [{ ...locateHeadRow(job.id), revision: 0 }];
    const outcome = await this.settle(
      { conditions, writes: [headWrite, ...lastBatch], removals: [] },
      headWrite,
    );
    const acceptedHead = this.withAcceptance(head);
    if (outcome.status !== stores.StoreStatus.Conflict || this.isHeadKnown(outcome.rows))
      return { outcome, head: acceptedHead, items: held };
    const reason = 'the row in place of the head cannot be decoded';
    return {
      outcome: { status: stores.StoreStatus.NotDone, reason },
      head: acceptedHead,
      items: undefined,
    };
  }

  /**
   * The outcome for a job that is stored already: its rows are not written again, as the job may be running
   * and another version of this program may have cut them differently.
   */
  private async findKnown(
    job: jobs.SubmittedJob,
    owner: records.JobOwner,
  ): Promise<CreatedJob | undefined> {
    const state = await this.readHead(job.id);
    if (state === undefined) return undefined;
    if (state === UNREADABLE) return this.createUnstored(job, owner);
    const outcome = { status: stores.StoreStatus.Conflict, rows: [] } as const;
    return { outcome, head: state.head, items: undefined };
  }

  /** Stores rows of items, which count only once the head is stored; returns whether it did. */
  private async storeRows(writes: readonly stores.RowWrite[]): Promise<boolean> {
    const outcome = await this.settle({ conditions: [], writes, removals: [] }, undefined);
    return outcome.status === stores.StoreStatus.Done;
  }

  private createUnstored(job: jobs.SubmittedJob, owner: records.JobOwner): CreatedJob {
    return {
      outcome: { status: stores.StoreStatus.NotDone, reason: 'items not stored' },
      head: this.withAcceptance(this.createHead(job, owner, 0)),
      items: undefined,
    };
  }

  private createHead(
    job: jobs.SubmittedJob,
    owner: records.JobOwner,
    total: number,
  ): records.JobHead {
    return {
      owner: { vm: owner.vm, incarnation: owner.incarnation },
      isEnded: false,
      isFinished: false,
      total,
      listed: 0,
      submittedMs: this.store.nowMs,
      host: job.host,
      path: job.path,
      step: job.step,
      model: job.model,
      oldestVersion: job.oldestVersion,
      wantedGroups: job.wantedGroups,
      ...(job.organisation !== undefined && { organisation: job.organisation }),
      writeId: this.createWriteId(),
    };
  }

  /**
   * Whether rows of a job were read lately that cannot be decoded. To read them again soon does not
   * help, in contrast to a store that did not answer.
   */
  isOdd(id: string): boolean {
    return this.oddJobs.get(id) === true;
  }

  /** Reads the head of a job; undefined when there is no such job. */
  async readHead(id: string): Promise<HeadState | undefined | typeof UNREADABLE> {
    const outcome = await this.store.read({
      table: records.JOBS_TABLE,
      partition: id,
      from: records.HEAD_KEY,
      to: `${records.HEAD_KEY}.`,
    });
    if (outcome.status !== stores.StoreStatus.Done) return UNREADABLE;
    const row = outcome.rows.find((candidate) => candidate.key === records.HEAD_KEY);
    this.oddJobs.delete(id);
    if (!row) return undefined;
    const head = records.decodeHead(row);
    if (!head) return this.reportOdd(id, [row]);
    return { head: this.withAcceptance(head), revision: row.revision };
  }

  /** The items of a job, to be read in order. */
  openItems(id: string): itemSources.ItemSource {
    return itemSources.ItemSource.create(
      {
        read: (range) => this.store.read(range),
        onOddRows: (rows) => this.reportOdd(id, rows),
      },
      id,
    );
  }

  /** Finds an item of a job; undefined when the job has no such item. */
  async findItem(id: string, itemId: string): Promise<jobs.Item | undefined | typeof UNREADABLE> {
    const source = this.openItems(id);
    while (!source.isDone) {
      const items = await source.next();
      if (!items) return UNREADABLE;
      const item = items.find((candidate) => candidate.id === itemId);
      if (item) return item;
    }
    return undefined;
  }

  /**
   * Reads results of a job from a position onwards, as many as one read returns. The list has no gaps, so
   * it ends before a position that is missing. It cannot be read from a position that cannot be decoded.
   */
  async readResults(id: string, position: number): Promise<ResultRange | typeof UNREADABLE> {
    const range = {
      table: records.RESULTS_TABLE,
      partition: id,
      from: records.createPositionKey(position),
    };
    let outcome = await this.store.read({ ...range, maximumRows: ROWS_PER_READ });
    if (outcome.status !== stores.StoreStatus.Done) return UNREADABLE;
    const lastKey = outcome.rows[outcome.rows.length - 1]?.key ?? '';
    // The read may have ended within the last result.
    const lastPosition = outcome.hasMore ? (lastKey.split('.')[0] ?? '') : '';
    const isSingle = lastPosition === range.from;
    if (isSingle)
      outcome = await this.store.read({ ...range, to: records.createPositionKey(position + 1) });
    if (outcome.status !== stores.StoreStatus.Done) return UNREADABLE;
    const rows = outcome.rows.filter(
      (row) => isSingle || lastPosition === '' || row.key < lastPosition,
    );
    const decoded = records.decodePositionRows(rows, records.decodeResult);
    const { entries, undecodablePositions } = decoded;
    decoded.oddRows.forEach((row) => this.oddRows.report(row, 'is no result'));
    const gap = entries.findIndex((entry, index) => entry.position !== position + index);
    const results = (gap < 0 ? entries : entries.slice(0, gap)).map((entry) => entry.value);
    if (undecodablePositions.includes(position)) return this.reportOdd(id, []);
    return { results, hasMore: gap < 0 && lastPosition !== '' && results.length > 0 };
  }

  /** Passes the incomplete texts of a job on; returns false when they cannot be read. */
  async readPartials(id: string, onText: (text: records.PartialText) => void): Promise<boolean> {
    let from = '';
    for (;;) {
      const range = { table: records.PARTIALS_TABLE, partition: id, from };
      const outcome = await this.store.read({ ...range, maximumRows: ROWS_PER_READ });
      if (outcome.status !== stores.StoreStatus.Done) return false;
      const texts = records.decodePositionRows(outcome.rows, records.decodePartialText);
      texts.oddRows.forEach((row) => this.oddRows.report(row, 'the item begins anew'));
      texts.entries.forEach((entry) => onText(entry.value));
      const last = outcome.rows[outcome.rows.length - 1];
      if (!outcome.hasMore || !last) return true;
      from = `${last.key}\0`;
    }
  }

  /** Lists the ids of all jobs that still have to be run. */
  async listOpen(): Promise<readonly string[] | typeof UNREADABLE> {
    const outcome = await this.store.listPartitions(records.OPEN_TABLE);
    return outcome.status === stores.StoreStatus.Done ? outcome.partitions : UNREADABLE;
  }

  /** Makes this process the owner of a job. */
  claim(id: string, state: HeadState): Promise<ChangeOutcome> {
    return this.change(id, state, { owner: this.self }, [], []);
  }

  /**
   * Appends results to the job's list, as many as fit one transaction; `listed` in the new head is
   * the length of the list afterwards.
   */
  appendResults(
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
      const isFull =
        bytes > MAXIMUM_TRANSACTION_BYTES || writes.length + rows.length > MAXIMUM_TRANSACTION_ROWS;
      if (count > 0 && isFull) break;
      writes.push(...rows);
      count += 1;
    }
    const listed = head.listed + count;
    const isFinished = listed === head.total;
    const removals = isFinished ? [locateOpenRow(id)] : [];
    return this.change(id, state, { listed, isFinished }, writes, removals);
  }

  /** Ends a job; no result is appended afterwards. */
  end(id: string, state: HeadState): Promise<ChangeOutcome> {
    const notice = createNotice(id, records.Notice.Ended);
    return this.change(id, state, { isEnded: true }, [notice], [locateOpenRow(id)]);
  }

  /** Releases a job so that another gateway continues it. */
  release(
    id: string,
    state: HeadState,
    partials: readonly IndexedPartialText[],
  ): Promise<ChangeOutcome> {
    const notice = createNotice(id, records.Notice.Released, JSON.stringify(this.self));
    const rows = createPartialRows(id, partials);
    return this.change(id, state, { owner: null }, [...rows, notice], []);
  }

  /**
   * Saves incomplete texts. The write needs no condition: whichever gateway writes last, the text
   * of an item is one that replicas have generated.
   */
  savePartials(
    id: string,
    partials: readonly IndexedPartialText[],
  ): Promise<stores.TransactionOutcome> {
    const writes = createPartialRows(id, partials);
    return this.store.transact({ conditions: [], writes, removals: [] });
  }

  /**
   * Removes all rows of an ended job that callers can no longer read; the head is removed last. Leaves a job that
   * was submitted under the same id since. Returns false when it has to be tried again.
   */
  async discard(id: string, submittedMs: number): Promise<boolean> {
    const { RESULTS_TABLE, PARTIALS_TABLE, NOTICES_TABLE, JOBS_TABLE } = records;
    const state = await this.readHead(id);
    if (state === UNREADABLE) return this.isOdd(id);
    if (!state?.head.isEnded || state.head.submittedMs !== submittedMs) return true;
    for (const table of [RESULTS_TABLE, PARTIALS_TABLE, NOTICES_TABLE]) {
      if (!(await this.discardRows({ table, partition: id }))) return false;
    }
    const partition = id;
    const itemRange = { from: records.ITEMS_PREFIX, to: records.ITEMS_END };
    const areItemsRemoved = await this.discardRows({ table: JOBS_TABLE, partition, ...itemRange });
    return areItemsRemoved && this.discardRows({ table: JOBS_TABLE, partition });
  }

  /** Removes the rows of a range, a few at a time; returns whether none is left. */
  private async discardRows(range: stores.RowRange): Promise<boolean> {
    for (;;) {
      const maximumRows = MAXIMUM_TRANSACTION_ROWS;
      const outcome = await this.store.read({ ...range, maximumRows });
      if (outcome.status !== stores.StoreStatus.Done) return false;
      const removals = outcome.rows;
      if (removals.length === 0) return true;
      const removed = await this.store.transact({ conditions: [], writes: [], removals });
      const { status } = removed;
      this.environment.metrics.count('rows_discarded', { outcome: status }, removals.length);
      if (status !== stores.StoreStatus.Done) return false;
      if (!outcome.hasMore) return true;
    }
  }

  /** Whether the head among rows that conflicted can be decoded. */
  private isHeadKnown(rows: readonly stores.Row[]): boolean {
    const row = rows.find(({ key }) => key === records.HEAD_KEY);
    if (!row || records.decodeHead(row)) return true;
    this.reportOdd(row.partition, [row]);
    return false;
  }

  private reportOdd(id: string, rows: readonly stores.Row[]): typeof UNREADABLE {
    this.oddJobs.set(id, true);
    rows.forEach((row) => this.oddRows.report(row, 'the job cannot be read'));
    return UNREADABLE;
  }

  /**
   * Lets the items live from the response that has just shown the job, unless an earlier owner did so;
   * the next change of the job stores that time. A start that is too late is safe: no item is given up
   * and no row is discarded early.
   */
  private withAcceptance(head: records.JobHead): AcceptedHead {
    return { ...head, acceptedMs: head.acceptedMs ?? this.store.nowMs };
  }

  private async change(
    id: string,
    state: HeadState,
    change: Partial<records.JobHead>,
    writes: readonly stores.RowWrite[],
    removals: readonly stores.RowAddress[],
  ): Promise<ChangeOutcome> {
    const head = { ...state.head, ...change, writeId: this.createWriteId() };
    const headWrite = createHeadWrite(id, head);
    const conditions = [{ ...locateHeadRow(id), revision: state.revision }];
    const transaction = { conditions, writes: [headWrite, ...writes], removals };
    const outcome = await this.settle(transaction, headWrite);
    if (outcome.status !== stores.StoreStatus.Done) return { status: outcome.status };
    return { status: outcome.status, state: { head, revision: outcome.revision } };
  }

  private settle(
    transaction: stores.Transaction,
    headWrite: stores.RowWrite | undefined,
  ): Promise<stores.TransactionOutcome> {
    const { nowMs, pause, random } = this.environment;
    const options = { limitMs: CHANGE_TIMEOUT_MS, nowMs, pause, random };
    const fallback = transaction.writes[0];
    return transactionRetries.transactWithRetries(
      this.store,
      transaction,
      headWrite ?? fallback,
      options,
    );
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
    this.writeCount += 1;
    return `${this.environment.incarnation}.${this.writeCount}`;
  }
}

/** The outcome of a change of a job. */
export type ChangeOutcome =
  | { readonly status: typeof stores.StoreStatus.Done; readonly state: HeadState }
  | { readonly status: Exclude<stores.TransactionOutcome['status'], 'done'> };

function locateHeadRow(id: string): stores.RowAddress {
  return { table: records.JOBS_TABLE, partition: id, key: records.HEAD_KEY };
}

function createHeadWrite(id: string, head: records.JobHead): stores.RowWrite {
  return { ...locateHeadRow(id), value: records.encodeValue(head) };
}

function locateOpenRow(id: string): stores.RowAddress {
  return { table: records.OPEN_TABLE, partition: id, key: records.OPEN_KEY };
}

/** The incomplete text of an item, with the index of the item in its job. */
export interface IndexedPartialText {
  readonly index: number;
  readonly text: records.PartialText;
}

/** Creates the rows of texts that fit one transaction, without texts that need several rows. */
function createPartialRows(id: string, partials: readonly IndexedPartialText[]): stores.RowWrite[] {
  const rows = partials
    .map(({ index, text }) => records.createPositionRows(records.PARTIALS_TABLE, id, index, text))
    .filter((textRows) => textRows.length === 1)
    .flat();
  return splitIntoBatches(rows)[0] ?? [];
}

function createNotice(id: string, notice: records.Notice, value: string = notice): stores.RowWrite {
  return {
    table: records.NOTICES_TABLE,
    partition: id,
    key: notice,
    value: Buffer.from(value),
  };
}

/** Splits rows into batches that each fit a transaction. */
function splitIntoBatches(rows: readonly stores.RowWrite[]): stores.RowWrite[][] {
  const batches: stores.RowWrite[][] = [[]];
  let bytes = 0;
  rows.forEach((row) => {
    const batch = batches[batches.length - 1];
    bytes += row.value.length;
    if (
      batch.length > 0 &&
      (bytes > MAXIMUM_TRANSACTION_BYTES || batch.length >= MAXIMUM_TRANSACTION_ROWS)
    ) {
      batches.push([row]);
      bytes = row.value.length;
    } else {
      batch.push(row);
    }
  });
  return batches;
}
