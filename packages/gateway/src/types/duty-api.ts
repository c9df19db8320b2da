/**
 * Calls of duties: work that exactly one gateway does for all. A call carries the holder and the fencing
 * token of its duty; every call resolves to an outcome that says whether it took effect.
 */

/** How a call ended. */
export const DutyCallStatus = {
  Accepted: 'accepted',
  /** A higher fencing token was seen; the call had no effect. */
  StaleFence: 'stale-fence',
  /** More calls were made than are allowed; the call had no effect. */
  RateLimited: 'rate-limited',
  /** The call certainly had no effect. */
  NotDone: 'not-done',
  /** No answer: the call may have taken effect, or may still do so. */
  Unknown: 'unknown',
} as const;
export type DutyCallStatus = (typeof DutyCallStatus)[keyof typeof DutyCallStatus];

/** The outcome of a call. */
export interface DutyCallOutcome {
  readonly status: DutyCallStatus;
  readonly reason?: string | undefined;
}

/** Under which tenure a call is made. */
export interface DutyCaller {
  readonly holder: string;
  readonly fence: number;
  /** Checked at the last moment before the call is sent; it is not sent when this is false. */
  mayStillCall(): boolean;
}

/** The requests that replicas began to run in one window, by organisation. */
export type UsageCounts = Readonly<Record<string, number>>;

/** The usage of one window. */
export interface UsageReport {
  /** The window begins this many windows after the start of 1970. */
  readonly windowNo: number;
  readonly counts: UsageCounts;
}

/** What receives the calls. */
export interface DutyApi {
  reportUsage(caller: DutyCaller, report: UsageReport): Promise<DutyCallOutcome>;
}
