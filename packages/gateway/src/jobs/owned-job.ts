/**
 * A batch job that this gateway runs: its items' progress, its results, and their listing.
 *
 * Results are listed by one conditional write at a time, which carries all results that became
 * ready during the write before it. Readers are told only what a write has confirmed.
 */
import type * as environments from '../types/environment';
import * as jobs from '../types/batch-job';
import * as stores from '../types/store';
import type * as groupOrder from './group-order';
import * as progress from './item-progress';
import type * as records from './job-record';
import type * as jobStores from './job-store';
import * as jobStore from './job-store';

/** Why this gateway no longer runs a job. */
export const JobClosing = {
  /** All results are listed. */
  Finished: 'finished',
  /** The trainer ended it. */
  Ended: 'ended',
  /** Another gateway runs it. */
  Lost: 'lost',
  /** Given back at the stop of this gateway. */
  Released: 'released',
} as const;
export type JobClosing = (typeof JobClosing)[keyof typeof JobClosing];

/** What an owned job needs. */
export interface OwnedJobParts {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  /** Called once, when the job is no longer run here. */
  readonly closed: (job: OwnedJob, closing: JobClosing) => void;
}

/** The job as it was accepted or loaded. */
export interface OwnedJobContent {
  readonly id: string;
  readonly state: jobStores.HeadState;
  readonly items: readonly jobs.Item[];
  readonly results: readonly jobs.ItemResult[];
}

/** How often texts under way are kept, and how many new events make it worth while. */
const CHECKPOINT_MS = 1000;
const CHECKPOINT_EVENTS = 12;
/** The pause after a listing that the store did not take, in milliseconds. */
const LISTING_PAUSE_MS = 150;

/** One job. */
export class OwnedJob {
  readonly id: string;

  readonly items: ReadonlyMap<string, progress.ItemProgress>;

  readonly results: jobs.ItemResult[];

  closing: JobClosing | undefined;

  private state: jobStores.HeadState;

  private ready: jobs.ItemResult[] = [];

  private isListing = false;

  private isInDoubt = false;

  private checkpointTimer: NodeJS.Timeout | undefined;

  private readonly readers = new Set<() => void>();

  private constructor(
    private readonly parts: OwnedJobParts,
    content: OwnedJobContent,
  ) {
    this.id = content.id;
    this.state = content.state;
    this.results = [...content.results];
    const listed = new Set(content.results.map((result) => result.itemId));
    this.items = new Map(
      content.items.map((item, index) => {
        const entry = progress.ItemProgress.create(item, index);
        if (listed.has(item.id)) entry.phase = progress.ItemPhase.Done;
        return [item.id, entry];
      }),
    );
  }

  static create(parts: OwnedJobParts, content: OwnedJobContent): OwnedJob {
    return new OwnedJob(parts, content);
  }

  get head(): jobStores.HeadState['head'] {
    return this.state.head;
  }

  get isOpen(): boolean {
    return this.closing === undefined;
  }

  /**
   * Whether the results known here are all that are listed. A job that was ended while a listing
   * had no answer may have more of them in the store.
   */
  get isComplete(): boolean {
    if (this.closing === JobClosing.Finished) return true;
    return this.closing === JobClosing.Ended && !this.isInDoubt;
  }

  /** Whether a listing is under way that may already be in force. */
  get isBeingListed(): boolean {
    return this.isListing;
  }

  /** The items that are in one of the phases. */
  listItems(...phases: progress.ItemPhase[]): progress.ItemProgress[] {
    return [...this.items.values()].filter((entry) => phases.includes(entry.phase));
  }

  /** The groups of the job. */
  listGroups(
    carried: ReadonlySet<string>,
    expectMs: (entry: progress.ItemProgress) => number,
  ): groupOrder.GroupProgress[] {
    const groups = new Map<string, { unfinished: number; longestMs: number; isCarried: boolean }>();
    this.items.forEach((entry) => {
      const name = entry.item.group;
      const group = groups.get(name) ?? { unfinished: 0, longestMs: 0, isCarried: false };
      groups.set(name, group);
      if (carried.has(entry.item.id)) group.isCarried = true;
      if (entry.phase === progress.ItemPhase.Done) return;
      group.unfinished += 1;
      group.longestMs = Math.max(group.longestMs, expectMs(entry));
    });
    return [...groups].map(([name, group]) => ({ name, ...group }));
  }

  /** Marks an item as done and lists its result. */
  finish(entry: progress.ItemProgress, state: jobs.ResultState): void {
    if (!this.isOpen || entry.phase === progress.ItemPhase.Done) return;
    entry.phase = progress.ItemPhase.Done;
    this.ready.push(entry.toResult(state));
    this.parts.environment.log.change('item done', {
      job: this.id,
      item: entry.item.id,
      state,
      events: entry.events.length,
      versions: [...entry.versions].join(','),
      failedAnswers: entry.failedAnswers,
    });
    if (!this.isListing) this.list();
  }

  /** Resolves when a result is listed or the job closes, or after `waitMs`. */
  waitForResult(waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(timer);
        this.readers.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      timer = setTimeout(finish, waitMs);
      this.readers.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  /** Wakes all readers, so that they answer with what there is. */
  wakeReaders(): void {
    [...this.readers].forEach((wake) => wake());
  }

  /** Gives the job back, with the texts that are not whole yet. */
  async release(): Promise<void> {
    while (this.isListing) await this.parts.environment.pause(LISTING_PAUSE_MS / 10);
    if (!this.isOpen) return;
    this.close(JobClosing.Released);
    // Taken after the runs were stopped: a text must not grow between its parts being read.
    const partials = this.listPartials(1);
    const outcome = await this.parts.store.release(this.id, this.state, partials);
    this.parts.environment.log.change('job released', {
      job: this.id,
      outcome: outcome.status,
      partials: partials.length,
    });
  }

  /** Keeps the texts under way in the store, again and again, until the job is closed. */
  keepCheckpoints(): void {
    this.checkpointTimer = setInterval(() => this.checkpoint(), CHECKPOINT_MS);
  }

  /** Stops running the job here. */
  close(closing: JobClosing): void {
    if (!this.isOpen) return;
    this.closing = closing;
    this.isInDoubt = closing !== JobClosing.Finished && this.isListing;
    clearInterval(this.checkpointTimer);
    this.items.forEach((entry) => entry.abort?.abort());
    this.parts.environment.log.change('job closed', {
      job: this.id,
      closing,
      listed: this.results.length,
      total: this.head.total,
      ageMs: Math.round(this.parts.store.nowMs - this.head.submittedMs),
    });
    this.wakeReaders();
    this.parts.closed(this, closing);
  }

  /** Texts with at least so many events that are not in the store. */
  private listPartials(
    fewestEvents: number,
  ): { readonly index: number; readonly text: records.PartialText }[] {
    return this.listItems(progress.ItemPhase.Running, progress.ItemPhase.Waiting)
      .filter((entry) => entry.events.length - entry.storedEvents >= fewestEvents)
      .map((entry) => {
        entry.storedEvents = entry.events.length;
        return { index: entry.index, text: entry.toPartial() };
      });
  }

  private async checkpoint(): Promise<void> {
    const partials = this.listPartials(CHECKPOINT_EVENTS);
    if (partials.length === 0) return;
    const outcome = await this.parts.store.keepPartials(this.id, partials);
    this.parts.environment.metrics.count('checkpoints', { outcome: outcome.status });
  }

  private async list(): Promise<void> {
    this.isListing = true;
    while (this.isOpen && this.ready.length > 0) {
      const outcome = await this.parts.store.append(this.id, this.state, this.ready);
      if (outcome.status === stores.StoreStatus.Done) this.takeListed(outcome.state);
      else if (outcome.status === stores.StoreStatus.Conflict) await this.learnOwner();
      else {
        this.parts.environment.log.warn('listing failed, trying again', {
          job: this.id,
          outcome: outcome.status,
          ready: this.ready.length,
          revision: this.state.revision,
        });
        await this.parts.environment.pause(LISTING_PAUSE_MS);
      }
    }
    this.isListing = false;
  }

  private takeListed(state: jobStores.HeadState): void {
    const count = state.head.listed - this.results.length;
    const listed = this.ready.splice(0, count);
    this.state = state;
    this.results.push(...listed);
    this.parts.environment.metrics.count('results_listed', {}, count);
    this.parts.environment.log.change('results listed', {
      job: this.id,
      items: listed.map((result) => result.itemId).join(','),
      listed: this.results.length,
      total: state.head.total,
      revision: state.revision,
      ageMs: Math.round(this.parts.store.nowMs - state.head.submittedMs),
    });
    if (state.head.isFinished) this.close(JobClosing.Finished);
    else this.wakeReaders();
  }

  /** After a conflict: somebody else changed the job, so its head tells how to go on. */
  private async learnOwner(): Promise<void> {
    const state = await this.parts.store.readHead(this.id);
    if (state === jobStore.UNREADABLE) {
      await this.parts.environment.pause(LISTING_PAUSE_MS);
      return;
    }
    if (!state || state.head.isEnded) this.close(JobClosing.Ended);
    else if (this.parts.store.isOwn(state.head) && state.head.listed === this.results.length)
      this.state = state;
    else this.close(JobClosing.Lost);
  }
}
