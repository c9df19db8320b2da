/**
 * Runs the items of all batch jobs that this gateway owns: decides which item starts next and on
 * which replica, follows the streams, moves items away from slow or failing replicas, and has
 * whole texts scored.
 */
import type * as configurationKeepers from '../configuration/configuration-keeper';
import * as routeTables from '../configuration/route-table';
import type * as environments from '../types/environment';
import type * as configurations from '../types/configuration';
import * as jobs from '../types/batch-job';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as placement from '../replicas/placement';
import type * as forwarders from '../requests/forwarder';
import * as groupOrder from './group-order';
import * as progress from './item-progress';
import type * as ownedJobs from './owned-job';
import * as scoring from './scoring';
import * as streamRuns from './stream-run';

/** What the runner needs. */
export interface JobRunnerParts {
  readonly environment: environments.Environment;
  readonly configuration: configurationKeepers.ConfigurationKeeper;
  readonly directory: directories.Directory;
  readonly caller: replicas.ReplicaCaller;
  readonly forwarder: forwarders.Forwarder;
  /** The store's clock; the age of a job is measured on it. */
  readonly storeNowMs: () => number;
}

/** A replica is not asked again for a model that it loads before this, in milliseconds. */
const LOADING_REST_MS = 150;
/** How often running items are compared with each other, in milliseconds. */
const REVIEW_MS = 200;
/** An item is moved when its replica takes this many times as long as others for an event. */
const SLOW_FACTOR = 2;
/** Milliseconds an event takes where nothing is known yet. */
const ORDINARY_EVENT_MS = 40;
/** Events of a run after which its speed counts. */
const JUDGED_EVENTS = 4;

/** Starts and follows items. */
export class JobRunner {
  private readonly jobs = new Map<string, ownedJobs.OwnedJob>();

  /** Items that an earlier job left unfinished: the trainer waits for their groups. */
  private readonly carried = new Set<string>();

  private reviewTimer: NodeJS.Timeout | undefined;

  private isPumpPlanned = false;

  private constructor(private readonly parts: JobRunnerParts) {}

  static create(parts: JobRunnerParts): JobRunner {
    return new JobRunner(parts);
  }

  /** Begins to run a job. */
  add(job: ownedJobs.OwnedJob): void {
    this.jobs.set(job.id, job);
    this.reviewTimer ??= setInterval(() => this.review(), REVIEW_MS);
    job.listItems(progress.ItemPhase.Waiting).forEach((entry) => {
      if (entry.isTextWhole) this.score(job, entry);
    });
    this.planPump();
  }

  /** Stops running a job. */
  remove(job: ownedJobs.OwnedJob): void {
    this.jobs.delete(job.id);
    job.items.forEach((_entry, itemId) => this.carried.delete(itemId));
    if (this.jobs.size > 0) return;
    clearInterval(this.reviewTimer);
    this.reviewTimer = undefined;
  }

  /** Notes which items of a job an earlier one left over. */
  noteCarried(itemId: string): void {
    this.carried.add(itemId);
  }

  /** Starts what can be started, once the current events are dealt with. */
  planPump(): void {
    if (this.isPumpPlanned) return;
    this.isPumpPlanned = true;
    setImmediate(() => {
      this.isPumpPlanned = false;
      this.pump();
    });
  }

  private pump(): void {
    const nowMs = this.parts.environment.nowMs();
    const waiting = [...this.jobs.values()].flatMap((job) => this.describe(job) ?? []);
    groupOrder.orderItems(waiting, nowMs).forEach((ordered) => {
      const job = this.jobs.get(ordered.jobId);
      const entry = job?.items.get(ordered.itemId);
      if (!job?.isOpen || entry?.phase !== progress.ItemPhase.Waiting) return;
      this.place(job, entry);
    });
  }

  private describe(job: ownedJobs.OwnedJob): groupOrder.WaitingJob | undefined {
    const waiting = job.listItems(progress.ItemPhase.Waiting);
    const route = this.findRoute(job);
    if (!route || waiting.length === 0) return undefined;
    const expectMs = this.createEstimate(route);
    const groups = job.listGroups(this.carried, expectMs);
    return {
      id: job.id,
      dueMs: this.toMonotonic(job.head.submittedMs + route.resultsDueMs),
      priority: route.priority,
      wantedGroups: job.head.wantedGroups,
      wholeGroups: groups.filter((group) => group.unfinished === 0).length,
      groups,
      waiting: waiting.map((entry) => ({
        id: entry.item.id,
        group: entry.item.group,
        expectedMs: expectMs(entry),
      })),
    };
  }

  /** Tells how long items probably still take: what the caller estimated, less what is there. */
  private createEstimate(route: configurations.Route): (entry: progress.ItemProgress) => number {
    const { current } = this.parts.configuration;
    const service = current?.services.get(route.services[0]?.service ?? '');
    const tokensAnEvent = Math.max(1, service?.tokensAnEvent ?? 1);
    // All replicas of the service are looked at for it, so once for all items.
    const eventMs = this.typicalEventMs(service?.name ?? '');
    return (entry) => {
      const events = (entry.item.expectedOutputTokens ?? 0) / tokensAnEvent;
      return Math.max(0, events - entry.events.length) * eventMs;
    };
  }

  private typicalEventMs(service: string): number {
    const paces = this.parts.directory.list(service).flatMap((known) => known.pace.unitMs ?? []);
    return placement.findMedian(paces) ?? ORDINARY_EVENT_MS;
  }

  private toMonotonic(storeMs: number): number {
    return storeMs - this.parts.storeNowMs() + this.parts.environment.nowMs();
  }

  private findRoute(job: ownedJobs.OwnedJob): configurations.Route | undefined {
    return this.parts.configuration.routeTable?.find(job.head.host, job.head.path);
  }

  private place(job: ownedJobs.OwnedJob, entry: progress.ItemProgress): void {
    const route = this.findRoute(job);
    if (!route) return;
    const nowMs = this.parts.environment.nowMs();
    const expiresMs = job.head.submittedMs + route.itemLifetimeMs;
    if (this.parts.storeNowMs() >= expiresMs) {
      job.finish(entry, jobs.ResultState.Terminated);
      return;
    }
    const known = this.choose(job, entry, route, nowMs);
    if (known) this.start(job, entry, route, known);
  }

  private choose(
    job: ownedJobs.OwnedJob,
    entry: progress.ItemProgress,
    route: configurations.Route,
    nowMs: number,
  ): directories.KnownReplica | undefined {
    const { directory, environment } = this.parts;
    const service = routeTables.chooseService(route, environment.random());
    if (service === undefined) return undefined;
    const { model } = entry.item;
    const candidates = directory
      .list(service)
      .filter((known) => {
        const version = directory.getVersion(known, model);
        if (version !== undefined && version < job.head.oldestVersion) return false;
        if ((known.loadingUntilMs.get(model) ?? -Infinity) > nowMs) return false;
        return directory.getLoad(known) < known.replica.slots;
      })
      .map((known) => {
        const candidate = directory.describe(known);
        const wasLast = entry.replicaId === known.replica.id;
        // Nearness does not count for items.
        return { ...candidate, isNear: false, isAvoided: candidate.isAvoided || wasLast };
      });
    return placement.choosePlacement(candidates, environment.random())?.known;
  }

  private async start(
    job: ownedJobs.OwnedJob,
    entry: progress.ItemProgress,
    route: configurations.Route,
    known: directories.KnownReplica,
  ): Promise<void> {
    const { environment, directory } = this.parts;
    environment.log.change('item started', {
      job: job.id,
      item: entry.item.id,
      group: entry.item.group,
      replica: known.replica.id,
      load: directory.getLoad(known),
      version: directory.getVersion(known, entry.item.model),
      expectedTokens: entry.item.expectedOutputTokens,
      afterEvent: entry.lastEvent,
      ageMs: Math.round(this.parts.storeNowMs() - job.head.submittedMs),
    });
    const run = streamRuns.StreamRun.create({
      environment,
      directory,
      caller: this.parts.caller,
      entry,
      known,
      terms: {
        oldestVersion: job.head.oldestVersion,
        isSingleVersion: route.isSingleVersion,
        host: job.head.host,
        jobId: job.id,
        deadlineMs: Math.max(
          1,
          job.head.submittedMs + route.itemLifetimeMs - this.parts.storeNowMs(),
        ),
      },
    });
    const end = await run.run();
    environment.metrics.count('runs', { service: known.replica.service, end: end.kind });
    if (job.isOpen) this.take(job, entry, route, known, end);
    this.planPump();
  }

  private take(
    job: ownedJobs.OwnedJob,
    entry: progress.ItemProgress,
    route: configurations.Route,
    known: directories.KnownReplica,
    end: streamRuns.StreamRunEnd,
  ): void {
    entry.phase = progress.ItemPhase.Waiting;
    if (end.kind === 'whole') {
      this.score(job, entry);
      return;
    }
    if (end.kind === 'impossible') {
      job.finish(entry, jobs.ResultState.Terminated);
      return;
    }
    if (end.kind === 'refused') {
      const { nowMs } = this.parts.environment;
      known.loadingUntilMs.set(entry.item.model, nowMs() + LOADING_REST_MS);
      setTimeout(() => this.planPump(), LOADING_REST_MS);
    }
    if (end.kind !== 'failed-answer') return;
    entry.failedAnswers += 1;
    if (entry.failedAnswers >= Math.max(1, route.mostAttempts)) {
      job.finish(entry, jobs.ResultState.Terminated);
    }
  }

  private async score(job: ownedJobs.OwnedJob, entry: progress.ItemProgress): Promise<void> {
    entry.phase = progress.ItemPhase.Scoring;
    entry.isTextWhole = true;
    const mostAttempts = this.findRoute(job)?.mostAttempts ?? 1;
    const end = await scoring.askScore(this.parts, job, entry, mostAttempts);
    if (!job.isOpen) return;
    if (end === 'scored') job.finish(entry, jobs.ResultState.Completed);
    if (end === 'failed') job.finish(entry, jobs.ResultState.Terminated);
  }

  /** Moves items away from replicas that are much slower than others, and starts what waits. */
  private review(): void {
    const { environment, directory } = this.parts;
    const nowMs = environment.nowMs();
    this.jobs.forEach((job) => {
      job.listItems(progress.ItemPhase.Running).forEach((entry) => {
        const known = directory.get(entry.replicaId ?? '');
        if (!known || entry.runEvents < JUDGED_EVENTS) return;
        if (!this.isSlow(known)) return;
        known.pace.avoid(nowMs);
        known.pace.reset();
        environment.log.change('item moved', {
          job: job.id,
          item: entry.item.id,
          replica: known.replica.id,
          events: entry.events.length,
        });
        environment.metrics.count('items_moved', { service: known.replica.service });
        entry.abort?.abort();
      });
    });
    this.planPump();
  }

  private isSlow(known: directories.KnownReplica): boolean {
    const { unitMs } = known.pace;
    if (unitMs === undefined) return false;
    const others = this.parts.directory
      .list(known.replica.service)
      .filter((other) => other !== known);
    const typicalMs = placement.findMedian(others.flatMap((other) => other.pace.unitMs ?? []));
    return typicalMs !== undefined && unitMs > typicalMs * SLOW_FACTOR;
  }
}
