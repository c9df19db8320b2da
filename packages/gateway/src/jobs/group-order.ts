/**
 * In which order the waiting items of batch jobs are started.
 *
 * Load pattern: several trainers submit steps of groups at nearly the same time, more items than
 * the engines run at once, a few of them many times as long as the others. A step is worth
 * something when enough of its groups are whole in time, and the next step begins when it is, so:
 *
 * - groups that the trainer waits for come before those beyond the number it wants, which are the
 *   longest ones; groups that were left over from an earlier job are always waited for;
 * - among the items of wanted groups, the one with the least slack starts first: the time that is
 *   left until its job is due, less the time that it is expected to take. Long items thus start
 *   early, where they would otherwise hold up their step at its end;
 * - items whose job can no longer be in time come after those that can.
 */

/** A waiting item. */
export interface WaitingItem {
  readonly id: string;
  readonly group: string;
  /** Expected time that it still takes, in milliseconds. */
  readonly expectedMs: number;
}

/** The state of a group. */
export interface GroupProgress {
  readonly name: string;
  /** Items that are neither listed nor about to be. */
  readonly unfinished: number;
  /** Expected time that its longest unfinished item still takes, in milliseconds. */
  readonly longestMs: number;
  /** Whether it was left over from an earlier job, so that the trainer waits for it. */
  readonly isCarried: boolean;
}

/** A job with waiting items. */
export interface WaitingJob {
  readonly id: string;
  /** When its results are due, on the monotonic clock. */
  readonly dueMs: number;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  readonly wantedGroups: number;
  readonly wholeGroups: number;
  readonly groups: readonly GroupProgress[];
  readonly waiting: readonly WaitingItem[];
}

/** An item in its place. */
export interface OrderedItem {
  readonly jobId: string;
  readonly itemId: string;
  /** Whether the trainer probably waits for the item's group. */
  readonly isWanted: boolean;
  /** Milliseconds left when the item starts now and takes as long as expected. */
  readonly slackMs: number;
}

/** Orders the waiting items of all jobs, first to start in front. */
export function orderItems(jobs: readonly WaitingJob[], nowMs: number): OrderedItem[] {
  const ranked = jobs.flatMap((job) => rankJob(job, nowMs));
  ranked.sort(
    (first, second) =>
      Number(second.isWanted) - Number(first.isWanted) ||
      Number(first.isLate) - Number(second.isLate) ||
      first.slackMs - second.slackMs ||
      first.priority - second.priority,
  );
  return ranked;
}

interface RankedItem extends OrderedItem {
  readonly isLate: boolean;
  readonly priority: number;
}

function rankJob(job: WaitingJob, nowMs: number): RankedItem[] {
  const wanted = new Set(chooseWanted(job));
  const leftMs = job.dueMs - nowMs;
  return job.waiting.map((item) => ({
    jobId: job.id,
    itemId: item.id,
    isWanted: wanted.has(item.group),
    isLate: leftMs <= 0,
    slackMs: leftMs - item.expectedMs,
    priority: job.priority,
  }));
}

/** The unfinished groups that are the quickest way to as many whole groups as are wanted. */
function chooseWanted(job: WaitingJob): string[] {
  const missing = Math.max(0, job.wantedGroups - job.wholeGroups);
  const open = job.groups.filter((group) => group.unfinished > 0);
  open.sort(
    (first, second) =>
      Number(second.isCarried) - Number(first.isCarried) ||
      first.longestMs - second.longestMs ||
      first.unfinished - second.unfinished,
  );
  return open.slice(0, missing).map((group) => group.name);
}
