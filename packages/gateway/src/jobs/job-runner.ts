/**
 * Runs the items of all batch jobs that this gateway owns: decides which item starts next and on
 * which replica, follows the streams of events, moves items away from slow or failing replicas, and
 * has complete texts scored.
 */
import type * as activeConfigurations from '../configuration/active-configuration';
import type * as permitRequesters from '../limits/permit-requester';
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import type * as configurations from '../types/configuration';
import * as jobs from '../types/batch-job';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as placement from '../replicas/placement';
import type * as forwarders from '../requests/forwarder';
import * as itemOrder from './item-order';
import * as itemPlacements from './item-placement';
import * as itemWaits from './item-waits';
import * as progress from './item-progress';
import type * as ownedJobs from './owned-job';
import * as runBackoffs from './run-backoff';
import * as scoring from './scoring';
import * as scoringQueues from './scoring-queue';
import * as slowReplicas from './slow-replicas';
import * as streamRuns from './stream-run';

export interface JobRunnerOptions {
  readonly environment: environments.Environment;
  readonly configuration: activeConfigurations.ActiveConfiguration;
  readonly directory: directories.ReplicaDirectory;
  readonly caller: replicas.ReplicaClient;
  readonly forwarder: forwarders.Forwarder;
  readonly permits: permitRequesters.PermitRequester;
  /** The store's clock, on which the age of a job is measured. */
  readonly storeNowMs: () => number;
}

/**
 * How long a replica that refused an item gets none: none at all if it was full, otherwise none of the item's
 * model, which it may be loading.
 */
const LOADING_BACKOFF_MS = 150;
const SLOW_CHECK_INTERVAL_MS = 200;
/** Delay before an item is scored again after an unexpected error. */
const SCORING_BACKOFF_MS = 1000;
/** Assumed time per event while no replica has been measured. */
const DEFAULT_EVENT_MS = 40;
/** Runs with fewer events do not show yet how fast their replica is. */
const MINIMUM_EVENTS_FOR_SLOW_CHECK = 4;

/** Starts items and handles the ends of their runs. */
export class JobRunner {
  private readonly jobs = new Map<string, ownedJobs.OwnedJob>();

  private slowCheckTimer: NodeJS.Timeout | undefined;

  private isDispatchScheduled = false;

  private readonly scoringQueue: scoringQueues.ScoringQueue;

  private readonly errors: errorGuards.ErrorGuard;

  private readonly placement: itemPlacements.ItemPlacement;

  private readonly backoff: runBackoffs.RunBackoff;

  private readonly slowReplicas: slowReplicas.SlowReplicas;

  private readonly waits: itemWaits.ItemWaits;

  private constructor(private readonly options: JobRunnerOptions) {
    this.scoringQueue = scoringQueues.ScoringQueue.create(options.environment);
    this.errors = errorGuards.ErrorGuard.create(options.environment, 'items');
    this.placement = itemPlacements.ItemPlacement.create({
      ...options,
      onRoom: () => this.scheduleDispatch(),
    });
    this.backoff = runBackoffs.RunBackoff.create({
      ...options,
      onElapsed: () => this.scheduleDispatch(),
    });
    this.slowReplicas = slowReplicas.SlowReplicas.create(options);
    this.waits = itemWaits.ItemWaits.create(options.environment);
  }

  static create(options: JobRunnerOptions): JobRunner {
    return new JobRunner(options);
  }

  /** Starts running a job. */
  add(job: ownedJobs.OwnedJob): void {
    this.jobs.set(job.id, job);
    this.slowCheckTimer ??= setInterval(
      () => this.errors.run(() => this.checkSlowReplicas()),
      SLOW_CHECK_INTERVAL_MS,
    );
    this.addItems(job, job.listItems(progress.ItemPhase.Waiting));
  }

  /** Starts running further items of a job. */
  addItems(job: ownedJobs.OwnedJob, items: readonly progress.ItemProgress[]): void {
    items
      .filter(({ phase, isTextComplete }) => phase === progress.ItemPhase.Waiting && isTextComplete)
      .forEach((itemProgress) => this.scoreItem(job, itemProgress));
    this.scheduleDispatch();
  }

  /** Stops running a job. */
  remove(job: ownedJobs.OwnedJob): void {
    this.jobs.delete(job.id);
    if (this.jobs.size > 0) return;
    clearInterval(this.slowCheckTimer);
    this.slowCheckTimer = undefined;
  }

  /** Starts as many waiting items as replicas have slots for, after the current event loop turn. */
  scheduleDispatch(): void {
    if (this.isDispatchScheduled) return;
    this.isDispatchScheduled = true;
    setImmediate(() => {
      this.isDispatchScheduled = false;
      this.errors.run(() => this.dispatchWaitingItems());
    });
  }

  private dispatchWaitingItems(): void {
    const nowMs = this.options.environment.nowMs();
    const storeNowMs = this.options.storeNowMs();
    const waitingJobs: itemOrder.WaitingJob[] = [];
    this.errors.forEach(this.jobs.values(), (job) => {
      waitingJobs.push(...[this.describeJob(job) ?? []].flat());
    });
    this.errors.forEach(itemOrder.orderItems(waitingJobs, nowMs), (ordered) => {
      const job = this.jobs.get(ordered.jobId);
      const itemProgress = job?.items.get(ordered.itemId);
      if (!job?.isOpen || itemProgress?.phase !== progress.ItemPhase.Waiting) return;
      this.dispatchItem(job, itemProgress, storeNowMs);
    });
    this.waits.finishPass();
  }

  private describeJob(job: ownedJobs.OwnedJob): itemOrder.WaitingJob | undefined {
    const waitingItems = job.listItems(progress.ItemPhase.Waiting);
    const route = this.findRoute(job);
    if (route) job.recordRoute(route);
    if (!route || waitingItems.length === 0) return undefined;
    const estimateRemainingMs = this.createEstimator(route);
    const groups = job.listGroups(estimateRemainingMs);
    return {
      id: job.id,
      dueMs: this.toMonotonic(job.head.submittedMs + route.resultsDueMs),
      priority: this.options.configuration.getPriority(route, job.head.organisation),
      wantedGroups: job.head.wantedGroups,
      completeGroups:
        job.completeGroupCount + groups.filter((group) => group.unfinishedItems === 0).length,
      groups,
      waitingItems: waitingItems.map((itemProgress) => ({
        id: itemProgress.item.id,
        group: itemProgress.item.group,
        expectedRemainingMs: estimateRemainingMs(itemProgress),
      })),
    };
  }

  /** Creates an estimator of remaining time: the caller's estimate less the events received. */
  private createEstimator(
    route: configurations.Route,
  ): (itemProgress: progress.ItemProgress) => number {
    const { current } = this.options.configuration;
    const service = current?.services.get(route.services[0]?.service ?? '');
    const tokensPerEvent = Math.max(1, service?.tokensPerEvent ?? 1);
    // Computed once for all items, because it iterates over all replicas of the service.
    const eventMs = this.measureTypicalEventMs(service?.name ?? '');
    return (itemProgress) => {
      const events = (itemProgress.item.expectedOutputTokens ?? 0) / tokensPerEvent;
      return Math.max(0, events - itemProgress.events.length) * eventMs;
    };
  }

  private measureTypicalEventMs(service: string): number {
    const eventTimesMs = this.options.directory
      .list(service)
      .flatMap((tracked) => slowReplicas.getUsualUnitMs(tracked) ?? []);
    return placement.findMedian(eventTimesMs) ?? DEFAULT_EVENT_MS;
  }

  private toMonotonic(storeMs: number): number {
    return storeMs - this.options.storeNowMs() + this.options.environment.nowMs();
  }

  private findRoute(job: ownedJobs.OwnedJob): configurations.Route | undefined {
    return this.options.configuration.routeTable?.find(job.head.host, job.head.path);
  }

  private dispatchItem(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    storeNowMs: number,
  ): void {
    const route = this.findRoute(job);
    if (!route) return;
    const nowMs = this.options.environment.nowMs();
    const lifetimeMs = job.giveUpLimits.itemLifetimeMs;
    if (storeNowMs >= job.head.acceptedMs + lifetimeMs) {
      job.finishItem(itemProgress, jobs.ResultState.Terminated, { cause: 'expired', lifetimeMs });
      return;
    }
    if (this.backoff.isWaiting(itemProgress, nowMs)) return;
    const priority = this.options.configuration.getPriority(route, job.head.organisation);
    const tracked = this.placement.choose(job, itemProgress, { ...route, priority }, nowMs);
    if (!tracked) {
      this.waits.add(this.placement.lastReason);
      return;
    }
    itemProgress.waitingSinceMs = undefined;
    this.startRun(job, itemProgress, route, tracked);
  }

  /** Runs an item; after an unexpected error it waits for another run. */
  private async startRun(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    route: configurations.Route,
    tracked: directories.TrackedReplica,
  ): Promise<void> {
    const run = async (): Promise<true> => {
      await this.runItem(job, itemProgress, route, tracked);
      return true;
    };
    if (await this.errors.settle(run, false)) return;
    if (itemProgress.phase === progress.ItemPhase.Running)
      itemProgress.phase = progress.ItemPhase.Waiting;
    setTimeout(() => this.scheduleDispatch(), LOADING_BACKOFF_MS);
  }

  private async runItem(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    route: configurations.Route,
    tracked: directories.TrackedReplica,
  ): Promise<void> {
    const { environment, directory } = this.options;
    environment.log.info('item started', {
      job: job.id,
      item: itemProgress.item.id,
      group: itemProgress.item.group,
      replica: tracked.replica.id,
      load: directory.getLoad(tracked),
      version: directory.getVersion(tracked, itemProgress.item.model),
      expectedTokens: itemProgress.item.expectedOutputTokens,
      afterEvent: itemProgress.lastEvent,
      softwareVersion: tracked.replica.softwareVersion,
      ageMs: Math.round(this.options.storeNowMs() - job.head.submittedMs),
    });
    const run = streamRuns.StreamRun.create({
      environment,
      directory,
      caller: this.options.caller,
      itemProgress,
      tracked,
      onRoom: () => this.scheduleDispatch(),
      context: {
        oldestVersion: job.head.oldestVersion,
        isSingleVersion: route.isSingleVersion,
        host: job.head.host,
        organisation: this.options.configuration.identifyOrganisation(job.head.organisation),
        jobId: job.id,
        deadlineMs: Math.max(
          1,
          job.head.acceptedMs + job.giveUpLimits.itemLifetimeMs - this.options.storeNowMs(),
        ),
      },
    });
    const end = await run.run();
    environment.metrics.count('runs', { service: tracked.replica.service, end: end.kind });
    if (job.isOpen) this.onRunEnded(job, itemProgress, tracked, end);
    this.scheduleDispatch();
  }

  private onRunEnded(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    tracked: directories.TrackedReplica,
    end: streamRuns.StreamRunEnd,
  ): void {
    itemProgress.phase = progress.ItemPhase.Waiting;
    if (end.kind === 'whole') {
      this.scoreItem(job, itemProgress);
      return;
    }
    if (end.kind === 'impossible') {
      job.finishItem(itemProgress, jobs.ResultState.Terminated, { cause: 'impossible' });
      return;
    }
    if (end.kind === 'refused') {
      const { nowMs } = this.options.environment;
      const untilMs = nowMs() + LOADING_BACKOFF_MS;
      if (end.isFull) tracked.fullUntilMs = untilMs;
      else tracked.loadingUntilMs.set(itemProgress.item.model, untilMs);
      setTimeout(() => this.scheduleDispatch(), LOADING_BACKOFF_MS);
    }
    if (end.kind === 'broken') {
      const { runEvents: events } = itemProgress;
      this.backoff.recordBreak(itemProgress, tracked, {
        events,
        isAborted: end.isAborted === true,
      });
    }
    if (end.kind !== 'failed-answer') return;
    itemProgress.failedAnswers += 1;
    const mostAttempts = job.giveUpLimits.maximumAttempts;
    if (itemProgress.failedAnswers < mostAttempts) return;
    job.finishItem(itemProgress, jobs.ResultState.Terminated, {
      cause: 'failed answers',
      mostAttempts,
    });
  }

  private async scoreItem(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
  ): Promise<void> {
    if (!job.isOpen || itemProgress.phase === progress.ItemPhase.Done) return;
    itemProgress.phase = progress.ItemPhase.Scoring;
    itemProgress.isTextComplete = true;
    const { environment, forwarder } = this.options;
    const scoringOptions = {
      environment,
      forwarder,
      queue: this.scoringQueue,
      identifyOrganisation: (name: string | undefined) =>
        this.options.configuration.identifyOrganisation(name),
    };
    const end = await this.errors.settle(
      () => scoring.scoreItem(scoringOptions, job, itemProgress),
      undefined,
    );
    if (!job.isOpen) return;
    if (!end) {
      setTimeout(() => this.scoreItem(job, itemProgress), SCORING_BACKOFF_MS);
      return;
    }
    if (end.kind === 'scored')
      job.finishItem(itemProgress, jobs.ResultState.Completed, { cause: 'scored' });
    if (end.kind !== 'failed') return;
    job.finishItem(itemProgress, jobs.ResultState.Terminated, {
      cause: 'scoring failed',
      scoringFailures: end.failedAnswers,
      mostAttempts: end.mostAttempts,
    });
  }

  /** Moves items away from replicas that are much slower than others, and starts waiting items. */
  private checkSlowReplicas(): void {
    const { environment, directory } = this.options;
    const nowMs = environment.nowMs();
    this.jobs.forEach((job) => {
      job.listItems(progress.ItemPhase.Running).forEach((itemProgress) => {
        const tracked = directory.get(itemProgress.replicaId ?? '');
        if (!tracked || itemProgress.runEvents < MINIMUM_EVENTS_FOR_SLOW_CHECK) return;
        if (!this.slowReplicas.isSlow(tracked)) return;
        tracked.health.eject(nowMs);
        tracked.health.resetAverage();
        environment.log.info('item moved', {
          job: job.id,
          item: itemProgress.item.id,
          replica: tracked.replica.id,
          events: itemProgress.events.length,
        });
        environment.metrics.count('items_moved', { service: tracked.replica.service });
        itemProgress.abortController?.abort();
      });
    });
    this.scheduleDispatch();
  }
}
