/**
 * Finds batch jobs that no gateway runs and takes over those that this gateway is responsible for. It
 * also compares the jobs that run here with the store: while this gateway was out of touch, another may
 * have taken them over, or a caller may have ended them.
 *
 * A job whose owner was restarted goes to the new process on the same VM; any other job goes to the
 * gateway that runs the jobs of its model now. Two gateways that disagree on which members are
 * alive may both try; the conditional write of the job's head row lets only one of them succeed.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import type * as stores from '../types/store';
import type * as tableWatches from '../store/table-watch';
import * as records from './job-record';
import type * as jobServices from './job-service';
import * as jobStores from './job-store';
import * as gatewayChoices from './gateway-choice';
import type * as ownedJobs from './owned-job';

export interface TakeoverOptions {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  readonly service: jobServices.JobService;
  readonly members: {
    isGone(vm: string, incarnation: string): boolean;
    recordStopping(process: records.JobOwner): void;
    listWorkers(): readonly gatewayChoices.GatewayCandidate[];
  };
}

/** Interval between searches for open jobs when no event triggers one. */
const SEARCH_INTERVAL_MS = 5000;
/** Backoff after a search that could not read the store or take over a job. */
const SEARCH_BACKOFF_MS = 300;
const MAXIMUM_CONCURRENT_READS = 4;

/** Takes over orphaned jobs; also observes the notices about jobs. */
export class TakeoverTask implements runtime.Task, tableWatches.TableObserver {
  readonly name = 'takeover';

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private isSearching = false;

  private isSearchRequested = false;

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: TakeoverOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: TakeoverOptions): TakeoverTask {
    return new TakeoverTask(options);
  }

  start(): Promise<void> {
    this.scheduleSearch(0);
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    return Promise.resolve();
  }

  /** Compares the jobs that run here with the store, because this gateway was out of touch. */
  async compareOwn(): Promise<void> {
    const isCompared = await forAll(this.options.service.listOpen(), (job) => this.compare(job));
    if (!isCompared) this.search();
  }

  /** Searches for orphaned jobs now, because a gateway may have died or released jobs. */
  search(): void {
    if (this.isSearching) this.isSearchRequested = true;
    else this.scheduleSearch(0);
  }

  onSnapshot(): void {
    this.search();
  }

  onChanges(changes: readonly stores.RowChange[]): void {
    const { service, environment } = this.options;
    this.errors.forEach(changes, (change) => {
      const { key, partition, isRemoved } = change;
      if (isRemoved) return;
      if (key === records.Notice.Ended) service.onJobEnded(partition);
      if (key === records.Notice.Released) this.onReleased(change);
      if (key === records.Notice.Assigned && change.value.toString() === environment.vm)
        this.followNotice(partition);
    });
  }

  /** Takes over the job of a notice; the search finds it soon if the store does not answer now. */
  private async followNotice(id: string): Promise<void> {
    if (!(await this.takeOverIfResponsible(id))) this.search();
  }

  private onReleased(notice: stores.RowChange): void {
    const { members, environment } = this.options;
    const releaser = records.decodeReleaser(notice);
    if (releaser?.incarnation === environment.incarnation) return;
    if (releaser) members.recordStopping(releaser);
    this.followNotice(notice.partition);
  }

  private scheduleSearch(delayMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.runSearch(), delayMs);
  }

  private async runSearch(): Promise<void> {
    this.isSearching = true;
    this.isSearchRequested = false;
    const isComplete = await this.errors.settle(() => this.takeOverOrphans(), false);
    this.isSearching = false;
    if (this.isSearchRequested) this.scheduleSearch(0);
    else this.scheduleSearch(isComplete ? SEARCH_INTERVAL_MS : SEARCH_BACKOFF_MS);
  }

  private async takeOverOrphans(): Promise<boolean> {
    const { store, service } = this.options;
    const open = await store.listOpen();
    if (open === jobStores.UNREADABLE) return false;
    const otherJobs = open.filter((id) => !service.has(id));
    const areTaken = await forAll(otherJobs, (id) => this.takeOverIfResponsible(id));
    return (await forAll(service.listOpen(), (job) => this.compare(job))) && areTaken;
  }

  /** Compares a job that runs here with the store; returns false to try it again soon. */
  private compare(job: ownedJobs.OwnedJob): Promise<boolean> {
    return this.errors.settle(() => this.tryCompare(job), false);
  }

  private async tryCompare(job: ownedJobs.OwnedJob): Promise<boolean> {
    const knownRevision = job.revision;
    const state = await this.options.store.readHead(job.id);
    if (state === jobStores.UNREADABLE) return this.options.store.isOdd(job.id);
    job.compare(state, knownRevision);
    return true;
  }

  /** Takes over a job if this gateway is responsible for it; returns false to try it again soon. */
  private takeOverIfResponsible(id: string): Promise<boolean> {
    return this.errors.settle(() => this.tryTakeOver(id), false);
  }

  private async tryTakeOver(id: string): Promise<boolean> {
    const { store, service, environment } = this.options;
    const state = await store.readHead(id);
    if (state === jobStores.UNREADABLE) return store.isOdd(id);
    if (!state || state.head.isEnded || state.head.isFinished) return true;
    const isAssigned = store.isOwn(state.head);
    if (!isAssigned && !(this.isOrphan(state.head) && this.isResponsible(state.head))) return true;
    const isTaken = await service.takeOver(id, state);
    environment.log.info(isAssigned ? 'job received' : 'job taken over', {
      job: id,
      isTaken,
      formerOwner: state.head.owner?.vm ?? 'none',
      revision: state.revision,
      listed: state.head.listed,
      total: state.head.total,
    });
    const reason = isAssigned ? 'assigned' : 'orphaned';
    environment.metrics.count('jobs_taken_over', { reason, isTaken: String(isTaken) });
    return isTaken || store.isOdd(id);
  }

  private isOrphan(head: records.JobHead): boolean {
    const { owner } = head;
    return owner === null || this.options.members.isGone(owner.vm, owner.incarnation);
  }

  private isResponsible(head: records.JobHead): boolean {
    const { vm } = this.options.environment;
    const workers = this.options.members.listWorkers();
    const { owner } = head;
    if (owner !== null && workers.some((worker) => worker.vm === owner.vm)) return owner.vm === vm;
    return gatewayChoices.chooseGateway(head.model, workers)?.vm === vm;
  }
}

/** Handles all entries, a few at a time; returns whether each of them succeeded. */
async function forAll<Entry>(
  entries: readonly Entry[],
  handle: (entry: Entry) => Promise<boolean>,
): Promise<boolean> {
  let areAllDone = true;
  for (let start = 0; start < entries.length; start += MAXIMUM_CONCURRENT_READS) {
    const batch = entries.slice(start, start + MAXIMUM_CONCURRENT_READS);
    const outcomes = await Promise.all(batch.map(handle));
    areAllDone &&= outcomes.every(Boolean);
  }
  return areAllDone;
}
