/**
 * A batch job that this gateway runs: the progress of its items, its list of results in the store,
 * and the checkpoints of its incomplete texts.
 *
 * Results are appended to the list by one conditional write at a time, which carries all results
 * that became ready during the previous write. Readers only get results whose write is confirmed.
 */
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import * as jobs from '../types/batch-job';
import * as stores from '../types/store';
import type * as configurations from '../types/configuration';
import type * as itemOrder from './item-order';
import * as progress from './item-progress';
import * as itemWindows from './item-window';
import type * as records from './job-record';
import * as jobStores from './job-store';
import type * as listedResults from './listed-results';

/** Why this gateway no longer runs a job. */
export const JobCloseReason = {
  /** The list has the results of all items. */
  Finished: 'finished',
  /** The trainer ended it. */
  Ended: 'ended',
  /** Another gateway runs it. */
  Lost: 'lost',
  /** This gateway released the job because it stops. */
  Released: 'released',
} as const;
export type JobCloseReason = (typeof JobCloseReason)[keyof typeof JobCloseReason];

export interface OwnedJobOptions {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  /** Called once, when the job is no longer run here. */
  readonly onClosed: (job: OwnedJob, closeReason: JobCloseReason) => void;
  /** Called with further items of a job that is not held as a whole. */
  readonly onItemsLoaded: (job: OwnedJob, items: readonly progress.ItemProgress[]) => void;
}

/** Why an item is done, with the limits that applied. */
export interface FinishCause {
  readonly cause: 'scored' | 'expired' | 'impossible' | 'failed answers' | 'scoring failed';
  readonly lifetimeMs?: number;
  readonly scoringFailures?: number;
  readonly mostAttempts?: number;
}

/** The job as it was accepted or loaded. */
export interface OwnedJobContent {
  readonly id: string;
  readonly state: jobStores.HeadState;
  readonly window: itemWindows.ItemWindow;
  readonly results: listedResults.ListedResults;
}

/** Limits after which an item may be given up. */
export type GiveUpLimits = Pick<configurations.Route, 'itemLifetimeMs' | 'maximumAttempts'>;

/** How often incomplete texts are saved, and how many new events a text needs to be saved. */
const CHECKPOINT_INTERVAL_MS = 1000;
const MINIMUM_CHECKPOINT_EVENTS = 12;
/** Backoff after an append that the store did not confirm. */
const APPEND_BACKOFF_MS = 150;
/** Backoff after items that could not be read, or did not fit the memory. */
const LOAD_BACKOFF_MS = 500;

/** A batch job that this gateway runs. */
export class OwnedJob {
  readonly id: string;

  readonly results: listedResults.ListedResults;

  private readonly window: itemWindows.ItemWindow;

  /** Whether listed items make room for further ones. */
  private readonly isPartial: boolean;

  private isLoading = false;

  closeReason: JobCloseReason | undefined;

  private limits: GiveUpLimits = { itemLifetimeMs: 0, maximumAttempts: 1 };

  private state: jobStores.HeadState;

  private pendingResults: jobs.ItemResult[] = [];

  private isAppending = false;

  private checkpointTimer: NodeJS.Timeout | undefined;

  private readonly waitingReaders = new Set<() => void>();

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(
    private readonly options: OwnedJobOptions,
    content: OwnedJobContent,
  ) {
    this.id = content.id;
    this.errors = errorGuards.ErrorGuard.create(options.environment, 'batch job');
    this.state = content.state;
    this.results = content.results;
    this.window = content.window;
    this.isPartial = content.window.isPartial;
  }

  static create(options: OwnedJobOptions, content: OwnedJobContent): OwnedJob {
    return new OwnedJob(options, content);
  }

  /** The items that are held here: all of them, or the next ones of a large job. */
  get items(): ReadonlyMap<string, progress.ItemProgress> {
    return this.window.items;
  }

  get head(): jobStores.HeadState['head'] {
    return this.state.head;
  }

  /** The revision of the head at which this gateway knows the job. */
  get revision(): number {
    return this.state.revision;
  }

  /** The largest limits of all routes that the job has had here. */
  get giveUpLimits(): GiveUpLimits {
    return this.limits;
  }

  /** Records the route of the job, which a new configuration may change. */
  recordRoute(route: configurations.Route): void {
    this.limits = {
      itemLifetimeMs: Math.max(this.limits.itemLifetimeMs, route.itemLifetimeMs),
      maximumAttempts: Math.max(this.limits.maximumAttempts, route.maximumAttempts),
    };
  }

  get isOpen(): boolean {
    return this.closeReason === undefined;
  }

  /** Whether the list has the results of all items, so that nothing can be missing from it. */
  get isWhole(): boolean {
    return this.results.count === this.head.total;
  }

  /** Lists the items that are in one of the phases. */
  listItems(...phases: progress.ItemPhase[]): progress.ItemProgress[] {
    return [...this.items.values()].filter((itemProgress) => phases.includes(itemProgress.phase));
  }

  /** Groups that are complete and not listed by `listGroups` any more. */
  get completeGroupCount(): number {
    return this.window.completeGroupCount;
  }

  /** Lists the groups of the job with their progress. */
  listGroups(
    estimateRemainingMs: (itemProgress: progress.ItemProgress) => number,
  ): itemOrder.GroupProgress[] {
    const groups = new Map<
      string,
      { unfinishedItems: number; longestRemainingMs: number; isCarriedOver: boolean }
    >();
    this.items.forEach((itemProgress) => {
      const name = itemProgress.item.group;
      const group = groups.get(name) ?? {
        unfinishedItems: 0,
        longestRemainingMs: 0,
        isCarriedOver: false,
      };
      groups.set(name, group);
      if (itemProgress.isCarriedOver) group.isCarriedOver = true;
      if (itemProgress.phase === progress.ItemPhase.Done) return;
      group.unfinishedItems += 1;
      group.longestRemainingMs = Math.max(
        group.longestRemainingMs,
        estimateRemainingMs(itemProgress),
      );
    });
    return [...groups].map(([name, group]) => ({ name, ...group }));
  }

  /**
   * Marks an item as done and has its result appended to the list.
   * @param cause why it is done, for the log
   */
  finishItem(
    itemProgress: progress.ItemProgress,
    state: jobs.ResultState,
    cause: FinishCause,
  ): void {
    if (!this.isOpen || itemProgress.phase === progress.ItemPhase.Done) return;
    itemProgress.phase = progress.ItemPhase.Done;
    this.pendingResults.push(itemProgress.toResult(state));
    this.options.environment.log.info('item done', {
      job: this.id,
      item: itemProgress.item.id,
      state,
      events: itemProgress.events.length,
      versions: [...itemProgress.versions].join(','),
      failedAnswers: itemProgress.failedAnswers,
      ageMs: Math.round(this.options.store.nowMs - this.head.acceptedMs),
      ...cause,
    });
    if (!this.isAppending) this.appendPendingResults();
  }

  /** Resolves when a result was appended, the job closes, `signal` aborts, or after `waitMs`. */
  waitForResult(waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(timer);
        this.waitingReaders.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      timer = setTimeout(finish, waitMs);
      this.waitingReaders.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  /** Wakes all waiting readers, so that they answer with the results that there are. */
  wakeReaders(): void {
    [...this.waitingReaders].forEach((wakeReader) => wakeReader());
  }

  /** Releases the job and saves its incomplete texts. */
  async release(): Promise<void> {
    while (this.isAppending) await this.options.environment.pause(APPEND_BACKOFF_MS / 10);
    if (!this.isOpen) return;
    this.close(JobCloseReason.Released);
    // Collected after the runs are aborted, as a text must not grow while its fields are read.
    const partials = this.collectPartials(1);
    this.window.release();
    const outcome = await this.options.store.release(this.id, this.state, partials);
    this.options.environment.log.info('job released', {
      job: this.id,
      outcome: outcome.status,
      partials: partials.length,
    });
  }

  /** Saves the incomplete texts periodically until the job is closed. */
  startCheckpoints(): void {
    this.checkpointTimer = setInterval(
      () => this.errors.settle(() => this.checkpoint(), undefined),
      CHECKPOINT_INTERVAL_MS,
    );
  }

  /** Stops running the job here. */
  close(closeReason: JobCloseReason): void {
    if (!this.isOpen) return;
    this.closeReason = closeReason;
    clearInterval(this.checkpointTimer);
    this.items.forEach((itemProgress) => itemProgress.abortController?.abort());
    this.options.environment.log.info('job closed', {
      job: this.id,
      closing: closeReason,
      listed: this.results.count,
      total: this.head.total,
      ageMs: Math.round(this.options.store.nowMs - this.head.submittedMs),
    });
    this.wakeReaders();
    this.options.onClosed(this, closeReason);
    // A release still saves the texts.
    if (closeReason !== JobCloseReason.Released) this.window.release();
  }

  /** Collects texts with at least `minimumNewEvents` unsaved events, and marks them as saved. */
  private collectPartials(
    minimumNewEvents: number,
  ): { readonly index: number; readonly text: records.PartialText }[] {
    return this.listItems(progress.ItemPhase.Running, progress.ItemPhase.Waiting)
      .filter(
        (itemProgress) =>
          itemProgress.events.length - itemProgress.storedEvents >= minimumNewEvents,
      )
      .map((itemProgress) => {
        itemProgress.storedEvents = itemProgress.events.length;
        return { index: itemProgress.index, text: itemProgress.toPartialText() };
      });
  }

  private async checkpoint(): Promise<void> {
    const partials = this.collectPartials(MINIMUM_CHECKPOINT_EVENTS);
    if (partials.length === 0) return;
    const outcome = await this.options.store.savePartials(this.id, partials);
    this.options.environment.metrics.count('checkpoints', { outcome: outcome.status });
  }

  private async appendPendingResults(): Promise<void> {
    this.isAppending = true;
    while (this.isOpen && this.pendingResults.length > 0) {
      const isDone = await this.errors.settle(() => this.appendOnce(), false);
      if (!isDone) await this.options.environment.pause(APPEND_BACKOFF_MS);
    }
    this.isAppending = false;
  }

  /** Returns false to try it again after a pause. */
  private async appendOnce(): Promise<boolean> {
    const outcome = await this.options.store.appendResults(
      this.id,
      this.state,
      this.pendingResults,
    );
    if (outcome.status === stores.StoreStatus.Done) {
      this.onResultsAppended(outcome.state);
      return true;
    }
    if (outcome.status === stores.StoreStatus.Conflict) return this.resolveConflict();
    this.options.environment.log.warn('listing failed, trying again', {
      job: this.id,
      outcome: outcome.status,
      ready: this.pendingResults.length,
      revision: this.state.revision,
    });
    return false;
  }

  private onResultsAppended(state: jobStores.HeadState): void {
    const count = state.head.listed - this.results.count;
    const listed = this.pendingResults.splice(0, count);
    this.state = state;
    this.results.append(listed);
    this.options.environment.metrics.count('results_listed', {}, count);
    this.options.environment.log.info('results listed', {
      job: this.id,
      items: listed.map((result) => result.itemId).join(','),
      listed: this.results.count,
      total: state.head.total,
      revision: state.revision,
      ageMs: Math.round(this.options.store.nowMs - state.head.submittedMs),
    });
    listed.forEach(({ itemId }) => {
      const itemProgress = this.items.get(itemId);
      if (itemProgress) itemProgress.isListed = true;
      if (itemProgress && this.isPartial) this.window.remove(itemProgress);
    });
    this.loadFurtherItems();
    if (state.head.isFinished) this.close(JobCloseReason.Finished);
    else this.wakeReaders();
  }

  /** Reads further items, if any are not held, as soon as there is room for them. */
  loadFurtherItems(): void {
    if (this.isPartial && !this.isLoading) this.loadItems();
  }

  private async loadItems(): Promise<void> {
    const { environment, onItemsLoaded } = this.options;
    this.isLoading = true;
    while (this.isOpen && this.window.needsItems) {
      const onAdded = (items: readonly progress.ItemProgress[]): void => {
        if (this.isOpen) onItemsLoaded(this, items);
      };
      const end = await this.errors.settle(() => this.window.fill(onAdded), undefined);
      if (!this.isOpen) this.window.release();
      if (end === itemWindows.FillEnd.Filled) break;
      environment.log.warn('further items not read, trying again', {
        job: this.id,
        reason: end,
        held: this.items.size,
      });
      await environment.pause(LOAD_BACKOFF_MS);
    }
    this.isLoading = false;
  }

  /** After a conflict, another writer has changed the job: its head tells how to continue. */
  private async resolveConflict(): Promise<boolean> {
    const state = await this.options.store.readHead(this.id);
    if (state === jobStores.UNREADABLE) return false;
    this.adopt(state);
    return true;
  }

  /**
   * Compares the job with its head in the store, as another gateway may have changed it unnoticed.
   * An append in flight finds out by itself.
   * @param knownRevision the revision of this job before the head was read
   */
  compare(state: jobStores.HeadState | undefined, knownRevision: number): void {
    if (!this.isOpen || this.isAppending || this.revision !== knownRevision) return;
    if (state?.revision === knownRevision) return;
    this.options.environment.log.info('job changed by another writer', {
      job: this.id,
      owner: state?.head.owner?.vm,
      isEnded: state?.head.isEnded,
      revision: state?.revision,
      knownRevision,
      storedResults: state?.head.listed,
      listed: this.results.count,
    });
    this.adopt(state);
  }

  /** Continues from a head that another writer may have written, or closes the job. */
  private adopt(state: jobStores.HeadState | undefined): void {
    if (!state || state.head.isEnded) this.close(JobCloseReason.Ended);
    else if (this.options.store.isOwn(state.head) && state.head.listed === this.results.count)
      this.state = state;
    else this.close(JobCloseReason.Lost);
  }
}
