/**
 * Delays the next run of an item after runs that broke off without any new event.
 *
 * Load pattern: a replica resets each connection, and an item whose run it broke off would be sent again in
 * the same millisecond, thousands of times in a few seconds. A run that made progress goes on elsewhere at
 * once, and so does one whose end has another explanation: this gateway ended it, or its replica has left.
 */
import type * as environments from '../types/environment';
import type * as directories from '../replicas/directory';
import type * as progress from './item-progress';

export interface RunBackoffOptions {
  readonly environment: environments.Environment;
  readonly directory: Pick<directories.ReplicaDirectory, 'get'>;
  /** Called when an item may run again. */
  readonly onElapsed: () => void;
}

/** A run that has ended. */
export interface EndedRun {
  /** Events that the run brought. */
  readonly events: number;
  /** Whether this gateway ended it. */
  readonly isAborted: boolean;
}

interface Backoff {
  readonly runs: number;
  readonly untilMs: number;
  /** Where the last run broke off. */
  readonly tracked: directories.TrackedReplica;
}

/**
 * The first backoff is between 50 and 100 ms, with jitter; each further one is twice as long, up to the maximum.
 * The maximum is well below the 5 s for which an item may be at no replica.
 */
const FIRST_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 1000;
/** The least share of a backoff that is left by the jitter. */
const MINIMUM_SHARE = 0.5;
/** A timer may fire a fraction of a millisecond early. */
const TIMER_TOLERANCE_MS = 1;

/** The backoffs of the items of one gateway. */
export class RunBackoff {
  private readonly backoffs = new WeakMap<progress.ItemProgress, Backoff>();

  private constructor(private readonly options: RunBackoffOptions) {}

  static create(options: RunBackoffOptions): RunBackoff {
    return new RunBackoff(options);
  }

  /** Records that a run of an item broke off. */
  recordBreak(
    itemProgress: progress.ItemProgress,
    tracked: directories.TrackedReplica,
    { events, isAborted }: EndedRun,
  ): void {
    if (events > 0) this.backoffs.delete(itemProgress);
    if (events > 0 || isAborted || this.hasLeft(tracked)) return;
    const { environment, onElapsed } = this.options;
    const runs = (this.backoffs.get(itemProgress)?.runs ?? 0) + 1;
    const fullMs = Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (runs - 1));
    const share = MINIMUM_SHARE + (1 - MINIMUM_SHARE) * environment.random();
    const backoffMs = Math.floor(fullMs * share);
    this.backoffs.set(itemProgress, { runs, untilMs: environment.nowMs() + backoffMs, tracked });
    environment.metrics.count('run_backoffs', { service: tracked.replica.service });
    environment.pause(backoffMs + TIMER_TOLERANCE_MS).then(onElapsed);
  }

  /** Whether an item is not to run yet. */
  isWaiting(itemProgress: progress.ItemProgress, nowMs: number): boolean {
    const backoff = this.backoffs.get(itemProgress);
    return backoff !== undefined && nowMs < backoff.untilMs && !this.hasLeft(backoff.tracked);
  }

  private hasLeft(tracked: directories.TrackedReplica): boolean {
    return tracked.isLeaving || this.options.directory.get(tracked.replica.id) !== tracked;
  }
}
