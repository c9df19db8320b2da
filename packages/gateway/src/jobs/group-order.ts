/**
 * In which order the waiting items of batch jobs are started.
 *
 * Load pattern: several trainers submit steps of groups at nearly the same time, more items than
 * the engines run at once. A step is worth something when enough of its groups are whole in time,
 * so the order is decided by group, not by item:
 *
 * - jobs whose time has not passed come first, the one that is due soonest in front;
 * - within a job, groups that the trainer certainly waits for come first, then groups that are
 *   nearly whole, then the shorter ones; the longest groups beyond those wanted come last;
 * - within a group, the items that are expected to take longest start first.
 */

/** A waiting item. */
export interface WaitingItem {
  readonly id: string;
  readonly group: string;
  /** Expected output tokens that are still to be made. */
  readonly expectedTokens: number;
}

/** The state of a group. */
export interface GroupProgress {
  readonly name: string;
  /** Items that are neither listed nor about to be. */
  readonly unfinished: number;
  /** Expected output tokens of its longest unfinished item. */
  readonly longestTokens: number;
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
}

/** Orders the waiting items of all jobs, first to start in front. */
export function orderItems(jobs: readonly WaitingJob[], nowMs: number): OrderedItem[] {
  const ordered = jobs.map((job) => ({ job, items: orderJob(job) }));
  ordered.sort((first, second) => compareJobs(first.job, second.job, nowMs));
  // Items beyond the wanted groups of a job wait for the wanted ones of all jobs.
  const wanted = ordered.flatMap(({ items }) => items.filter((item) => item.isWanted));
  const others = ordered.flatMap(({ items }) => items.filter((item) => !item.isWanted));
  return [...wanted, ...others];
}

function compareJobs(first: WaitingJob, second: WaitingJob, nowMs: number): number {
  const isFirstLate = first.dueMs <= nowMs;
  const isSecondLate = second.dueMs <= nowMs;
  if (isFirstLate !== isSecondLate) return isFirstLate ? 1 : -1;
  return first.dueMs - second.dueMs || first.priority - second.priority;
}

function orderJob(job: WaitingJob): OrderedItem[] {
  const open = job.groups.filter((group) => group.unfinished > 0).sort(compareGroups);
  const missing = Math.max(0, job.wantedGroups - job.wholeGroups);
  const ranks = new Map(open.map((group, rank) => [group.name, rank]));
  const rankOf = (item: WaitingItem): number => ranks.get(item.group) ?? open.length;
  return [...job.waiting]
    .sort(
      (first, second) =>
        rankOf(first) - rankOf(second) || second.expectedTokens - first.expectedTokens,
    )
    .map((item) => ({
      jobId: job.id,
      itemId: item.id,
      isWanted: rankOf(item) < missing,
    }));
}

function compareGroups(first: GroupProgress, second: GroupProgress): number {
  if (first.isCarried !== second.isCarried) return first.isCarried ? -1 : 1;
  return first.longestTokens - second.longestTokens || first.unfinished - second.unfinished;
}
