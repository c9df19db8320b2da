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
import * as values from '../store/json-value';
import * as jobs from '../types/batch-job';
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
  /** The organisation that submitted it; undefined when it needed none. */
  readonly organisation?: string | undefined;
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
export const MAXIMUM_CHUNK_BYTES = 60_000;
const POSITION_DIGITS = 6;
const CHUNK_DIGITS = 2;
/** Positions have six digits. */
const MAXIMUM_ITEMS = 10 ** POSITION_DIGITS - 1;
const POSITION_KEY_PATTERN = /^\d{6}\.\d{2}$/;

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

/** Decodes a head row; undefined when no gateway can have written it. */
export function decodeHead(row: stores.Row): JobHead | undefined {
  const head = values.getFields(values.parseJson(row.value));
  const { total, listed } = head;
  const isHead =
    (head.owner === null || isOwner(head.owner)) &&
    [head.isEnded, head.isFinished].every((flag) => typeof flag === 'boolean') &&
    values.isWhole(total, 0, MAXIMUM_ITEMS) &&
    values.isWhole(listed, 0, total) &&
    // A time that was not known yet is written as null.
    [head.submittedMs, head.acceptedMs ?? null].every(isNumberOrNull) &&
    [head.step, head.oldestVersion, head.wantedGroups].every(isNumberOrNull) &&
    (head.organisation === undefined || values.isText(head.organisation)) &&
    [head.host, head.path, head.model, head.writeId].every(values.isText);
  return isHead ? (head as unknown as JobHead) : undefined;
}

function isOwner(value: unknown): value is JobOwner {
  const { vm, incarnation } = values.getFields(value);
  return values.isText(vm) && values.isText(incarnation);
}

export function isNumberOrNull(value: unknown): boolean {
  return value === null || values.isNumber(value);
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

/** The values at the positions of a table. */
export interface DecodedPositions<Value> {
  readonly entries: readonly { readonly position: number; readonly value: Value }[];
  /** Rows that hold no value: those of other keys, and those that cannot be decoded. */
  readonly oddRows: readonly stores.Row[];
  /** The positions that were written, but whose values cannot be decoded. */
  readonly undecodablePositions: readonly number[];
}

/** Decodes the values at all positions; the rows must be in key order. */
export function decodePositionRows<Value>(
  rows: readonly stores.Row[],
  decode: (value: unknown) => Value | undefined,
): DecodedPositions<Value> {
  const oddRows = rows.filter((row) => !POSITION_KEY_PATTERN.test(row.key));
  const chunks = new Map<number, stores.Row[]>();
  rows
    .filter((row) => POSITION_KEY_PATTERN.test(row.key))
    .forEach((row) => {
      const position = Number(row.key.slice(0, POSITION_DIGITS));
      const earlierChunks = chunks.get(position);
      if (earlierChunks) earlierChunks.push(row);
      else chunks.set(position, [row]);
    });
  const entries: { readonly position: number; readonly value: Value }[] = [];
  const undecodablePositions: number[] = [];
  chunks.forEach((positionRows, position) => {
    const encoded = Buffer.concat(positionRows.map((row) => row.value));
    const value = decode(values.parseJson(encoded));
    if (value !== undefined) {
      entries.push({ position, value });
      return;
    }
    undecodablePositions.push(position);
    oddRows.push(...positionRows);
  });
  return { entries, oddRows, undecodablePositions };
}

/** Checks a decoded result; undefined when no gateway can have written it. */
export function decodeResult(value: unknown): jobs.ItemResult | undefined {
  const { itemId, state, text, versions, score } = values.getFields(value);
  const isResult =
    [itemId, text].every(values.isText) &&
    (state === jobs.ResultState.Completed || state === jobs.ResultState.Terminated) &&
    Array.isArray(versions) &&
    versions.every(values.isNumber) &&
    (score === undefined || values.isText(score));
  return isResult ? (value as jobs.ItemResult) : undefined;
}

/** Checks a decoded text; undefined when no gateway can have written it. */
export function decodePartialText(value: unknown): PartialText | undefined {
  const { itemId, events, lastEvent, versions, software } = values.getFields(value);
  const isPartialText =
    values.isText(itemId) &&
    values.isTextList(events) &&
    values.isWhole(lastEvent, -1) &&
    Array.isArray(versions) &&
    versions.every(values.isNumber) &&
    (software === undefined || values.isText(software));
  return isPartialText ? (value as PartialText) : undefined;
}

/** Splits a value into chunks that fit a row. */
export function splitIntoChunks(value: Buffer): Buffer[] {
  const chunks: Buffer[] = [];
  for (let start = 0; start < value.length; start += MAXIMUM_CHUNK_BYTES) {
    chunks.push(value.subarray(start, start + MAXIMUM_CHUNK_BYTES));
  }
  return chunks;
}
