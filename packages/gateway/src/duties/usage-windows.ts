/**
 * The windows of time for which usage is reported, and the decision what to do next about one of them.
 *
 * Load pattern: the holder changes at any moment while gateways die, join, or are cut off from the store,
 * so that their counts come late or never. A report that was stored is final: whoever sends it sends
 * the same counts. Before that the counts of all live gateways are awaited for as long as there is time.
 */
import type * as dutyApis from '../types/duty-api';

/** The timing of the reports of a deployment. */
export interface UsageTiming {
  readonly windowMs: number;
  /** How long after the end of its window a report is due. */
  readonly dueMs: number;
}

/** The counts that one process wrote for a window. */
export interface GatewayCounts {
  readonly vm: string;
  readonly isFinal: boolean;
  readonly counts: dutyApis.UsageCounts;
}

/** What is known of a window whose report was not stored. */
export interface UnreportedWindow {
  readonly windowNo: number;
  readonly rows: readonly GatewayCounts[];
  /** When the present holder first read the rows, as Unix time. */
  readonly firstReadMs: number;
}

export type WindowStep =
  /** Store a report; the VMs in `missing` have not written their final counts. */
  | {
      readonly kind: 'store';
      readonly counts: dutyApis.UsageCounts;
      readonly missing: readonly string[];
    }
  | { readonly kind: 'wait' };

/** Counts are awaited until this long before the report is due, which leaves time to send it. */
const SENDING_MS = 3000;
/** How long counts are awaited where the report is already late: the store may just have come back. */
const LATE_ROWS_WAIT_MS = 2500;
/** A report that is late by more than this is not sent any more. */
const MAXIMUM_LATENESS_MS = 60_000;

const WAIT: WindowStep = { kind: 'wait' };

export function findWindow(unixMs: number, { windowMs }: UsageTiming): number {
  return Math.floor(unixMs / windowMs);
}

export function computeEndMs(windowNo: number, { windowMs }: UsageTiming): number {
  return (windowNo + 1) * windowMs;
}

/** When the report of a window is due. */
export function computeDueMs(windowNo: number, timing: UsageTiming): number {
  return computeEndMs(windowNo, timing) + timing.dueMs;
}

/** The oldest window that may still be reported. */
export function findOldestWindow(unixMs: number, timing: UsageTiming): number {
  const oldestEndMs = unixMs - timing.dueMs - MAXIMUM_LATENESS_MS;
  return Math.ceil(oldestEndMs / timing.windowMs) - 1;
}

/** Decides about a window that has ended. */
export function planWindow(
  { windowNo, rows, firstReadMs }: UnreportedWindow,
  liveVms: readonly string[],
  unixMs: number,
  timing: UsageTiming,
): WindowStep {
  // Where no gateway has counted, the system had not started, or the counts are still to come.
  if (rows.length === 0) return WAIT;
  const complete = new Set(rows.filter(({ isFinal }) => isFinal).map(({ vm }) => vm));
  const missing = liveVms.filter((vm) => !complete.has(vm));
  const dueMs = computeDueMs(windowNo, timing);
  const waitUntilMs = firstReadMs < dueMs ? dueMs - SENDING_MS : firstReadMs + LATE_ROWS_WAIT_MS;
  if (missing.length > 0 && unixMs < waitUntilMs) return WAIT;
  return { kind: 'store', counts: sumCounts(rows), missing };
}

function sumCounts(rows: readonly GatewayCounts[]): dutyApis.UsageCounts {
  const sums = new Map<string, number>();
  rows.forEach(({ counts }) => {
    Object.entries(counts).forEach(([name, count]) => {
      sums.set(name, (sums.get(name) ?? 0) + count);
    });
  });
  return Object.fromEntries([...sums].sort(([first], [second]) => (first < second ? -1 : 1)));
}
