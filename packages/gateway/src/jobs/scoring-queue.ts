/**
 * The order in which scoring calls that found no replica are tried again.
 *
 * Load pattern: a step has hundreds of scoring calls, and the replicas that answer them take fewer of
 * them than the engines produce texts. A step has value only when whole groups are scored in time.
 * Calls that are tried again one by one in any order keep the replicas busy refusing, and leave every
 * group with a text or two without a score. The oldest job therefore comes first, and within it one
 * group after the other; a call is tried when another one has found a replica or has ended, and from
 * time to time, as other gateways use the same replicas. The calls of each route wait apart, as they
 * need different replicas.
 */
import type * as environments from '../types/environment';

/** What determines the place of a call. */
export interface ScoringRank {
  readonly submittedMs: number;
  /** The position of the item in its job; the items of a group follow each other. */
  readonly position: number;
}

interface WaitingCall {
  readonly rank: ScoringRank;
  readonly resume: () => void;
}

/** Interval at which the first waiting call is tried. */
const RETRY_INTERVAL_MS = 30;

/** The waiting scoring calls of one gateway, by route. */
export class ScoringQueue {
  private readonly waiting = new Map<string, WaitingCall[]>();

  private constructor(private readonly environment: environments.Environment) {}

  static create(environment: environments.Environment): ScoringQueue {
    return new ScoringQueue(environment);
  }

  isEmpty(route: string): boolean {
    return (this.waiting.get(route)?.length ?? 0) === 0;
  }

  /** Resolves when the call is to be tried again. */
  wait(route: string, rank: ScoringRank): Promise<void> {
    return new Promise((resume) => {
      const calls = this.waiting.get(route);
      if (!calls) {
        this.waiting.set(route, [{ rank, resume }]);
        this.retryFromTimeToTime(route);
        return;
      }
      const position = calls.findIndex((other) => compareRanks(rank, other.rank) < 0);
      calls.splice(position < 0 ? calls.length : position, 0, { rank, resume });
    });
  }

  /** Lets the first waiting call try: another one has found a replica, or has ended. */
  resumeNext(route: string): void {
    this.waiting.get(route)?.shift()?.resume();
  }

  private async retryFromTimeToTime(route: string): Promise<void> {
    while (this.waiting.get(route)?.length) {
      await this.environment.pause(RETRY_INTERVAL_MS * (0.5 + this.environment.random()));
      this.resumeNext(route);
    }
    this.waiting.delete(route);
  }
}

function compareRanks(first: ScoringRank, second: ScoringRank): number {
  return first.submittedMs - second.submittedMs || first.position - second.position;
}
