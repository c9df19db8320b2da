/**
 * An in-memory stand-in of what receives the calls of duties. It records the calls that it carries out and
 * the violations among them, and injects failures: down, answers lost, calls carried out late.
 */
import * as gateway from '@azureworks/gateway';

const { DutyCallStatus } = gateway;

/** A call that was carried out. */
export interface RecordedCall extends gateway.UsageReport {
  readonly holder: string;
  readonly fence: number;
  readonly atMs: number;
}

/** Failures to inject; may be changed at any time. */
export interface DutyApiFaults {
  /** Calls are refused. */
  isDown: boolean;
  /** Number of next calls that are carried out and get no answer. */
  loseAnswers: number;
  /** Number of next calls that get no answer and are carried out after `delayMs`. */
  carryOutLate: number;
  delayMs: number;
}

export interface MemoryDutyApiOptions {
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
  /** Whether calls with a lower fencing token than was seen are rejected. */
  readonly checksFences: boolean;
  readonly leaseMs: number;
}

/** Time after which a caller gives up on an answer that does not arrive. */
const ANSWER_TIMEOUT_MS = 200;

/** Receives usage reports. */
export class MemoryDutyApi implements gateway.DutyApi {
  readonly faults: DutyApiFaults = {
    isDown: false,
    loseAnswers: 0,
    carryOutLate: 0,
    delayMs: 5000,
  };

  /** The calls that were carried out, in this order. */
  readonly calls: RecordedCall[] = [];

  readonly violations: string[] = [];

  /** Number of calls that were rejected for their token. */
  rejections = 0;

  private constructor(private readonly options: MemoryDutyApiOptions) {}

  static create(options: MemoryDutyApiOptions): MemoryDutyApi {
    return new MemoryDutyApi(options);
  }

  async reportUsage(
    { holder, fence }: Pick<gateway.DutyCaller, 'holder' | 'fence'>,
    report: gateway.UsageReport,
  ): Promise<gateway.DutyCallOutcome> {
    const { faults } = this;
    const call = { ...report, holder, fence };
    if (faults.isDown) return { status: DutyCallStatus.NotDone, reason: 'down' };
    if (faults.carryOutLate > 0) {
      faults.carryOutLate -= 1;
      this.options.pause(faults.delayMs).then(() => this.carryOut(call));
      return this.loseAnswer();
    }
    const status = this.carryOut(call);
    if (faults.loseAnswers === 0) return { status };
    faults.loseAnswers -= 1;
    return this.loseAnswer();
  }

  /** The windows of which a report was carried out, in their order. */
  listWindows(): number[] {
    const windows = new Set(this.calls.map(({ windowNo }) => windowNo));
    return [...windows].sort((first, second) => first - second);
  }

  private async loseAnswer(): Promise<gateway.DutyCallOutcome> {
    await this.options.pause(ANSWER_TIMEOUT_MS);
    return { status: DutyCallStatus.Unknown, reason: 'no answer' };
  }

  private carryOut(call: Omit<RecordedCall, 'atMs'>): gateway.DutyCallStatus {
    const highest = Math.max(0, ...this.calls.map(({ fence }) => fence));
    if (call.fence < highest && this.options.checksFences) {
      this.rejections += 1;
      return DutyCallStatus.StaleFence;
    }
    const recorded = { ...call, atMs: this.options.nowMs() };
    if (call.fence < highest) this.violations.push(`token ${call.fence} after ${highest}`);
    this.checkHolder(recorded);
    this.checkCounts(recorded);
    this.calls.push(recorded);
    return DutyCallStatus.Accepted;
  }

  private checkHolder({ holder, fence, atMs }: RecordedCall): void {
    const other = this.calls.find((call) => call.fence === fence && call.holder !== holder);
    if (other) this.violations.push(`token ${fence} of ${other.holder} and ${holder}`);
    const own = this.calls.findIndex(
      (call) => call.holder === holder && atMs - call.atMs < this.options.leaseMs,
    );
    const between = own < 0 ? [] : this.calls.slice(own).filter((call) => call.holder !== holder);
    if (between[0]) this.violations.push(`${holder}, ${between[0].holder}, ${holder}`);
  }

  private checkCounts({ windowNo, counts }: RecordedCall): void {
    const former = this.calls.find((call) => call.windowNo === windowNo)?.counts;
    const [was, is] = [former, counts].map((value) => JSON.stringify(value));
    if (former && was !== is) this.violations.push(`window ${windowNo}: ${was}, then ${is}`);
  }
}
