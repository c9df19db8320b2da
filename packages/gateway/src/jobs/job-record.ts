/**
 * How a batch job lies in the store: all its rows are in one partition, named by the job's id.
 *
 * - `jobs/head`: who runs it and how far its results are listed; every change of the job is
 *   conditional on the revision of this row, so two gateways can never both change a job.
 * - `jobs/items.NNNN`: the items, in chunks that fit a row.
 * - `results/NNNNNN.CC`: the result at a position, in chunks that fit a row.
 * - `open/open`: there while the job still has to be run.
 * - `partials/NNNNNN.CC`: the unfinished text of an item, left by a gateway that stopped.
 * - `notices/...`: tells all gateways at once that a job was ended or given back.
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

/** What a notice tells; also its key. */
export const Notice = {
  Ended: 'ended',
  /** The gateway on the VM that is the value stops, and gave the job back. */
  Released: 'released',
  /** The job was accepted for another gateway, whose VM is the value. */
  Assigned: 'assigned',
} as const;
export type Notice = (typeof Notice)[keyof typeof Notice];

/** The process that runs a job. */
export interface JobOwner {
  readonly vm: string;
  readonly incarnation: string;
}

/** The head row of a job. */
export interface JobHead {
  /** null while nobody runs the job. */
  readonly owner: JobOwner | null;
  readonly isEnded: boolean;
  readonly isFinished: boolean;
  /** Number of items. */
  readonly total: number;
  /** Number of results listed. */
  readonly listed: number;
  /** When the job was accepted, on the store's clock. */
  readonly submittedMs: number;
  readonly host: string;
  readonly path: string;
  readonly step: number;
  readonly model: string;
  readonly oldestVersion: number;
  readonly wantedGroups: number;
  /** Differs between all writes of the row. */
  readonly writeId: string;
}

/** What a replica has made of an item so far. */
export interface PartialText {
  readonly itemId: string;
  /** The data of all events in order. */
  readonly events: readonly string[];
  /** The id of the last event; the next run goes on after it. */
  readonly lastEvent: number;
  readonly versions: readonly number[];
}

/** Bytes of a value that safely fit a row of the store (64 KiB). */
const CHUNK_BYTES = 60_000;
const POSITION_DIGITS = 6;
const CHUNK_DIGITS = 2;
const ITEM_CHUNK_DIGITS = 4;

/** The value of a row. */
export function encodeValue(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** The head from its row; undefined when the row is not one. */
export function decodeHead(row: stores.Row): JobHead | undefined {
  try {
    return JSON.parse(row.value.toString()) as JobHead;
  } catch {
    return undefined;
  }
}

/** The key of the first chunk at a position. */
export function createPositionKey(position: number): string {
  return String(position).padStart(POSITION_DIGITS, '0');
}

/** The rows of a value at a position of a table, cut into chunks that fit. */
export function createPositionRows(
  table: string,
  partition: string,
  position: number,
  value: unknown,
): stores.RowWrite[] {
  const key = createPositionKey(position);
  return cut(encodeValue(value)).map((chunk, index) => ({
    table,
    partition,
    key: `${key}.${String(index).padStart(CHUNK_DIGITS, '0')}`,
    value: chunk,
  }));
}

/** The values at positions, from their rows in key order. */
export function readPositions<Value>(
  rows: readonly stores.Row[],
): { readonly position: number; readonly value: Value }[] {
  const chunks = new Map<number, Buffer[]>();
  rows.forEach((row) => {
    const position = Number(row.key.slice(0, POSITION_DIGITS));
    const list = chunks.get(position);
    if (list) list.push(row.value);
    else chunks.set(position, [row.value]);
  });
  return [...chunks].map(([position, parts]) => ({
    position,
    value: JSON.parse(Buffer.concat(parts).toString()) as Value,
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

/** The rows that hold a job's items. */
export function createItemRows(job: jobs.BatchJob): stores.RowWrite[] {
  const encoded = encodeValue(job.items.map(storeItem));
  return cut(encoded).map((value, index) => ({
    table: JOBS_TABLE,
    partition: job.id,
    key: `${ITEMS_PREFIX}${String(index).padStart(ITEM_CHUNK_DIGITS, '0')}`,
    value,
  }));
}

/** The items of a job, from their rows in key order. */
export function readItems(rows: readonly stores.Row[]): jobs.Item[] {
  const encoded = Buffer.concat(rows.map((row) => row.value));
  return (JSON.parse(encoded.toString()) as StoredItem[]).map(loadItem);
}

function storeItem(item: jobs.Item): StoredItem {
  const { scoring, ...rest } = item;
  return {
    ...rest,
    body: item.body.toString('base64'),
    ...(scoring ? { scoring: { ...scoring, body: scoring.body.toString('base64') } } : {}),
  };
}

function loadItem(stored: StoredItem): jobs.Item {
  const { scoring } = stored;
  return {
    ...stored,
    expectedOutputTokens: stored.expectedOutputTokens ?? undefined,
    body: Buffer.from(stored.body, 'base64'),
    scoring: scoring ? { ...scoring, body: Buffer.from(scoring.body, 'base64') } : undefined,
  };
}

function cut(value: Buffer): Buffer[] {
  const chunks: Buffer[] = [];
  for (let start = 0; start < value.length; start += CHUNK_BYTES) {
    chunks.push(value.subarray(start, start + CHUNK_BYTES));
  }
  return chunks;
}
