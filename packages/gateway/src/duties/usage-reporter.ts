/**
 * Reports usage while this gateway holds the duty.
 *
 * For each window that has ended, the holder awaits the counts of the live gateways, stores the report
 * under the condition that none exists, sends what is stored, and marks it as settled once the platform
 * has accepted it. Every step starts from what the store holds, so it can be repeated by anyone after any
 * failure, and a report has the same counts whoever sends it.
 *
 * Where the platform does not check fencing tokens, a call of a former holder that is carried out late
 * would be taken for one of a second holder. There a report is marked only when no call with it can be on
 * its way any more, and a holder that finds an unmarked report of a former one waits before its first call.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import * as dutyApis from '../types/duty-api';
import type * as environments from '../types/environment';
import * as callPacers from './call-pacer';
import type * as tenures from './tenure';
import type * as trueTimes from './true-time';
import type * as usageLedgers from './usage-ledger';
import * as usageWindows from './usage-windows';

export interface UsageReporterOptions {
  readonly environment: environments.Environment;
  readonly time: Pick<trueTimes.TrueTime, 'nowMs' | 'isKnown'>;
  readonly timing: usageWindows.UsageTiming;
  readonly ledger: usageLedgers.UsageLedger;
  readonly tenure: Pick<tenures.Tenure, 'fence' | 'sinceMs' | 'reject'>;
  readonly api: dutyApis.DutyApi;
  /** The calls that all gateways together may make in a second. */
  readonly callsPerSecond: number;
  /** Whether the platform rejects calls with a lower token than it has seen. */
  readonly checksFences: boolean;
  /** The VMs of the live gateways, including this one. */
  readonly listGateways: () => readonly string[];
}

/** Pause between two looks at the windows. */
const CYCLE_MS = 400;
/**
 * How long after it was sent a call without an answer may still be carried out: the platform may do that
 * seconds later.
 */
const LATE_CALL_MS = 8000;

interface LastCall {
  readonly outcome: dutyApis.DutyCallStatus;
  readonly atMs: number;
}

/** Makes the calls of the duty. */
export class UsageReporter implements runtime.Task {
  readonly name = 'usage reports';

  private readonly errors: errorGuards.ErrorGuard;

  private readonly pacer: callPacers.CallPacer;

  /** Since when the tenure has lasted of which all windows were read. */
  private knownSinceMs: number | undefined;

  /** No call is made before this time. */
  private quietUntilMs = -Infinity;

  /** Until when a call with the report of a window may be carried out late. */
  private readonly uncertainUntilMs = new Map<number, number>();

  private lastCall: LastCall | undefined;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private constructor(private readonly options: UsageReporterOptions) {
    const { environment, callsPerSecond, ledger, time } = options;
    this.errors = errorGuards.ErrorGuard.create(environment, this.name);
    this.pacer = callPacers.CallPacer.create(callsPerSecond, environment);
    const { metrics } = environment;
    metrics.gauge('usage_windows_open', {}, () => ledger.list(time.nowMs).length);
    Object.values(dutyApis.DutyCallStatus).forEach((outcome) => {
      metrics.gauge('duty_last_call', { duty: 'usage', outcome }, () =>
        this.lastCall?.outcome === outcome ? 1 : 0,
      );
    });
    metrics.gauge('duty_last_call_age_s', { duty: 'usage' }, () => this.lastCallAgeS);
  }

  static create(options: UsageReporterOptions): UsageReporter {
    return new UsageReporter(options);
  }

  start(): Promise<void> {
    this.runCycle();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    return Promise.resolve();
  }

  /** -1 before the first call. */
  private get lastCallAgeS(): number {
    if (!this.lastCall) return -1;
    return Math.round((this.options.environment.nowMs() - this.lastCall.atMs) / 1000);
  }

  private async runCycle(): Promise<void> {
    await this.errors.settle(() => this.work(), undefined);
    if (this.isStopped) return;
    const delayMs = CYCLE_MS * (0.8 + 0.4 * this.options.environment.random());
    this.timer = setTimeout(() => this.runCycle(), delayMs);
  }

  private async work(): Promise<void> {
    const { tenure, ledger, time } = this.options;
    const { fence, sinceMs } = tenure;
    if (fence === undefined || sinceMs === undefined) {
      this.forget();
      return;
    }
    // Before the members were read, it is not known whose counts are to be awaited.
    if (!time.isKnown) return;
    const isNew = sinceMs !== this.knownSinceMs;
    if (isNew) this.forget();
    this.giveUp();
    const isComplete = await ledger.read(time.nowMs);
    if (!this.isHeld(fence) || tenure.sinceMs !== sinceMs) return;
    if (isNew) {
      // Until all windows were read, it is not known whether a call of a former holder is on its way.
      if (!isComplete) return;
      this.awaitFormerCalls(fence, sinceMs);
      this.knownSinceMs = sinceMs;
    }
    await this.storeReports(fence);
    await this.sendReport(fence);
    await this.settleReports(fence);
  }

  /** Forgets the windows: another gateway may change them. */
  private forget(): void {
    this.knownSinceMs = undefined;
    this.options.ledger.clear();
  }

  private isHeld(fence: number): boolean {
    return !this.isStopped && this.options.tenure.fence === fence;
  }

  private giveUp(): void {
    const { environment, ledger, time } = this.options;
    const now = time.nowMs;
    ledger.giveUp(now).forEach(({ windowNo, rows, report, calls }) => {
      environment.metrics.count('usage_windows', { outcome: 'missing' });
      environment.log.warn('usage window missing', {
        window: windowNo,
        gateways: rows.length,
        isStored: report !== undefined,
        calls,
      });
    });
    const nowMs = environment.nowMs();
    this.uncertainUntilMs.forEach((untilMs, windowNo) => {
      if (untilMs <= nowMs) this.uncertainUntilMs.delete(windowNo);
    });
  }

  private awaitFormerCalls(fence: number, sinceMs: number): void {
    this.quietUntilMs = -Infinity;
    const { checksFences, ledger, time, environment } = this.options;
    if (checksFences) return;
    const untilMs = sinceMs + LATE_CALL_MS;
    const unsettled = ledger.list(time.nowMs).filter(({ report }) => report !== undefined);
    unsettled.forEach(({ windowNo }) => this.recordUncertainty(windowNo, untilMs));
    // Calls with this token are those of a former process on this VM.
    if (unsettled.every(({ report }) => report?.fence === fence)) return;
    this.quietUntilMs = untilMs;
    environment.log.info('usage reports wait for calls of a former holder', {
      fence,
      windows: unsettled.length,
      waitMs: Math.round(untilMs - environment.nowMs()),
    });
  }

  private recordUncertainty(windowNo: number, untilMs: number): void {
    const knownMs = this.uncertainUntilMs.get(windowNo) ?? -Infinity;
    this.uncertainUntilMs.set(windowNo, Math.max(knownMs, untilMs));
  }

  private async storeReports(fence: number): Promise<void> {
    const { ledger, time, timing, listGateways } = this.options;
    const unreported = ledger.list(time.nowMs).filter(({ report }) => report === undefined);
    for (const window of unreported) {
      const step = usageWindows.planWindow(window, listGateways(), time.nowMs, timing);
      if (step.kind === 'store' && this.isHeld(fence)) {
        const { counts, missing } = step;
        await ledger.storeReport(window, { counts, fence, isSettled: false }, missing);
      }
    }
  }

  private async sendReport(fence: number): Promise<void> {
    const { environment, ledger, time, api, tenure } = this.options;
    const window = ledger.list(time.nowMs).find(({ report, isAccepted }) => report && !isAccepted);
    if (!window?.report || !this.pacer.mayCall) return;
    const sentMs = environment.nowMs();
    if (sentMs < this.quietUntilMs || !this.isHeld(fence)) return;
    const { windowNo, report } = window;
    window.calls += 1;
    const outcome = await api.reportUsage(
      { holder: environment.vm, fence, mayStillCall: () => this.isHeld(fence) },
      { windowNo, counts: report.counts },
    );
    const { status } = outcome;
    this.lastCall = { outcome: status, atMs: environment.nowMs() };
    this.pacer.record(status === dutyApis.DutyCallStatus.Accepted);
    if (status === dutyApis.DutyCallStatus.Accepted) window.isAccepted = true;
    if (status === dutyApis.DutyCallStatus.StaleFence) tenure.reject(fence);
    if (status === dutyApis.DutyCallStatus.Unknown) {
      this.recordUncertainty(windowNo, environment.nowMs() + LATE_CALL_MS);
    }
    this.logCall(window, fence, outcome, sentMs);
  }

  private logCall(
    window: usageLedgers.LedgerWindow,
    fence: number,
    { status, reason }: dutyApis.DutyCallOutcome,
    sentMs: number,
  ): void {
    const { environment, time, timing } = this.options;
    const { windowNo, calls, missing, rows, report } = window;
    const lateMs = Math.round(time.nowMs - usageWindows.computeDueMs(windowNo, timing));
    environment.metrics.count('duty_calls', { duty: 'usage', outcome: status });
    if (window.isAccepted) {
      environment.metrics.count('usage_windows', { outcome: lateMs > 0 ? 'late' : 'reported' });
    }
    environment.log.info('usage reported', {
      window: windowNo,
      fence,
      outcome: status,
      reason,
      calls,
      gateways: rows.length,
      missing: missing.join(','),
      requests: Object.values(report?.counts ?? {}).reduce((sum, count) => sum + count, 0),
      lateMs,
      tookMs: Math.round(environment.nowMs() - sentMs),
    });
  }

  private async settleReports(fence: number): Promise<void> {
    const { environment, ledger, time, checksFences } = this.options;
    const accepted = ledger
      .list(time.nowMs)
      .filter(({ isAccepted, report }) => isAccepted && report);
    for (const window of accepted) {
      const untilMs = this.uncertainUntilMs.get(window.windowNo) ?? -Infinity;
      const isCertain = checksFences || environment.nowMs() >= untilMs;
      if (isCertain && this.isHeld(fence)) await ledger.settle(window);
    }
  }
}
