/**
 * The rows that tell at which software the streams of callers began, and since when the replicas of a
 * service have the software that they have. No gateway watches them: they are read when a caller
 * resumes a stream that this gateway does not know.
 *
 * - `origins/N`: streams that one gateway began, many in a row; the key begins with the time.
 * - `software/`: one row for each service.
 */
import * as decisions from '@azureworks/decisions';
import * as values from '../store/json-value';
import type * as stores from '../types/store';

const ORIGINS_TABLE = 'origins';
const SOFTWARE_TABLE = 'software';
/** Spreads the writes, as one partition takes only so many transactions. */
const PARTITIONS = 4;
const TIME_DIGITS = 15;
/** Streams in one row; their ids fit the 64 KiB that the store takes. */
export const MAXIMUM_STREAMS_PER_ROW = 1000;

/** The software at which a stream began. */
export interface StreamOrigin {
  readonly attemptId: string;
  readonly software: string;
}

/** The software of a service's replicas. */
export interface ServiceSoftware {
  readonly software: readonly string[];
  /** Since when, on the store's clock. */
  readonly sinceMs: number;
}

/** The rows of all streams that began at or after a time of the store. */
export function listOriginRanges(fromMs: number): stores.RowRange[] {
  return Array.from({ length: PARTITIONS }, (_unused, index) => ({
    table: ORIGINS_TABLE,
    partition: String(index),
    from: createTimeKey(fromMs),
  }));
}

/** Whether the streams in a row began before a time of the store. */
export function isOlder(row: stores.Row, beforeMs: number): boolean {
  return row.key < createTimeKey(beforeMs);
}

/** @param writer identifies the process and the write */
export function encodeOrigins(
  origins: readonly StreamOrigin[],
  storeNowMs: number,
  writer: { readonly vm: string; readonly writeId: string },
): stores.RowWrite {
  const idsBySoftware: Record<string, string[]> = {};
  origins.forEach(({ attemptId, software }) => {
    idsBySoftware[software] = [...(idsBySoftware[software] ?? []), attemptId];
  });
  return {
    table: ORIGINS_TABLE,
    partition: String(decisions.hashText(writer.vm) % PARTITIONS),
    key: `${createTimeKey(storeNowMs)}.${writer.writeId}`,
    value: Buffer.from(JSON.stringify(idsBySoftware)),
  };
}

/** Decodes a row; empty when no gateway can have written it. */
export function decodeOrigins(row: stores.Row): StreamOrigin[] {
  const idsBySoftware = values.getFields(values.parseJson(row.value));
  return Object.entries(idsBySoftware).flatMap(([software, ids]) =>
    Array.isArray(ids)
      ? ids.filter(values.isText).map((attemptId) => ({ attemptId, software }))
      : [],
  );
}

export function locateSoftware(service: string): stores.RowAddress {
  return { table: SOFTWARE_TABLE, partition: '', key: service };
}

/** The row of a service. */
export function createSoftwareRange(service: string): stores.RowRange {
  return { table: SOFTWARE_TABLE, partition: '', from: service, to: `${service}\0` };
}

export function encodeSoftware(service: string, value: ServiceSoftware): stores.RowWrite {
  return { ...locateSoftware(service), value: Buffer.from(JSON.stringify(value)) };
}

/** Decodes a row; undefined when no gateway can have written it. */
export function decodeSoftware(row: stores.Row): ServiceSoftware | undefined {
  const { software, sinceMs } = values.getFields(values.parseJson(row.value));
  if (!values.isTextList(software) || !values.isNumber(sinceMs)) return undefined;
  return { software, sinceMs };
}

function createTimeKey(storeMs: number): string {
  return String(Math.max(0, Math.floor(storeMs))).padStart(TIME_DIGITS, '0');
}
