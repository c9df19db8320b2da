/**
 * The planned stop of a gateway as its calls see it: whether one may still be sent to a replica, how
 * much time it has, and when it has to end with what is known by then.
 */
import * as decisions from '@azureworks/decisions';
import * as configurations from '../types/configuration';

/** How a stop limits one request. */
export interface RequestStop {
  /** When the caller gets its final answer; infinite while the gateway does not stop. */
  readonly lastAnswerAtMs: number;
  /**
   * Whether the request may be sent to a replica now.
   * @param elapsedMs how long a stream has been running that this call goes on with
   */
  mayPassOn(elapsedMs?: number): boolean;
  /** Calls `end` at the last moment, unless the returned function was called before. */
  onLastMoment(end: () => void): () => void;
}

/**
 * A stream that has begun cannot be replaced by a failure any more, so it needs more time than the
 * longest recent one took, and no less than the longest of many.
 */
const STREAM_DURATION_FACTOR = 1.5;

/** The stop of one gateway. */
export class PlannedStop {
  private readonly durations = decisions.RecentDurations.create();

  private readonly endings = new Set<() => void>();

  private deadline = decisions.StopDeadline.None;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly nowMs: () => number) {}

  static create(nowMs: () => number): PlannedStop {
    return new PlannedStop(nowMs);
  }

  /** When everything in flight gets its final answer; infinite while the gateway does not stop. */
  get lastAnswerAtMs(): number {
    return this.deadline.lastAnswerAtMs;
  }

  /** Begins the stop. */
  begin(gracePeriodMs: number): void {
    this.deadline = decisions.StopDeadline.create(this.nowMs(), gracePeriodMs);
    this.timer = setTimeout(
      () => this.endings.forEach((end) => end()),
      this.lastAnswerAtMs - this.nowMs(),
    );
  }

  /** To be called when nothing is in flight any more. */
  complete(): void {
    clearTimeout(this.timer);
  }

  /** Records how long a request of a route took that was answered by a replica. */
  recordDuration(route: configurations.Route, durationMs: number): void {
    this.durations.record(route.name, durationMs);
  }

  /** @param deadlineAtMs when the request ends in any case */
  createRequestStop(route: configurations.Route, deadlineAtMs: number): RequestStop {
    const getLastAnswerAtMs = (): number => this.lastAnswerAtMs;
    return {
      get lastAnswerAtMs() {
        return getLastAnswerAtMs();
      },
      mayPassOn: (elapsedMs) => this.mayPassOn(route, deadlineAtMs, elapsedMs),
      onLastMoment: (end) => {
        this.endings.add(end);
        return () => this.endings.delete(end);
      },
    };
  }

  private mayPassOn(
    route: configurations.Route,
    deadlineAtMs: number,
    elapsedMs: number | undefined,
  ): boolean {
    const nowMs = this.nowMs();
    const limitMs = Math.max(0, deadlineAtMs - nowMs);
    return this.deadline.allows(
      nowMs,
      Math.min(limitMs, this.computeExpectedMs(route, limitMs, elapsedMs)),
    );
  }

  private computeExpectedMs(
    route: configurations.Route,
    limitMs: number,
    elapsedMs: number | undefined,
  ): number {
    const usualMs = this.durations.getLongestMs(route.name) ?? limitMs;
    // What has begun is better continued than cut now.
    if (elapsedMs !== undefined) return Math.max(0, usualMs - elapsedMs);
    const { Streaming, NonIdempotent } = configurations.RouteKind;
    const isLost = route.kind === Streaming || route.kind === NonIdempotent;
    if (isLost && this.deadline.requiresCertainty(this.nowMs())) return limitMs;
    if (route.kind !== Streaming) return usualMs;
    const longestMs = this.durations.getLongestOfManyMs(route.name) ?? limitMs;
    return Math.max(usualMs * STREAM_DURATION_FACTOR, longestMs);
  }
}

/** The refusal of a request that did not run; another gateway takes it at once. */
export function createStopRefusal(): decisions.Failure {
  return decisions.createFailure('draining', { retryAfterMs: 0 });
}
