/**
 * Until when a process that stops as planned answers its callers, and what it still passes on.
 *
 * Requests keep arriving after the stop began, on connections that were accepted before. What cannot
 * be answered in time any more is refused before it is passed on, so that its caller may go to another
 * process at once. How long it takes is judged by others of its kind at first; later, what would be cut
 * in its middle must end in time with certainty. What was passed on is answered until the last moment by its target, and then by a
 * failure that says whether it may have run. The rest of the grace period is for sending these
 * answers, for the final writes to the store, and for the end of the process before it is killed.
 */

/**
 * Share of the grace period in which callers are answered. Requests that were accepted early are not
 * to be given up before the last sixth of it.
 */
const ANSWER_SHARE = 0.85;

/** How long after its beginning a stop judges requests by how long others took, in milliseconds. */
const ESTIMATION_PERIOD_MS = 3000;

/** The deadline of one stop. */
export class StopDeadline {
  /** The deadline of a process that does not stop. */
  static readonly None = new StopDeadline(Infinity, Infinity);

  /**
   * @param lastAnswerAtMs when everything in flight gets its final answer
   * @param estimatedUntilMs until when requests are judged by how long others took
   */
  private constructor(
    readonly lastAnswerAtMs: number,
    private readonly estimatedUntilMs: number,
  ) {}

  static create(startMs: number, gracePeriodMs: number): StopDeadline {
    return new StopDeadline(startMs + gracePeriodMs * ANSWER_SHARE, startMs + ESTIMATION_PERIOD_MS);
  }

  /** Whether a request that would be cut in its middle has to end in time with certainty. */
  requiresCertainty(nowMs: number): boolean {
    return nowMs > this.estimatedUntilMs;
  }

  /** Whether a request that is passed on now, and usually takes so long, is answered in time. */
  allows(nowMs: number, expectedMs: number): boolean {
    return nowMs + expectedMs < this.lastAnswerAtMs;
  }
}
