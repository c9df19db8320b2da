/**
 * The rows of usage. Each window has a partition with the counts of each gateway process and, once it
 * exists, the report. The counts of a process have one writer; the report is written once, and then once
 * more to mark it as accepted.
 */
import * as values from '../store/json-value';
import type * as dutyApis from '../types/duty-api';
import type * as stores from '../types/store';
import type * as usageWindows from './usage-windows';

export const USAGE_TABLE = 'usage';
const COUNTS_PREFIX = 'counts/';
const REPORT_KEY = 'report';

/** A report as stored. */
export interface StoredReport {
  readonly counts: dutyApis.UsageCounts;
  /** The token under which it was stored. */
  readonly fence: number;
  /** Whether the platform has accepted it and no call with it can be on its way any more. */
  readonly isSettled: boolean;
}

/** What the rows of a window tell. */
export interface WindowRows {
  readonly counts: readonly usageWindows.GatewayCounts[];
  readonly report: (StoredReport & { readonly revision: number }) | undefined;
  readonly odd: readonly stores.Row[];
}

export function getPartition(windowNo: number): string {
  return String(windowNo);
}

/** The window of a partition; undefined when it is that of none. */
export function parsePartition(partition: string): number | undefined {
  const windowNo = Number(partition);
  return values.isWhole(windowNo) && String(windowNo) === partition ? windowNo : undefined;
}

export function locateReport(windowNo: number): stores.RowAddress {
  return { table: USAGE_TABLE, partition: getPartition(windowNo), key: REPORT_KEY };
}

export function encodeReport(windowNo: number, report: StoredReport): stores.RowWrite {
  const { counts, fence, isSettled } = report;
  const value = Buffer.from(JSON.stringify({ counts, fence, isSettled }));
  return { ...locateReport(windowNo), value };
}

/** @param process names a process, and no other one before or after it */
export function encodeCounts(
  windowNo: number,
  process: string,
  { vm, isFinal, counts }: usageWindows.GatewayCounts,
): stores.RowWrite {
  const key = `${COUNTS_PREFIX}${process}`;
  const value = Buffer.from(JSON.stringify({ vm, isFinal, counts }));
  return { table: USAGE_TABLE, partition: getPartition(windowNo), key, value };
}

/** Decodes the rows of a window. */
export function decodeWindow(rows: readonly stores.Row[]): WindowRows {
  const counts: usageWindows.GatewayCounts[] = [];
  const odd: stores.Row[] = [];
  let report: WindowRows['report'];
  rows.forEach((row) => {
    const decoded = row.key === REPORT_KEY ? decodeReport(row) : decodeCounts(row);
    if (!decoded) odd.push(row);
    else if ('fence' in decoded) report = { ...decoded, revision: row.revision };
    else counts.push(decoded);
  });
  return { counts, report, odd };
}

function decodeReport(row: stores.Row): StoredReport | undefined {
  const { counts, fence, isSettled } = values.getFields(values.parseJson(row.value));
  if (!isCounts(counts) || !values.isWhole(fence)) return undefined;
  return { counts, fence, isSettled: isSettled === true };
}

function decodeCounts(row: stores.Row): usageWindows.GatewayCounts | undefined {
  const { vm, isFinal, counts } = values.getFields(values.parseJson(row.value));
  if (!row.key.startsWith(COUNTS_PREFIX) || !values.isText(vm) || !isCounts(counts)) {
    return undefined;
  }
  return { vm, isFinal: isFinal === true, counts };
}

function isCounts(value: unknown): value is dutyApis.UsageCounts {
  const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isObject && Object.values(value).every((count) => values.isWhole(count));
}
