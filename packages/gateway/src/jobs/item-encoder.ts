/**
 * Encodes the items of a batch job into rows, one item after the other.
 */
import type * as jobs from '../types/batch-job';
import type * as stores from '../types/store';
import * as records from './job-record';
import * as storedItems from './stored-item';

const KEY_DIGITS = 4;

/** Creates the rows that hold a job's items, one item after the other. */
export class ItemEncoder {
  private pieces: Buffer[] = [];

  private bytes = 0;

  private itemCount = 0;

  private rowCount = 0;

  private constructor(private readonly jobId: string) {}

  static create(jobId: string): ItemEncoder {
    return new ItemEncoder(jobId);
  }

  /** How many items were added. */
  get count(): number {
    return this.itemCount;
  }

  /** Adds an item; returns the rows that it completes. */
  add(item: jobs.Item): stores.RowWrite[] {
    const separator = this.itemCount === 0 ? '[' : ',';
    this.itemCount += 1;
    return this.append(Buffer.from(separator + JSON.stringify(storedItems.encodeItem(item))));
  }

  /** Returns the last rows. */
  end(): stores.RowWrite[] {
    const rows = this.append(Buffer.from(this.itemCount === 0 ? '[]' : ']'));
    if (this.bytes > 0) rows.push(this.createRow(Buffer.concat(this.pieces)));
    return rows;
  }

  private append(encoded: Buffer): stores.RowWrite[] {
    this.pieces.push(encoded);
    this.bytes += encoded.length;
    if (this.bytes < records.MAXIMUM_CHUNK_BYTES) return [];
    const chunks = records.splitIntoChunks(Buffer.concat(this.pieces));
    const last = chunks[chunks.length - 1];
    const rest = last && last.length < records.MAXIMUM_CHUNK_BYTES ? chunks.pop() : undefined;
    // A copy, as the rest would keep the whole buffer in memory.
    this.pieces = rest ? [Buffer.from(rest)] : [];
    this.bytes = rest?.length ?? 0;
    return chunks.map((chunk) => this.createRow(chunk));
  }

  private createRow(value: Buffer): stores.RowWrite {
    const key = `${records.ITEMS_PREFIX}${String(this.rowCount).padStart(KEY_DIGITS, '0')}`;
    this.rowCount += 1;
    return { table: records.JOBS_TABLE, partition: this.jobId, key, value };
  }
}
