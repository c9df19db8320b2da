/**
 * The order in which the waiting items of batch jobs are started.
 *
 * Load pattern: several trainers submit steps at nearly the same time. The steps have more items
 * than the engines run at once, and a few items take many times as long as the others. A step has
 * value only when enough of its groups are complete in time, and the trainer begins its next step
 * as soon as they are. Therefore:
 *
 * - Items of groups that the trainer waits for start before items of surplus groups. The groups
 *   that take longest are the surplus ones; groups carried over from an earlier job are always
 *   preferred.
 * - Within either kind, items of jobs that are already past their due time start last.
 * - Apart from that, the item with the least slack starts first. Slack is the time left until the
 *   job is due, minus the time that the item is expected to take. Long items thus start early and
 *   do not delay the end of their step.
 */

/** A waiting item. */
export interface WaitingItem {
  readonly id: string;
  readonly group: string;
  /** Expected time until it is done, in milliseconds. */
  readonly expectedRemainingMs: number;
}

/** The progress of a group of items. */
export interface GroupProgress {
  readonly name: string;
  /** Items without a result. */
  readonly unfinishedItems: number;
  /** Expected time until its longest unfinished item is done, in milliseconds. */
  readonly longestRemainingMs: number;
  /** Whether an earlier job left it incomplete; the trainer then waits for it. */
  readonly isCarriedOver: boolean;
}

/** A job with waiting items. */
export interface WaitingJob {
  readonly id: string;
  /** When its results are due, on the monotonic clock. */
  readonly dueMs: number;
  /** Priority of its route; 0 is the most urgent. */
  readonly priority: number;
  readonly wantedGroups: number;
  readonly completeGroups: number;
  readonly groups: readonly GroupProgress[];
  readonly waitingItems: readonly WaitingItem[];
}

/** A waiting item with the values that determine its position in the order. */
export interface OrderedItem {
  readonly jobId: string;
  readonly itemId: string;
  /** Whether the trainer probably waits for the item's group. */
  readonly isWanted: boolean;
  /** Time left until the job is due if the item starts now and takes as long as expected. */
  readonly slackMs: number;
}

/** Sorts the waiting items of all jobs in the order in which they are to be started. */
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
  const wanted = new Set(chooseWantedGroups(job));
  const timeLeftMs = job.dueMs - nowMs;
  return job.waitingItems.map((item) => ({
    jobId: job.id,
    itemId: item.id,
    isWanted: wanted.has(item.group),
    isLate: timeLeftMs <= 0,
    slackMs: timeLeftMs - item.expectedRemainingMs,
    priority: job.priority,
  }));
}

/** Chooses the unfinished groups that soonest make up the number of complete groups wanted. */
function chooseWantedGroups(job: WaitingJob): string[] {
  const missingGroups = Math.max(0, job.wantedGroups - job.completeGroups);
  const unfinishedGroups = job.groups.filter((group) => group.unfinishedItems > 0);
  unfinishedGroups.sort(
    (first, second) =>
      Number(second.isCarriedOver) - Number(first.isCarriedOver) ||
      first.longestRemainingMs - second.longestRemainingMs ||
      first.unfinishedItems - second.unfinishedItems,
  );
  return unfinishedGroups.slice(0, missingGroups).map((group) => group.name);
}
