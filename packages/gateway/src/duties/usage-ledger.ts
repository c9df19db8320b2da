/**
 * The stored windows as the present holder of the duty knows them. All changes of a report are conditional
 * on its revision, so a change that is carried out late, or by a former holder, undoes nothing.
 */
import * as oddRows from '../store/odd-rows';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import * as usageRows from './usage-rows';
import * as usageWindows from './usage-windows';

/** A window that has ended. */
export interface LedgerWindow {
  readonly windowNo: number;
  readonly firstReadMs: number;
  readonly rows: readonly usageWindows.GatewayCounts[];
  /** The report as stored; undefined while none is known to be. */
  report: NonNullable<usageRows.WindowRows['report']> | undefined;
  /** The VMs whose final counts were missing when the report was stored by this process. */
  missing: readonly string[];
  /** Whether a call with the report was answered as accepted. */
  isAccepted: boolean;
  calls: number;
}

export interface UsageLedgerOptions {
  readonly environment: environments.Environment;
  readonly store: Pick<stores.Store, 'read' | 'transact'>;
  readonly timing: usageWindows.UsageTiming;
}

/** The rows of a window are first read this share of a window after its end, when counts are written. */
const FIRST_READ_SHARE = 0.2;
/** Pause between reads of a late window without counts: they may still come, or never. */
const EMPTY_WINDOW_PAUSE_MS = 5000;

/** Reads and writes the windows. */
export class UsageLedger {
  private readonly oddRows: oddRows.OddRows;

  private readonly windows = new Map<number, LedgerWindow>();

  private readonly nextReadMs = new Map<number, number>();

  private constructor(private readonly options: UsageLedgerOptions) {
    this.oddRows = oddRows.OddRows.create(options.environment);
  }

  static create(options: UsageLedgerOptions): UsageLedger {
    return new UsageLedger(options);
  }

  /** The windows without a settled report, most urgent first: those that are not late, the older before. */
  list(unixMs: number): LedgerWindow[] {
    const isLate = ({ windowNo }: LedgerWindow): boolean =>
      usageWindows.computeDueMs(windowNo, this.options.timing) <= unixMs;
    return [...this.windows.values()]
      .filter(({ report }) => report?.isSettled !== true)
      .sort(
        (first, second) =>
          Number(isLate(first)) - Number(isLate(second)) || first.windowNo - second.windowNo,
      );
  }

  /** Forgets everything, as another gateway may have changed it. */
  clear(): void {
    this.windows.clear();
    this.nextReadMs.clear();
  }

  /** Forgets the windows that are too old to be reported; returns those that should have been. */
  giveUp(unixMs: number): LedgerWindow[] {
    const oldest = usageWindows.findOldestWindow(unixMs, this.options.timing);
    const former = [...this.windows.values()].filter(({ windowNo }) => windowNo < oldest);
    former.forEach(({ windowNo }) => {
      this.windows.delete(windowNo);
      this.nextReadMs.delete(windowNo);
    });
    return former.filter(
      ({ report, rows, isAccepted }) =>
        !isAccepted && report?.isSettled !== true && (report !== undefined || rows.length > 0),
    );
  }

  /** Reads the windows whose report is not known; returns whether all reads succeeded. */
  async read(unixMs: number): Promise<boolean> {
    const { timing } = this.options;
    const oldest = usageWindows.findOldestWindow(unixMs, timing);
    const newest = usageWindows.findWindow(unixMs - timing.windowMs * FIRST_READ_SHARE, timing) - 1;
    const reads: Promise<boolean>[] = [];
    for (let windowNo = oldest; windowNo <= newest; windowNo += 1) {
      const isDue = (this.nextReadMs.get(windowNo) ?? -Infinity) <= unixMs;
      if (isDue && !this.windows.get(windowNo)?.report) reads.push(this.readOne(windowNo, unixMs));
    }
    return (await Promise.all(reads)).every(Boolean);
  }

  /** Stores a report unless there is one; returns whether it is stored. */
  async storeReport(
    window: LedgerWindow,
    report: usageRows.StoredReport,
    missing: readonly string[],
  ): Promise<boolean> {
    const isStored = await this.write(window, 0, report);
    if (isStored) Object.assign(window, { missing });
    return isStored;
  }

  /** Marks a stored report as settled. */
  async settle(window: LedgerWindow): Promise<boolean> {
    const { report } = window;
    if (!report) return false;
    const { counts, fence, revision } = report;
    return this.write(window, revision, { counts, fence, isSettled: true });
  }

  private async write(
    window: LedgerWindow,
    revision: number,
    report: usageRows.StoredReport,
  ): Promise<boolean> {
    const row = usageRows.encodeReport(window.windowNo, report);
    const outcome = await this.options.store.transact({
      conditions: [{ ...usageRows.locateReport(window.windowNo), revision }],
      writes: [row],
      removals: [],
    });
    const isDone = outcome.status === stores.StoreStatus.Done;
    // Otherwise the next read tells what is stored.
    Object.assign(window, {
      report: isDone ? { ...report, revision: outcome.revision } : undefined,
    });
    this.nextReadMs.delete(window.windowNo);
    return isDone;
  }

  private async readOne(windowNo: number, unixMs: number): Promise<boolean> {
    const { table, partition } = usageRows.locateReport(windowNo);
    const outcome = await this.options.store.read({ table, partition });
    if (outcome.status !== stores.StoreStatus.Done) return false;
    const { counts, report, odd } = usageRows.decodeWindow(outcome.rows);
    odd.forEach((row) => this.oddRows.report(row, 'is not part of the report'));
    const { firstReadMs = unixMs, ...known } = this.windows.get(windowNo) ?? {
      missing: [],
      isAccepted: false,
      calls: 0,
    };
    this.windows.set(windowNo, { ...known, windowNo, firstReadMs, rows: counts, report });
    const isLate = usageWindows.computeDueMs(windowNo, this.options.timing) <= unixMs;
    const pauseMs = isLate && counts.length === 0 ? EMPTY_WINDOW_PAUSE_MS : 0;
    this.nextReadMs.set(windowNo, unixMs + pauseMs);
    return true;
  }
}
