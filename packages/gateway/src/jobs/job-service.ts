/**
 * The batch job operations of callers: submit and end. The result reader answers readers.
 *
 * Any gateway accepts a job; the gateway chosen for the job's model runs it. Any gateway answers
 * for any job. That a job does not exist, or that it has no result at a position, is only answered
 * after a read of the store.
 */
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as plannedStops from '../requests/planned-stop';
import * as stores from '../types/store';
import * as answers from './answer';
import type * as jobRunners from './job-runner';
import type * as itemProgresses from './item-progress';
import * as jobLoaders from './job-loader';
import * as jobStarters from './job-starter';
import type * as records from './job-record';
import * as jobStores from './job-store';
import * as ownedJobs from './owned-job';
import * as partialTexts from './partial-texts';
import * as boundedMaps from './bounded-map';
import * as resultReaders from './result-reader';
import * as gatewayChoices from './gateway-choice';

export interface JobServiceOptions {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  readonly runner: jobRunners.JobRunner;
  /** The gateways that accept new jobs. */
  readonly listWorkers: () => readonly resultReaders.Worker[];
  readonly peers: resultReaders.Peers;
  /** How long a job can be read after its submission, in milliseconds. */
  readonly jobRetentionMs: number;
  /** Called when a job that this gateway owns was not started, for the search to find it. */
  readonly onNotStarted: () => void;
}

const MAXIMUM_CACHED_JOBS = 2000;
/** How long results of a closed job are held in memory; later reads go to the store. */
const CLOSED_JOB_RETENTION_MS = 20_000;
/** How long a job stays in the store after the time for which it must be readable. */
const DISCARD_MARGIN_MS = 60_000;
/** How often and how many times the store is polled for a submission with unknown outcome. */
const UNKNOWN_SUBMISSION_POLL_INTERVAL_MS = 1000;
const MAXIMUM_UNKNOWN_SUBMISSION_POLLS = 8;
/** Attempts to end a job that other writers keep changing. */
const MAXIMUM_END_ATTEMPTS = 8;

/** The batch jobs of one gateway. */
export class JobService {
  private readonly owned = new Map<string, ownedJobs.OwnedJob>();

  private readonly jobCache =
    boundedMaps.BoundedMap.create<resultReaders.CachedJob>(MAXIMUM_CACHED_JOBS);

  private readonly takingOver = new Set<string>();

  /** Ended jobs whose rows this gateway removes once they need not be readable any more. */
  private readonly discarding = new Set<string>();

  private readonly savedTexts: partialTexts.PartialTexts;

  private readonly loader: jobLoaders.JobLoader;

  private readonly starter: jobStarters.JobStarter;

  private isStopping = false;

  /** Answers readers of results and of item bodies. */
  readonly results: resultReaders.ResultReader;

  private constructor(private readonly options: JobServiceOptions) {
    this.savedTexts = partialTexts.PartialTexts.create(options.environment.memory);
    this.loader = jobLoaders.JobLoader.create({
      environment: options.environment,
      store: options.store,
      onText: (text) => this.savedTexts.saveText(text),
    });
    this.starter = jobStarters.JobStarter.create({
      environment: options.environment,
      store: options.store,
      isStopping: () => this.isStopping,
      isStarted: (id) => this.owned.has(id),
      run: (content) => this.run(content),
    });
    this.results = resultReaders.ResultReader.create({
      ...options,
      jobCache: this.jobCache,
      findOwnedJob: (id) => this.owned.get(id),
      isStopping: () => this.isStopping,
    });
  }

  static create(options: JobServiceOptions): JobService {
    return new JobService(options);
  }

  /** The number of jobs that this gateway runs now. */
  get openCount(): number {
    return this.listOpen().length;
  }

  /** Whether this gateway runs the job, or ran it to its end and still holds it in memory. */
  has(id: string): boolean {
    return this.owned.has(id);
  }

  /** Whether there is a job that was submitted to a host; undefined: the store gives no answer. */
  async isOfHost(id: string, host: string): Promise<boolean | undefined> {
    const known = this.owned.get(id)?.head ?? this.jobCache.get(id);
    const head = known ?? (await this.readHead(id));
    if (head === jobStores.UNREADABLE) return undefined;
    return head?.host.toLowerCase() === host.toLowerCase();
  }

  private async readHead(
    id: string,
  ): Promise<records.JobHead | undefined | typeof jobStores.UNREADABLE> {
    const state = await this.options.store.readHead(id);
    return state === jobStores.UNREADABLE ? state : state?.head;
  }

  /** The jobs that this gateway runs now, as far as it knows. */
  listOpen(): ownedJobs.OwnedJob[] {
    return [...this.owned.values()].filter((job) => job.isOpen);
  }

  /** Accepts a job; submitting it again has no effect. */
  async submit(job: jobs.SubmittedJob): Promise<answers.Answer<undefined>> {
    const { environment, store } = this.options;
    const owned = this.owned.get(job.id);
    if (owned) return confirmSubmitted(job, owned.head);
    if (this.isStopping) return { isOk: false, failure: plannedStops.createStopRefusal() };
    const startMs = environment.nowMs();
    const chosenGateway = gatewayChoices.chooseGateway(job.model, this.options.listWorkers());
    const { outcome, head, items } = await store.create(job, chosenGateway);
    const tookMs = Math.round(environment.nowMs() - startMs);
    const { id, model, step, oldestVersion } = job;
    environment.log.info('job submitted', {
      job: id,
      outcome: outcome.status,
      model,
      step,
      oldestVersion,
      items: head.total,
      wantedGroups: job.wantedGroups,
      runner: head.owner?.vm,
      tookMs,
    });
    environment.metrics.count('jobs_submitted', { outcome: outcome.status });
    environment.metrics.record('job_submission', {}, tookMs);
    if (outcome.status === stores.StoreStatus.Done) {
      const state = { head, revision: outcome.revision };
      this.jobCache.set(id, resultReaders.createCachedJob(head));
      if (store.isOwn(head)) await this.startSubmitted(id, state, items);
      return { isOk: true, value: undefined };
    }
    if (outcome.status === stores.StoreStatus.Conflict) return this.confirmStored(job);
    if (outcome.status === stores.StoreStatus.NotDone)
      return answers.fail('store-unavailable', answers.STORE_RETRY_AFTER_MS);
    this.followUnknownSubmission(id);
    return answers.fail('outcome-unknown');
  }

  /** Answers a submission of a job that the store has. */
  private async confirmStored(job: jobs.SubmittedJob): Promise<answers.Answer<undefined>> {
    if (job.organisation === undefined) return { isOk: true, value: undefined };
    const state = await this.options.store.readHead(job.id);
    if (state === jobStores.UNREADABLE) return answers.fail('outcome-unknown');
    return state ? confirmSubmitted(job, state.head) : answers.fail('outcome-unknown');
  }

  /** Claims a job, loads it from the store and runs it from now on; returns whether it does. */
  async takeOver(id: string, state: jobStores.HeadState): Promise<boolean> {
    // Two searches may find the same job. If it were started twice, two OwnedJob instances would
    // append to its list without knowing of each other's results.
    if (this.takingOver.has(id) || this.owned.has(id)) return false;
    this.takingOver.add(id);
    try {
      return this.isStopping
        ? await this.releaseIfOwned(id, state)
        : await this.claimAndLoad(id, state);
    } finally {
      this.takingOver.delete(id);
    }
  }

  /** Ends a job of an organisation; ending it again has no effect. */
  async end(id: string, organisation?: string): Promise<answers.Answer<undefined>> {
    const { store, environment } = this.options;
    for (let attempt = 0; attempt < MAXIMUM_END_ATTEMPTS; attempt += 1) {
      const state = await store.readHead(id);
      if (state === jobStores.UNREADABLE)
        return answers.fail('store-unavailable', answers.STORE_RETRY_AFTER_MS);
      if (!state || state.head.organisation !== organisation) return answers.fail('unknown-job');
      if (state.head.isEnded) {
        this.onJobEnded(id);
        this.discardLater(id, state.head);
        return { isOk: true, value: undefined };
      }
      const outcome = await store.end(id, state);
      if (outcome.status === stores.StoreStatus.Done) {
        environment.log.info('job ended by its caller', { job: id, listed: state.head.listed });
        this.onJobEnded(id);
        this.discardLater(id, state.head);
        return { isOk: true, value: undefined };
      }
      if (outcome.status !== stores.StoreStatus.Conflict) return answers.fail('outcome-unknown');
    }
    return answers.fail('outcome-unknown');
  }

  /** Called when a job was ended, through this gateway or another. */
  onJobEnded(id: string): void {
    const cachedJob = this.jobCache.get(id);
    if (cachedJob) this.jobCache.set(id, { ...cachedJob, isFinal: true });
    this.starter.recordEnd(id);
    const owned = this.owned.get(id);
    if (!owned) return;
    if (owned.isOpen) {
      owned.close(ownedJobs.JobCloseReason.Ended);
      return;
    }
    owned.closeReason = ownedJobs.JobCloseReason.Ended;
    this.discardLater(id, owned.head);
  }

  /** Refuses new jobs from now on and answers all waiting readers. */
  prepareStop(): void {
    this.isStopping = true;
    this.owned.forEach((job) => job.wakeReaders());
  }

  /** Releases all jobs, so that other gateways take them over. */
  async releaseAll(): Promise<void> {
    await Promise.all(this.listOpen().map((job) => job.release()));
  }

  /** Releases a job that was assigned to this gateway while it stops, for another to take over. */
  private async releaseIfOwned(id: string, state: jobStores.HeadState): Promise<false> {
    const { store } = this.options;
    if (store.isOwn(state.head)) await store.release(id, state, []);
    return false;
  }

  private async claimAndLoad(id: string, state: jobStores.HeadState): Promise<boolean> {
    const { store } = this.options;
    const claimed: jobStores.ChangeOutcome = store.isOwn(state.head)
      ? { status: stores.StoreStatus.Done, state }
      : await store.claim(id, state);
    if (claimed.status !== stores.StoreStatus.Done) return false;
    const loaded = await this.loader.load(id, claimed.state.head);
    return loaded !== undefined && this.start({ id, state: claimed.state, ...loaded });
  }

  /** Starts a job that was submitted here; when its items are not held, the search finds and loads it. */
  private async startSubmitted(
    id: string,
    state: jobStores.HeadState,
    items: readonly jobs.Item[] | undefined,
  ): Promise<void> {
    const held = items && this.loader.hold(items);
    if (held && (await this.start({ id, state, ...held }))) return;
    this.options.onNotStarted();
  }

  private async start(content: ownedJobs.OwnedJobContent): Promise<boolean> {
    const isStarted = await this.starter.start(content);
    if (this.owned.get(content.id)?.results !== content.results) {
      content.window.release();
      content.results.release();
    }
    return isStarted;
  }

  /** Runs a job that the starter has compared with its head. */
  private run(content: ownedJobs.OwnedJobContent): void {
    const { environment, store, runner } = this.options;
    const job = ownedJobs.OwnedJob.create(
      {
        environment,
        store,
        onClosed: (closed) => this.onJobClosed(closed),
        onItemsLoaded: (loadedJob, items) => {
          this.restoreTexts(loadedJob, items);
          runner.addItems(loadedJob, items);
        },
      },
      content,
    );
    this.jobCache.set(job.id, resultReaders.createCachedJob(job.head));
    this.owned.set(job.id, job);
    this.restoreTexts(job, [...job.items.values()]);
    if (job.isWhole) {
      job.close(ownedJobs.JobCloseReason.Finished);
      return;
    }
    job.startCheckpoints();
    runner.add(job);
    job.loadFurtherItems();
  }

  private restoreTexts(
    job: ownedJobs.OwnedJob,
    items: readonly itemProgresses.ItemProgress[],
  ): void {
    items.forEach((itemProgress) => {
      const isCarriedOver = this.savedTexts.restoreItem(itemProgress, job.head.oldestVersion);
      Object.assign(itemProgress, { isCarriedOver });
    });
  }

  private onJobClosed(job: ownedJobs.OwnedJob): void {
    const { runner, environment } = this.options;
    const { id } = job;
    runner.remove(job);
    job.items.forEach((itemProgress) => {
      if (!itemProgress.isListed) this.savedTexts.saveItem(itemProgress);
    });
    const { Finished, Ended } = ownedJobs.JobCloseReason;
    if (job.closeReason !== Finished && job.closeReason !== Ended) {
      this.forget(id);
      return;
    }
    environment.pause(CLOSED_JOB_RETENTION_MS).then(() => this.forget(id));
    // A finished job is open to its trainer until it is ended.
    if (job.closeReason === Ended) this.discardLater(id, job.head);
  }

  /** Removes the rows of an ended job after the time for which it must be readable. */
  private discardLater(id: string, head: jobStores.HeadState['head']): void {
    if (this.discarding.has(id)) return;
    this.discarding.add(id);
    const { store, jobRetentionMs } = this.options;
    const remainingMs = Math.max(0, head.acceptedMs + jobRetentionMs - store.nowMs);
    this.discardAfter(remainingMs + DISCARD_MARGIN_MS, id, head.submittedMs);
  }

  private async discardAfter(delayMs: number, id: string, submittedMs: number): Promise<void> {
    const { environment, store } = this.options;
    await environment.pause(delayMs);
    while (!(await store.discard(id, submittedMs))) await environment.pause(DISCARD_MARGIN_MS);
    this.discarding.delete(id);
  }

  private forget(id: string): void {
    this.owned.get(id)?.results.release();
    this.owned.delete(id);
  }

  /**
   * Polls for a submission with unknown outcome: it may still take effect after its answer was
   * lost, and this gateway then runs the job if it is the owner.
   */
  private async followUnknownSubmission(id: string): Promise<void> {
    const { environment, store } = this.options;
    for (let poll = 0; poll < MAXIMUM_UNKNOWN_SUBMISSION_POLLS && !this.isStopping; poll += 1) {
      await environment.pause(UNKNOWN_SUBMISSION_POLL_INTERVAL_MS);
      const state = await store.readHead(id);
      if (state && state !== jobStores.UNREADABLE) {
        if (store.isOwn(state.head) && !state.head.isEnded) await this.takeOver(id, state);
        return;
      }
    }
  }
}

/** An id that another organisation has used names its job, which this caller must not learn of. */
function confirmSubmitted(
  job: jobs.SubmittedJob,
  head: records.JobHead,
): answers.Answer<undefined> {
  if (head.organisation === job.organisation) return { isOk: true, value: undefined };
  return answers.fail('conflict');
}
