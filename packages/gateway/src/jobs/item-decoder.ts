/**
 * Decodes the items of a batch job; their rows arrive in key order, in several reads.
 */
import * as arrayReaders from '../store/array-reader';
import type * as jobs from '../types/batch-job';
import type * as stores from '../types/store';
import * as storedItems from './stored-item';

const KEY_PATTERN = /^items\.\d{4}$/;

/** The items of one job. */
export class ItemDecoder {
  private readonly reader = arrayReaders.ArrayReader.create();

  static create(): ItemDecoder {
    return new ItemDecoder();
  }

  /** Whether all items were decoded. */
  get isComplete(): boolean {
    return this.reader.isComplete;
  }

  /** Bytes of an item whose other rows have not arrived. */
  get pendingBytes(): number {
    return this.reader.pendingBytes;
  }

  /** Returns the items that the next rows complete; undefined when no gateway can have written them. */
  decode(rows: readonly stores.Row[]): jobs.Item[] | undefined {
    const chunks = rows.filter((row) => KEY_PATTERN.test(row.key)).map((row) => row.value);
    try {
      const stored = this.reader.read(Buffer.concat(chunks));
      return stored.every(storedItems.isStoredItem)
        ? stored.map(storedItems.decodeItem)
        : undefined;
    } catch {
      // The caller reports the rows.
      return undefined;
    }
  }
}
