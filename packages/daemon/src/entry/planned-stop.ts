/**
 * The planned stop of an entry as its calls see it: how much time they still have, and whether another
 * attempt may begin. New requests are refused once the stop has begun; those that were accepted before
 * are answered until the last moment.
 */
import * as decisions from '@azureworks/decisions';

/** The stop of one entry. */
export class PlannedStop {
  private readonly durations = decisions.RecentDurations.create();

  private readonly endings = new Set<() => void>();

  private deadline = decisions.StopDeadline.None;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly clock: decisions.Clock) {}

  static create(clock: decisions.Clock): PlannedStop {
    return new PlannedStop(clock);
  }

  get hasBegun(): boolean {
    return this.deadline !== decisions.StopDeadline.None;
  }

  /** Begins the stop. */
  begin(gracePeriodMs: number): void {
    const nowMs = this.clock.nowMs();
    this.deadline = decisions.StopDeadline.create(nowMs, gracePeriodMs);
    this.timer = setTimeout(
      () => this.endings.forEach((end) => end()),
      this.deadline.lastAnswerAtMs - nowMs,
    );
  }

  /** To be called when nothing is in flight any more. */
  complete(): void {
    clearTimeout(this.timer);
  }

  /** When a request ends at the latest. */
  limit(deadlineMs: number): number {
    return Math.min(deadlineMs, this.deadline.lastAnswerAtMs);
  }

  /** Records how long an attempt took that a target answered. */
  recordDuration(service: string, durationMs: number): void {
    this.durations.record(service, durationMs);
  }

  /** Whether an attempt that begins now is expected to end in time. */
  mayAttempt(service: string, deadlineMs: number): boolean {
    const nowMs = this.clock.nowMs();
    const limitMs = Math.max(0, deadlineMs - nowMs);
    const usualMs = this.durations.getLongestMs(service) ?? limitMs;
    return this.deadline.allows(nowMs, Math.min(limitMs, usualMs));
  }

  /** Calls `end` at the last moment, unless the returned function was called before. */
  onLastMoment(end: () => void): () => void {
    this.endings.add(end);
    return () => this.endings.delete(end);
  }
}

/** The refusal of a request that did not run; another entry takes it at once. */
export function createStopRefusal(): decisions.Failure {
  return decisions.createFailure('draining', { retryAfterMs: 0 });
}
