/**
 * Reads the items of a batch job from the store, a few rows at a time, so that a job of any size takes
 * little memory while it is read.
 */
import type * as jobs from '../types/batch-job';
import * as stores from '../types/store';
import * as itemDecoders from './item-decoder';
import * as records from './job-record';

/** Rows of one read; a row has up to 60 KB. */
const ROWS_PER_READ = 12;

export interface ItemSourceOptions {
  readonly read: (range: stores.RowRange) => Promise<stores.ReadOutcome>;
  /** Called with rows that cannot be decoded. */
  readonly onOddRows: (rows: readonly stores.Row[]) => void;
}

/** The items of one job, in order. */
export class ItemSource {
  private readonly decoder = itemDecoders.ItemDecoder.create();

  private from = records.ITEMS_PREFIX;

  private isAtEnd = false;

  private constructor(
    private readonly options: ItemSourceOptions,
    private readonly jobId: string,
  ) {}

  static create(options: ItemSourceOptions, jobId: string): ItemSource {
    return new ItemSource(options, jobId);
  }

  /** Whether all items were read. */
  get isDone(): boolean {
    return this.isAtEnd;
  }

  /** Bytes of an item that was read in part. */
  get pendingBytes(): number {
    return this.decoder.pendingBytes;
  }

  /** Reads the next items; there may be none. Undefined when the store or its rows cannot be read. */
  async next(): Promise<readonly jobs.Item[] | undefined> {
    const outcome = await this.options.read({
      table: records.JOBS_TABLE,
      partition: this.jobId,
      from: this.from,
      to: records.ITEMS_END,
      maximumRows: ROWS_PER_READ,
    });
    if (outcome.status !== stores.StoreStatus.Done) return undefined;
    const { rows, hasMore } = outcome;
    const items = this.decoder.decode(rows);
    const last = rows[rows.length - 1];
    const isLastRead = hasMore !== true || !last;
    if (!items || (isLastRead && !this.decoder.isComplete)) {
      this.options.onOddRows(rows);
      return undefined;
    }
    this.isAtEnd = isLastRead;
    // The smallest key that sorts after the last one.
    if (last) this.from = `${last.key}\0`;
    return items;
  }
}
