/**
 * Finds batch jobs that nobody runs and takes over those that fall to this gateway.
 *
 * A job whose owner was restarted falls to the new process on the same VM; any other to the
 * gateway that runs the jobs of its model now. Two gateways that disagree on who lives may both
 * try: the head row decides.
 */
import type * as runtime from '@azureworks/runtime';
import type * as environments from '../types/environment';
import type * as stores from '../types/store';
import type * as tableWatches from '../store/table-watch';
import * as records from './job-record';
import type * as jobServices from './job-service';
import * as jobStores from './job-store';
import * as runnerChoices from './runner-choice';

/** What the task needs. */
export interface TakeoverParts {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  readonly service: jobServices.JobService;
  readonly members: {
    isGone(vm: string, incarnation: string): boolean;
    noteStopping(vm: string): void;
    listWorkers(): readonly runnerChoices.RunnerCandidate[];
  };
}

/** How often open jobs are listed when nothing has happened, in milliseconds. */
const REGULAR_MS = 5000;
/** How soon a search that could not read the store is tried again, in milliseconds. */
const RETRY_MS = 300;
/** Jobs taken over at the same time. */
const MOST_AT_ONCE = 4;

/** Takes over orphaned jobs; also the observer of the notices about jobs. */
export class TakeoverTask implements runtime.Task, tableWatches.TableObserver {
  readonly name = 'takeover';

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private isSearching = false;

  private isAskedAgain = false;

  private constructor(private readonly parts: TakeoverParts) {}

  static create(parts: TakeoverParts): TakeoverTask {
    return new TakeoverTask(parts);
  }

  start(): Promise<void> {
    this.plan(0);
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    return Promise.resolve();
  }

  /** Looks for orphans now: somebody may have died or given jobs back. */
  search(): void {
    if (this.isSearching) this.isAskedAgain = true;
    else this.plan(0);
  }

  replace(): void {
    this.search();
  }

  change(changes: readonly stores.RowChange[]): void {
    changes.forEach((change) => {
      if (change.key === records.Notice.Ended) this.parts.service.learnEnd(change.partition);
      const vm = change.value.toString();
      const isOwn = vm === this.parts.environment.vm;
      if (change.key === records.Notice.Released && !isOwn) {
        this.parts.members.noteStopping(vm);
        this.consider(change.partition);
      }
      if (change.key === records.Notice.Assigned && isOwn) this.consider(change.partition);
    });
  }

  private plan(delayMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.run(), delayMs);
  }

  private async run(): Promise<void> {
    this.isSearching = true;
    this.isAskedAgain = false;
    const isDone = await this.takeOrphans();
    this.isSearching = false;
    if (this.isAskedAgain) this.plan(0);
    else this.plan(isDone ? REGULAR_MS : RETRY_MS);
  }

  private async takeOrphans(): Promise<boolean> {
    const open = await this.parts.store.listOpen();
    if (open === jobStores.UNREADABLE) return false;
    const foreign = open.filter((id) => !this.parts.service.has(id));
    let isDone = true;
    for (let start = 0; start < foreign.length; start += MOST_AT_ONCE) {
      const part = foreign.slice(start, start + MOST_AT_ONCE);
      const ends = await Promise.all(part.map((id) => this.consider(id)));
      isDone &&= ends.every(Boolean);
    }
    return isDone;
  }

  private async consider(id: string): Promise<boolean> {
    const { store, service, environment } = this.parts;
    const state = await store.readHead(id);
    if (state === jobStores.UNREADABLE) return false;
    if (!state || state.head.isEnded || state.head.isFinished) return true;
    const isAssigned = store.isOwn(state.head);
    if (!isAssigned && !(this.isOrphan(state.head) && this.isMine(state.head))) return true;
    const isTaken = await service.adopt(id, state);
    environment.log.change(isAssigned ? 'job received' : 'job taken over', {
      job: id,
      isTaken,
      formerOwner: state.head.owner?.vm ?? 'none',
      revision: state.revision,
      listed: state.head.listed,
      total: state.head.total,
    });
    const reason = isAssigned ? 'assigned' : 'orphaned';
    environment.metrics.count('jobs_taken_over', { reason, isTaken: String(isTaken) });
    return isTaken;
  }

  private isOrphan(head: records.JobHead): boolean {
    const { owner } = head;
    return owner === null || this.parts.members.isGone(owner.vm, owner.incarnation);
  }

  private isMine(head: records.JobHead): boolean {
    const { vm } = this.parts.environment;
    const workers = this.parts.members.listWorkers();
    const { owner } = head;
    if (owner !== null && workers.some((worker) => worker.vm === owner.vm)) return owner.vm === vm;
    return runnerChoices.chooseRunner(head.model, workers)?.vm === vm;
  }
}
