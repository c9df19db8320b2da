/**
 * Batch jobs as callers see them: submit and end; readers are answered by the result reader.
 *
 * A job is accepted by any gateway and run by the one that its model's jobs go to. Any gateway
 * answers for any job. "There is no such job" and "there is nothing at this position" are said only
 * after the store was read, or by the owner whose membership is beyond doubt.
 */
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as stores from '../types/store';
import * as answers from './answer';
import type * as jobRunners from './job-runner';
import * as jobStores from './job-store';
import * as ownedJobs from './owned-job';
import * as partialTexts from './partial-texts';
import * as recentMaps from './recent-map';
import * as resultReaders from './result-reader';
import * as runnerChoices from './runner-choice';

/** What the service needs. */
export interface JobServiceParts {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  readonly runner: jobRunners.JobRunner;
  /** Whether no other gateway can have taken this one's jobs over. */
  readonly isTrusted: () => boolean;
  /** The gateways that take new work. */
  readonly listWorkers: () => readonly resultReaders.Worker[];
  readonly peers: resultReaders.Peers;
  /** How long a job can be read after its submission, in milliseconds. */
  readonly keepMs: number;
}

/** Jobs of which the unchanging facts are remembered, at the most. */
const MOST_REMEMBERED = 2000;
/** How long results of a closed job are held in memory; later reads go to the store. */
const KEEP_CLOSED_MS = 20_000;
/** How much longer than it must be readable a job stays in the store, in milliseconds. */
const DISCARD_SLACK_MS = 60_000;
/** How often a submission whose fate is unknown is looked up, and how many times. */
const UNSETTLED_LOOK_MS = 1000;
const UNSETTLED_LOOKS = 8;
/** Attempts at ending a job while others change it. */
const MOST_END_ATTEMPTS = 8;

/** The batch jobs of one gateway. */
export class JobService {
  private readonly owned = new Map<string, ownedJobs.OwnedJob>();

  private readonly facts = recentMaps.RecentMap.create<resultReaders.JobFacts>(MOST_REMEMBERED);

  private readonly adopting = new Set<string>();

  private readonly texts = partialTexts.PartialTexts.create();

  private isStopping = false;

  /** What readers ask. */
  readonly results: resultReaders.ResultReader;

  private constructor(private readonly parts: JobServiceParts) {
    this.results = resultReaders.ResultReader.create({
      ...parts,
      facts: this.facts,
      findOwned: (id) => this.owned.get(id),
      isStopping: () => this.isStopping,
    });
  }

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
  async submit(job: jobs.BatchJob): Promise<answers.Answer<undefined>> {
    const { environment, store } = this.parts;
    if (this.owned.has(job.id)) return { isOk: true, value: undefined };
    if (this.isStopping) return answers.fail('draining', answers.STORE_RETRY_MS);
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
      this.facts.set(id, { total: items.length, owner: head.owner });
      if (store.isOwn(head)) this.own({ id, state, items, results: [] });
      return { isOk: true, value: undefined };
    }
    if (outcome.status === stores.StoreStatus.Conflict) return { isOk: true, value: undefined };
    if (outcome.status === stores.StoreStatus.NotDone)
      return answers.fail('store-unavailable', answers.STORE_RETRY_MS);
    this.followUnsettled(job);
    return answers.fail('outcome-unknown');
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

  /** Ends a job; ending it again changes nothing. */
  async end(id: string): Promise<answers.Answer<undefined>> {
    const { store, environment } = this.parts;
    for (let attempt = 0; attempt < MOST_END_ATTEMPTS; attempt += 1) {
      const state = await store.readHead(id);
      if (state === jobStores.UNREADABLE)
        return answers.fail('store-unavailable', answers.STORE_RETRY_MS);
      if (!state) return answers.fail('unknown-job');
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
      if (outcome.status !== stores.StoreStatus.Conflict) return answers.fail('outcome-unknown');
    }
    return answers.fail('outcome-unknown');
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
    this.facts.set(job.id, { total: content.items.length, owner: job.head.owner });
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
