/**
 * Batch jobs as callers see them: submit, read results, read an item's body, end.
 *
 * A job is accepted by any gateway and run by the one that its model's jobs go to. Any gateway answers for any job: from what it knows when
 * it runs the job and nobody else can, and from the store otherwise. "There is no such job" and
 * "there is nothing at this position" are said only after the store was read, or by the owner
 * whose membership is beyond doubt.
 */
import * as decisions from '@azureworks/decisions';
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as stores from '../types/store';
import type * as records from './job-record';
import type * as jobRunners from './job-runner';
import * as jobStores from './job-store';
import * as ownedJobs from './owned-job';
import * as partialTexts from './partial-texts';
import * as runnerChoices from './runner-choice';

/** What the service needs. */
export interface JobServiceParts {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  readonly runner: jobRunners.JobRunner;
  /** Whether no other gateway can have taken this one's jobs over. */
  readonly isTrusted: () => boolean;
  /** The gateways that take new work. */
  readonly listWorkers: () => readonly Worker[];
  readonly peers: Peers;
  /** How long a job can be read after its submission, in milliseconds. */
  readonly keepMs: number;
}

/** A gateway that takes new work. */
export interface Worker extends records.JobOwner, runnerChoices.RunnerCandidate {
  /** Where peers reach it. */
  readonly address: string;
}

/** Calls to other gateways. */
export interface Peers {
  /**
   * Waits until a job that the peer runs has more than `position` results, or for `waitMs`.
   * Resolves to false when the peer does not answer or does not run the job.
   */
  waitForResult(
    address: string,
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean>;
}

/** Results from a position on. */
export interface ResultsPage {
  readonly total: number;
  readonly results: readonly jobs.ItemResult[];
}

/** An answer, or the reason why there is none. */
export type Answer<Value> =
  | { readonly isOk: true; readonly value: Value }
  | { readonly isOk: false; readonly failure: decisions.Failure };

/** What is remembered of a job that may be run elsewhere. */
interface JobFacts {
  readonly total: number;
  /** Who ran it when it was last looked up; null when that is not known. */
  readonly owner: records.JobOwner | null;
}

/** Jobs of which the unchanging facts are remembered, at the most. */
const MOST_REMEMBERED = 2000;
/** How long results of a closed job are held in memory; later reads go to the store. */
const KEEP_CLOSED_MS = 20_000;
/** How much longer than it must be readable a job stays in the store, in milliseconds. */
const DISCARD_SLACK_MS = 60_000;
/** How often a reader's gateway looks into the store for new results, in milliseconds. */
const LOOK_MS = 200;
/** When a caller that was refused may come back: a lapse of the store is usually short. */
const STORE_RETRY_MS = 250;
/** How often a submission whose fate is unknown is looked up, and how many times. */
const UNSETTLED_LOOK_MS = 1000;
const UNSETTLED_LOOKS = 8;
/** Attempts at ending a job while others change it. */
const MOST_END_ATTEMPTS = 8;

/** The batch jobs of one gateway. */
export class JobService {
  private readonly owned = new Map<string, ownedJobs.OwnedJob>();

  private readonly facts = new Map<string, JobFacts>();

  private readonly adopting = new Set<string>();

  private readonly texts = partialTexts.PartialTexts.create();

  private isStopping = false;

  private constructor(private readonly parts: JobServiceParts) {}

  static create(parts: JobServiceParts): JobService {
    return new JobService(parts);
  }

  /** The number of jobs that are run here. */
  get openCount(): number {
    return [...this.owned.values()].filter((job) => job.isOpen).length;
  }

  /** Whether this gateway runs the job or did so to its end. */
  has(id: string): boolean {
    return this.owned.has(id);
  }

  /** Accepts a job, once, however often it is submitted. */
  async submit(job: jobs.BatchJob): Promise<Answer<undefined>> {
    const { environment, store } = this.parts;
    if (this.owned.has(job.id)) return { isOk: true, value: undefined };
    if (this.isStopping) return fail('draining', STORE_RETRY_MS);
    const startMs = environment.nowMs();
    const runner = runnerChoices.chooseRunner(job.model, this.parts.listWorkers());
    const { outcome, head } = await store.create(job, runner);
    const tookMs = Math.round(environment.nowMs() - startMs);
    const { id, model, step, oldestVersion, items } = job;
    environment.log.change('job submitted', {
      job: id,
      outcome: outcome.status,
      model,
      step,
      oldestVersion,
      items: items.length,
      wantedGroups: job.wantedGroups,
      runner: head.owner?.vm,
      tookMs,
    });
    environment.metrics.count('jobs_submitted', { outcome: outcome.status });
    environment.metrics.record('job_submission', {}, tookMs);
    if (outcome.status === stores.StoreStatus.Done) {
      const state = { head, revision: outcome.revision };
      this.remember(id, { total: items.length, owner: head.owner });
      if (store.isOwn(head)) this.own({ id, state, items, results: [] });
      return { isOk: true, value: undefined };
    }
    if (outcome.status === stores.StoreStatus.Conflict) return { isOk: true, value: undefined };
    if (outcome.status === stores.StoreStatus.NotDone)
      return fail('store-unavailable', STORE_RETRY_MS);
    this.followUnsettled(job);
    return fail('outcome-unknown');
  }

  /** Runs a job from now on, as it is in the store. */
  async adopt(id: string, state: jobStores.HeadState): Promise<boolean> {
    // Two searches may find the same job; begun twice, it would be listed by two that do not
    // know of each other's results.
    if (this.adopting.has(id) || this.owned.has(id)) return false;
    this.adopting.add(id);
    const isAdopted = this.isStopping
      ? await this.handOn(id, state)
      : await this.claimAndLoad(id, state);
    this.adopting.delete(id);
    return isAdopted;
  }

  /** Results from `position` on; waits up to `waitMs` for the first. */
  async read(
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Answer<ResultsPage>> {
    const endMs = this.parts.environment.nowMs() + waitMs;
    for (;;) {
      const leftMs = endMs - this.parts.environment.nowMs();
      const isLast = leftMs <= 0 || signal.aborted || this.isStopping;
      const owned = this.owned.get(id);
      const page = owned ? this.readOwned(owned, position, isLast) : undefined;
      if (page) return { isOk: true, value: page };
      if (owned && !isLast && this.isAuthority(owned)) await owned.waitForResult(leftMs, signal);
      else {
        const read = await this.readStored(id, position);
        if (!read.isOk || read.value.results.length > 0 || isLast) return read;
        await this.waitForOther(id, position, leftMs, signal);
      }
    }
  }

  /** See Peers.waitForResult, on the side of the gateway that runs the job. */
  async waitForListing(
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const job = this.owned.get(id);
    if (!job) return false;
    if (job.results.length > position) return true;
    // Nothing more comes here, so the reader had better not ask again at once.
    if (!job.isOpen) return false;
    await job.waitForResult(waitMs, signal);
    return true;
  }

  /** The body of an item; a job that was ended has none any more. */
  async readBody(id: string, itemId: string): Promise<Answer<Buffer>> {
    const owned = this.owned.get(id);
    if (owned?.closing === ownedJobs.JobClosing.Ended) return fail('unknown-item');
    const known = owned?.items.get(itemId)?.item;
    if (known && owned.isOpen && this.parts.isTrusted()) return { isOk: true, value: known.body };
    const state = await this.parts.store.readHead(id);
    if (state === jobStores.UNREADABLE) return fail('store-unavailable', STORE_RETRY_MS);
    if (!state) return fail('unknown-job');
    if (state.head.isEnded) return fail('unknown-item');
    if (known) return { isOk: true, value: known.body };
    const items = await this.parts.store.readItems(id);
    if (items === jobStores.UNREADABLE) return fail('store-unavailable', STORE_RETRY_MS);
    const item = items.find((candidate) => candidate.id === itemId);
    return item ? { isOk: true, value: item.body } : fail('unknown-item');
  }

  /** Ends a job; ending it again changes nothing. */
  async end(id: string): Promise<Answer<undefined>> {
    const { store, environment } = this.parts;
    for (let attempt = 0; attempt < MOST_END_ATTEMPTS; attempt += 1) {
      const state = await store.readHead(id);
      if (state === jobStores.UNREADABLE) return fail('store-unavailable', STORE_RETRY_MS);
      if (!state) return fail('unknown-job');
      if (state.head.isEnded) {
        this.learnEnd(id);
        return { isOk: true, value: undefined };
      }
      const outcome = await store.end(id, state);
      if (outcome.status === stores.StoreStatus.Done) {
        environment.log.change('job ended by its caller', { job: id, listed: state.head.listed });
        this.learnEnd(id);
        return { isOk: true, value: undefined };
      }
      if (outcome.status !== stores.StoreStatus.Conflict) return fail('outcome-unknown');
    }
    return fail('outcome-unknown');
  }

  /** Learns that a job was ended, through whatever gateway. */
  learnEnd(id: string): void {
    const owned = this.owned.get(id);
    if (!owned) return;
    if (owned.isOpen) owned.close(ownedJobs.JobClosing.Ended);
    else owned.closing = ownedJobs.JobClosing.Ended;
  }

  /** Refuses new jobs and answers all waiting readers. */
  prepareStop(): void {
    this.isStopping = true;
    this.owned.forEach((job) => job.wakeReaders());
  }

  /** Gives all jobs back. */
  async releaseAll(): Promise<void> {
    const open = [...this.owned.values()].filter((job) => job.isOpen);
    await Promise.all(open.map((job) => job.release()));
  }

  /** A job that was assigned to this gateway although it stops goes to another. */
  private async handOn(id: string, state: jobStores.HeadState): Promise<false> {
    const { store } = this.parts;
    if (store.isOwn(state.head)) await store.release(id, state, []);
    return false;
  }

  private async claimAndLoad(id: string, state: jobStores.HeadState): Promise<boolean> {
    const { store } = this.parts;
    const claimed: jobStores.ChangeOutcome = store.isOwn(state.head)
      ? { status: stores.StoreStatus.Done, state }
      : await store.claim(id, state);
    if (claimed.status !== stores.StoreStatus.Done) return false;
    const loaded = await store.load(id);
    if (loaded === jobStores.UNREADABLE) return false;
    if (this.isStopping) return this.handOn(id, claimed.state);
    const { items, results, partials } = loaded;
    partials.forEach((text) => this.texts.keep(text));
    this.own({ id, state: claimed.state, items, results });
    return true;
  }

  private own(content: ownedJobs.OwnedJobContent): void {
    const { environment, store, runner } = this.parts;
    const job = ownedJobs.OwnedJob.create(
      { environment, store, closed: (closed) => this.forgetSoon(closed) },
      content,
    );
    this.remember(job.id, { total: content.items.length, owner: job.head.owner });
    this.owned.set(job.id, job);
    job.items.forEach((entry) => {
      if (this.texts.adopt(entry, job.head.oldestVersion)) runner.noteCarried(entry.item.id);
    });
    if (job.head.listed === job.head.total) {
      job.close(ownedJobs.JobClosing.Finished);
      return;
    }
    job.keepCheckpoints();
    runner.add(job);
  }

  private forgetSoon(job: ownedJobs.OwnedJob): void {
    const { runner, environment, store, keepMs } = this.parts;
    runner.remove(job);
    const listed = new Set(job.results.map((result) => result.itemId));
    job.items.forEach((entry) => {
      if (!listed.has(entry.item.id)) this.texts.keepFrom(entry);
    });
    if (!job.isComplete) {
      this.owned.delete(job.id);
      return;
    }
    environment.pause(KEEP_CLOSED_MS).then(() => this.owned.delete(job.id));
    const ageMs = store.nowMs - job.head.submittedMs;
    environment
      .pause(Math.max(0, keepMs - ageMs) + DISCARD_SLACK_MS)
      .then(() => store.discard(job.id));
  }

  private readOwned(
    job: ownedJobs.OwnedJob,
    position: number,
    isLast: boolean,
  ): ResultsPage | undefined {
    const results = job.results.slice(position);
    const isSettled = !job.isOpen || isLast;
    // A listing without an answer may be in force, and others may have read it.
    const isSure = this.isAuthority(job) && !(job.isOpen && job.isBeingListed);
    if (results.length === 0 && !(isSettled && isSure)) return undefined;
    return { total: job.head.total, results };
  }

  /** Whether what this gateway knows of a job is all there is. */
  private isAuthority(job: ownedJobs.OwnedJob): boolean {
    return !job.isOpen || this.parts.isTrusted();
  }

  /** Waits for a result of a job that another gateway runs. */
  private async waitForOther(
    id: string,
    position: number,
    leftMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { listWorkers, peers, environment } = this.parts;
    const owner = this.facts.get(id)?.owner;
    const worker = listWorkers().find(
      (candidate) => candidate.vm === owner?.vm && candidate.vm !== environment.vm,
    );
    const isTold =
      worker && (await peers.waitForResult(worker.address, id, position, leftMs, signal));
    if (isTold) return;
    // Whoever runs it now, the store tells what is listed.
    this.forgetOwner(id);
    await environment.pause(Math.min(LOOK_MS, leftMs));
  }

  private forgetOwner(id: string): void {
    const facts = this.facts.get(id);
    if (facts) this.facts.set(id, { ...facts, owner: null });
  }

  private async readStored(id: string, position: number): Promise<Answer<ResultsPage>> {
    const { store } = this.parts;
    let facts = this.facts.get(id);
    if (!facts?.owner) {
      const state = await store.readHead(id);
      if (state === jobStores.UNREADABLE) return fail('store-unavailable', STORE_RETRY_MS);
      if (!state) return fail('unknown-job');
      facts = { total: state.head.total, owner: state.head.owner };
      this.remember(id, facts);
    }
    const results = await store.readResults(id, position);
    if (results === jobStores.UNREADABLE) return fail('store-unavailable', STORE_RETRY_MS);
    return { isOk: true, value: { total: facts.total, results } };
  }

  private remember(id: string, facts: JobFacts): void {
    if (this.facts.size >= MOST_REMEMBERED) {
      const [oldest] = this.facts.keys();
      if (oldest !== undefined) {
        this.facts.delete(oldest);
        if (!this.owned.get(oldest)?.isOpen) this.owned.delete(oldest);
      }
    }
    this.facts.set(id, facts);
  }

  /** A submission may still take effect after its answer was lost; then this gateway runs it. */
  private async followUnsettled(job: jobs.BatchJob): Promise<void> {
    const { environment, store } = this.parts;
    for (let look = 0; look < UNSETTLED_LOOKS && !this.isStopping; look += 1) {
      await environment.pause(UNSETTLED_LOOK_MS);
      const state = await store.readHead(job.id);
      if (state && state !== jobStores.UNREADABLE) {
        if (store.isOwn(state.head) && !this.owned.has(job.id)) await this.adopt(job.id, state);
        return;
      }
    }
  }
}

function fail(
  code: decisions.ErrorCode,
  retryAfterMs?: number,
): { readonly isOk: false; readonly failure: decisions.Failure } {
  const detail = retryAfterMs === undefined ? {} : { retryAfterMs };
  return { isOk: false, failure: decisions.createFailure(code, detail) };
}
