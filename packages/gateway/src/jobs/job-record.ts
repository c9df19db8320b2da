/**
 * The rows of a batch job in the store. All of them are in one partition, named by the job's id:
 *
 * - `jobs/head`: the owner of the job and the number of results in its list. Every change of the
 *   job is conditional on the revision of this row, so two gateways can never both change a job.
 * - `jobs/items.NNNN`: the items, in chunks that fit a row.
 * - `results/NNNNNN.CC`: the result at position NNNNNN of the list, in chunks that fit a row.
 * - `open/open`: exists while the job still has to be run.
 * - `partials/NNNNNN.CC`: the incomplete text of item NNNNNN, saved as a checkpoint or when its
 *   gateway stopped.
 * - `notices/...`: notifies all gateways that a job was ended, released or assigned.
 */
import type * as jobs from '../types/batch-job';
import type * as stores from '../types/store';

export const JOBS_TABLE = 'jobs';
export const RESULTS_TABLE = 'results';
export const OPEN_TABLE = 'open';
export const PARTIALS_TABLE = 'partials';
export const NOTICES_TABLE = 'notices';
export const HEAD_KEY = 'head';
export const OPEN_KEY = 'open';
export const ITEMS_PREFIX = 'items.';
/** The first key after all keys that begin with ITEMS_PREFIX. */
export const ITEMS_END = 'items/';

/** The kind of a notice; also the key of its row. */
export const Notice = {
  Ended: 'ended',
  /** A stopping gateway released the job; the value of the row names the process. */
  Released: 'released',
  /** The job was accepted for another gateway to run; the value of the row is its VM. */
  Assigned: 'assigned',
} as const;
export type Notice = (typeof Notice)[keyof typeof Notice];

/** The gateway process that runs a job. */
export interface JobOwner {
  readonly vm: string;
  readonly incarnation: string;
}

/** The head row of a job. */
export interface JobHead {
  /** null while no gateway runs the job. */
  readonly owner: JobOwner | null;
  readonly isEnded: boolean;
  readonly isFinished: boolean;
  /** Number of items. */
  readonly total: number;
  /** Number of results in the job's list. */
  readonly listed: number;
  /**
   * When the job was submitted, on the store's clock as far as the submitting gateway knew it; its
   * view may be behind, so this may be too early.
   */
  readonly submittedMs: number;
  /**
   * A time on the store's clock that is certainly no earlier than the submission: the items live from
   * then on. Undefined until a gateway changes the job after the store has responded.
   */
  readonly acceptedMs?: number;
  readonly host: string;
  readonly path: string;
  readonly step: number;
  readonly model: string;
  readonly oldestVersion: number;
  readonly wantedGroups: number;
  /** Unique to each write of the row. */
  readonly writeId: string;
}

/** The text of an item as far as replicas have generated it. */
export interface PartialText {
  readonly itemId: string;
  /** The data of all events in order. */
  readonly events: readonly string[];
  /** The id of the last event; the next run continues after it. */
  readonly lastEvent: number;
  readonly versions: readonly number[];
  /** The software that wrote it; undefined when it is not known. */
  readonly software?: string;
}

/** Fits a row of the store, which takes 64 KiB, with a margin. */
const MAXIMUM_CHUNK_BYTES = 60_000;
const POSITION_DIGITS = 6;
const CHUNK_DIGITS = 2;
const ITEM_CHUNK_DIGITS = 4;

/** Decodes the process that released a job; undefined when the notice does not name one. */
export function decodeReleaser(row: stores.Row): JobOwner | undefined {
  try {
    const { vm, incarnation } = JSON.parse(row.value.toString()) as Partial<JobOwner>;
    if (typeof vm !== 'string' || typeof incarnation !== 'string') return undefined;
    return { vm, incarnation };
  } catch {
    // Former versions of this program wrote the VM alone, which does not tell processes apart.
    return undefined;
  }
}

/** Encodes the value of a row. */
export function encodeValue(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** Decodes a head row; undefined when its value cannot be parsed. */
export function decodeHead(row: stores.Row): JobHead | undefined {
  try {
    return JSON.parse(row.value.toString()) as JobHead;
  } catch {
    return undefined;
  }
}

/** The common prefix of the keys at a position; it sorts before all of them. */
export function createPositionKey(position: number): string {
  return String(position).padStart(POSITION_DIGITS, '0');
}

/** Creates the rows of a value at a position of a table, in chunks that fit a row. */
export function createPositionRows(
  table: string,
  partition: string,
  position: number,
  value: unknown,
): stores.RowWrite[] {
  const key = createPositionKey(position);
  return splitIntoChunks(encodeValue(value)).map((chunk, index) => ({
    table,
    partition,
    key: `${key}.${String(index).padStart(CHUNK_DIGITS, '0')}`,
    value: chunk,
  }));
}

/** Decodes the values at all positions; the rows must be in key order. */
export function decodePositionRows<Value>(
  rows: readonly stores.Row[],
): { readonly position: number; readonly value: Value }[] {
  const chunks = new Map<number, Buffer[]>();
  rows.forEach((row) => {
    const position = Number(row.key.slice(0, POSITION_DIGITS));
    const earlierChunks = chunks.get(position);
    if (earlierChunks) earlierChunks.push(row.value);
    else chunks.set(position, [row.value]);
  });
  return [...chunks].map(([position, positionChunks]) => ({
    position,
    value: JSON.parse(Buffer.concat(positionChunks).toString()) as Value,
  }));
}

interface StoredScoring {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly body: string;
}

type StoredItem = Omit<jobs.Item, 'body' | 'scoring'> & {
  readonly body: string;
  readonly scoring?: StoredScoring;
};

/** Creates the rows that hold a job's items. */
export function createItemRows(job: jobs.BatchJob): stores.RowWrite[] {
  const encoded = encodeValue(job.items.map(encodeItem));
  return splitIntoChunks(encoded).map((value, index) => ({
    table: JOBS_TABLE,
    partition: job.id,
    key: `${ITEMS_PREFIX}${String(index).padStart(ITEM_CHUNK_DIGITS, '0')}`,
    value,
  }));
}

/** Decodes the items of a job; the rows must be in key order. */
export function decodeItemRows(rows: readonly stores.Row[]): jobs.Item[] {
  const encoded = Buffer.concat(rows.map((row) => row.value));
  return (JSON.parse(encoded.toString()) as StoredItem[]).map(decodeItem);
}

function encodeItem(item: jobs.Item): StoredItem {
  const { scoring, ...rest } = item;
  return {
    ...rest,
    body: item.body.toString('base64'),
    ...(scoring ? { scoring: { ...scoring, body: scoring.body.toString('base64') } } : {}),
  };
}

function decodeItem(stored: StoredItem): jobs.Item {
  const { scoring } = stored;
  return {
    ...stored,
    expectedOutputTokens: stored.expectedOutputTokens ?? undefined,
    body: Buffer.from(stored.body, 'base64'),
    scoring: scoring ? { ...scoring, body: Buffer.from(scoring.body, 'base64') } : undefined,
  };
}

function splitIntoChunks(value: Buffer): Buffer[] {
  const chunks: Buffer[] = [];
  for (let start = 0; start < value.length; start += MAXIMUM_CHUNK_BYTES) {
    chunks.push(value.subarray(start, start + MAXIMUM_CHUNK_BYTES));
  }
  return chunks;
}
