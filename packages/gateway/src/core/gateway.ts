/**
 * The gateway as a whole: wires its tasks together and handles callers' requests.
 */
import * as decisions from '@azureworks/decisions';
import * as intake from '@azureworks/intake';
import * as runtime from '@azureworks/runtime';
import * as activeConfigurations from '../configuration/active-configuration';
import * as jobRecords from '../jobs/job-record';
import * as jobRunners from '../jobs/job-runner';
import * as jobServices from '../jobs/job-service';
import type * as resultReaders from '../jobs/result-reader';
import * as jobStores from '../jobs/job-store';
import * as takeoverTasks from '../jobs/takeover-task';
import * as meterings from '../duties/metering';
import * as membershipTasks from '../membership/membership-task';
import * as evidenceRows from '../quarantine/evidence-rows';
import * as sharedQuarantines from '../quarantine/shared-quarantine';
import * as trialRows from '../quarantine/trial-rows';
import * as limitRows from '../limits/limit-rows';
import type * as permitIssuers from '../limits/permit-issuer';
import type * as permits from '../limits/permit';
import * as sharedLimits from '../limits/shared-limits';
import * as directories from '../replicas/directory';
import * as observedClients from '../replicas/observed-client';
import * as authorisers from '../organisations/authoriser';
import * as confirmations from '../organisations/confirmation';
import * as forwarders from '../requests/forwarder';
import * as jobCalls from '../requests/job-call';
import * as plannedStops from '../requests/planned-stop';
import * as routedStores from '../store/routed-store';
import * as softwareHistories from '../streams/software-history';
import * as streamOrigins from '../streams/stream-origins';
import * as tableWatches from '../store/table-watch';
import * as answers from '../jobs/answer';
import type * as jobs from '../types/batch-job';
import * as configurations from '../types/configuration';
import type * as environments from '../types/environment';
import type * as exchanges from '../types/exchange';
import type * as organisations from '../types/organisation';
import type * as replicas from '../types/replica';
import * as weightsTasks from '../weights/weights-task';
import * as errorGuards from './error-guard';

/** Options of a gateway, among them everything that knows the platform's formats and calls. */
export interface GatewayOptions {
  readonly environment: environments.Environment;
  readonly failureDomains: readonly string[];
  /** Addresses of possible peers, for when the store cannot be reached. */
  readonly seeds: readonly string[];
  readonly directStore: routedStores.ConnectedStore;
  readonly connectRelay: (address: string) => routedStores.ConnectedStore;
  readonly replicaClient: replicas.ReplicaClient;
  readonly peers: resultReaders.Peers & permits.PermitPeers;
  readonly tables: { readonly operator: string; readonly replicas: string };
  readonly decodeOperatorRow: activeConfigurations.DecodeOperatorRow;
  readonly decodeReplica: directories.DecodeReplica;
  /** Decodes a submitted batch job; returns an error text when it is invalid. */
  readonly decodeJob: (request: exchanges.CallerRequest) => Promise<jobs.SubmittedJob | string>;
  /** Lower-case names of the headers that identify a caller. */
  readonly callerHeaders: readonly string[];
  readonly leaseMs: number;
  /** Within which a key that was taken away must be out of force; undefined: it may stay in force. */
  readonly revocationMs?: number | undefined;
  /** How long a batch job can be read after its submission, in milliseconds. */
  readonly jobRetentionMs: number;
  /** Undefined where the deployment reports no usage. */
  readonly metering?: meterings.MeteringSettings | undefined;
  /** Second attempts at slow requests within a budget; undefined: after a fixed delay, without one. */
  readonly extraAttempts?: decisions.ExtraAttemptSettings | undefined;
}

/** A request's reply: an answer, a failure, a stream that ended, or the acceptance of a batch job. */
export type GatewayReply =
  | exchanges.Reply
  | { readonly kind: 'accepted' }
  | { readonly kind: 'streamed'; readonly isWhole: boolean };

/**
 * Memory that a batch job takes while it is decoded and stored, besides its body: copies of its text, up to
 * those of its largest item and of one transaction.
 */
const DECODING_COPIES = 4;
const MAXIMUM_DECODING_BYTES = 24 * 1024 * 1024;

/** How long a request on an application's route waits to learn whether its host has a job of that id. */
const JOB_CHECK_MS = 250;

/** One gateway. */
export class Gateway {
  readonly jobs: jobServices.JobService;

  readonly configuration: activeConfigurations.ActiveConfiguration;

  /** Answers other gateways that ask for permits. */
  readonly permitIssuer: permitIssuers.PermitIssuer;

  private readonly store: routedStores.RoutedStore;

  private readonly authoriser: authorisers.Authoriser;

  private readonly plannedStop: plannedStops.PlannedStop;

  private readonly forwarder: forwarders.Forwarder;

  private readonly softwareHistory: softwareHistories.SoftwareHistory;

  private readonly members: membershipTasks.MembershipTask;

  private readonly takeover: takeoverTasks.TakeoverTask;

  private readonly supervisor: runtime.Supervisor;

  private readonly jobHosts = jobCalls.JobHosts.create();

  private seeds: readonly string[];

  private isStopping = false;

  private constructor(private readonly options: GatewayOptions) {
    const { environment } = options;
    const { log, metrics, nowMs } = environment;
    this.seeds = options.seeds;
    this.plannedStop = plannedStops.PlannedStop.create(nowMs);
    this.store = routedStores.RoutedStore.create({
      direct: options.directStore,
      relays: { listRelays: () => this.listRelays() },
      connect: options.connectRelay,
      log,
      metrics,
      nowMs,
    });
    this.configuration = activeConfigurations.ActiveConfiguration.create(
      environment,
      options.decodeOperatorRow,
    );
    const directory = directories.ReplicaDirectory.create({
      environment,
      decode: options.decodeReplica,
      isStoreStable: () => this.store.isStable,
    });
    const { configuration } = this;
    const metering = options.metering && this.createMetering(options.metering);
    const memberErrors = errorGuards.ErrorGuard.create(environment, 'changes of the members');
    this.members = membershipTasks.MembershipTask.create({
      environment,
      store: this.store,
      failureDomains: options.failureDomains,
      ...(metering && { getClockOffsetMs: () => metering.clockOffsetMs }),
      onChange: () => {
        memberErrors.run(() => this.permitIssuer.onMembersChanged());
        memberErrors.run(() => this.softwareHistory.onMembersChanged());
        this.takeover.search();
      },
      onTermBegan: () => this.takeover.compareOwn(),
    });
    const limits = sharedLimits.createSharedLimits({
      environment,
      store: this.store,
      directory,
      members: this.members,
      peers: options.peers,
    });
    this.permitIssuer = limits.issuer;
    const replicaClient = observedClients.ObservedReplicaClient.create(
      options.replicaClient,
      {
        onSignals: (replica, { rateLimit, isLeaving }, sentMs) => {
          limits.limits.record(replica, rateLimit, sentMs);
          if (isLeaving) directory.recordLeaving(replica, sentMs);
        },
      },
      nowMs,
      errorGuards.ErrorGuard.create(environment, 'replica calls'),
    );
    const quarantine = sharedQuarantines.createSharedQuarantine({
      ...options,
      replicaClient,
      store: this.store,
      directory,
      listWorkers: () => this.members.listWorkers(),
    });
    const listWorkers = (): ReturnType<membershipTasks.MembershipTask['listWorkers']> =>
      this.members.listWorkers();
    const countGateways = (): number => this.members.listPeers().length + 1;
    const replicaWatch = tableWatches.TableWatch.create({
      store: this.store,
      table: options.tables.replicas,
      observer: tableWatches.combineObservers([
        directory,
        { onSnapshot: () => this.softwareHistory.onFullRead(), onChanges: () => {} },
      ]),
      log,
      nowMs,
      pause: environment.pause,
      countGateways,
    });
    const confirmation = confirmations.ConfigurationConfirmation.create(
      environment,
      options.revocationMs,
    );
    const operatorWatch = tableWatches.TableWatch.create({
      store: this.store,
      table: options.tables.operator,
      observer: configuration,
      log,
      nowMs,
      metrics,
      pause: environment.pause,
      countGateways,
      confirmation: {
        begin: () => confirmation.begin(),
        get maximumWaitMs() {
          return configuration.current?.keyRing ? confirmation.maximumWaitMs : undefined;
        },
      },
    });
    this.authoriser = authorisers.Authoriser.create({
      environment,
      configuration,
      confirmation,
      catchUp: () => operatorWatch.catchUp(),
    });
    this.softwareHistory = softwareHistories.SoftwareHistory.create({
      environment,
      store: this.store,
      listWorkers,
      catchUp: () => replicaWatch.catchUp(),
      getReadIntervalMs: () => tableWatches.chooseCatchUpIntervalMs(countGateways()),
    });
    const origins = streamOrigins.StreamOrigins.create({
      environment,
      store: this.store,
      history: this.softwareHistory,
      listWorkers,
    });
    this.softwareHistory.subscribe((service) => origins.onMixed(service));
    directory.subscribe(this.softwareHistory);
    this.forwarder = forwarders.Forwarder.create({
      environment,
      configuration,
      directory,
      replicaClient,
      quarantine: quarantine.requests,
      permits: limits.requester,
      origins,
      plannedStop: this.plannedStop,
      metering,
      extraAttempts: options.extraAttempts,
    });
    const jobStore = jobStores.JobStore.create(environment, this.store);
    const runner = jobRunners.JobRunner.create({
      environment,
      configuration,
      directory,
      caller: replicaClient,
      forwarder: this.forwarder,
      permits: limits.requester,
      storeNowMs: () => this.store.nowMs,
    });
    this.jobs = jobServices.JobService.create({
      environment,
      store: jobStore,
      runner,
      listWorkers: () => this.members.listWorkers(),
      peers: options.peers,
      jobRetentionMs: options.jobRetentionMs,
      onNotStarted: () => this.takeover.search(),
    });
    this.takeover = takeoverTasks.TakeoverTask.create({
      environment,
      store: jobStore,
      service: this.jobs,
      members: this.members,
    });
    const weights = weightsTasks.WeightsTask.create({
      environment,
      store: this.store,
      configuration,
      directory,
      replicaClient,
      leaseMs: options.leaseMs,
      countGateways: () => this.members.listWorkers().length,
    });
    configuration.subscribe({
      onConfigurationChanged: ({ keyRing, routes }) => {
        this.jobHosts.add(routes);
        runner.scheduleDispatch();
        if (keyRing) metrics.gauge('configuration_age_ms', {}, () => confirmation.ageMs);
      },
      onDesiredVersionChanged: () => weights.planOrders(),
    });
    directory.subscribe({
      onReplicaChanged: () => {
        runner.scheduleDispatch();
        weights.planOrders();
      },
      onReplicaLeaving: (tracked) => replicaClient.closeConnections(tracked.replica),
      onReplicaRemoved: (tracked) => replicaClient.closeConnections(tracked.replica),
    });
    const watch = (
      table: string,
      observer: tableWatches.TableObserver,
      partitions?: readonly string[],
    ): runtime.Task =>
      tableWatches.TableWatch.create({
        store: this.store,
        table,
        ...(partitions && { partitions }),
        observer,
        log,
        nowMs,
        metrics,
        pause: environment.pause,
        countGateways,
      });
    const tasks = [
      operatorWatch,
      replicaWatch,
      watch(
        jobRecords.NOTICES_TABLE,
        tableWatches.combineObservers([
          limits.task,
          this.takeover,
          quarantine.evidenceTask,
          quarantine.trialTask,
        ]),
        [
          limitRows.RATE_LIMIT_PARTITION,
          evidenceRows.EVIDENCE_PARTITION,
          trialRows.TRIAL_PARTITION,
        ],
      ),
      this.members,
      this.takeover,
      quarantine.evidenceTask,
      quarantine.trialTask,
      limits.task,
      this.softwareHistory,
      origins,
      weights,
      ...(metering?.tasks ?? []),
    ];
    this.supervisor = runtime.Supervisor.create('gateway', tasks, log);
  }

  static create(options: GatewayOptions): Gateway {
    return new Gateway(options);
  }

  /** Whether callers should be sent to this gateway. */
  get isReady(): boolean {
    const hasConfiguration = this.configuration.current !== undefined;
    return !this.isStopping && hasConfiguration && this.authoriser.isAble;
  }

  start(): Promise<void> {
    return this.supervisor.start();
  }

  /** When callers get their final answers; infinite while the gateway does not stop. */
  get lastAnswerAtMs(): number {
    return this.plannedStop.lastAnswerAtMs;
  }

  /**
   * Announces the stop: other gateways assign no new work, waiting readers are answered, and requests
   * that cannot be answered in time are refused.
   * @param gracePeriodMs how long the process may take to stop
   */
  prepareStop(gracePeriodMs: number): void {
    this.isStopping = true;
    this.plannedStop.begin(gracePeriodMs);
    this.jobs.prepareStop();
    this.members.announceStop();
  }

  /** Releases the jobs so that other gateways continue them; requests are still answered. */
  releaseJobs(): Promise<void> {
    return this.jobs.releaseAll();
  }

  /** Stops all tasks. */
  async stop(): Promise<void> {
    this.plannedStop.complete();
    await this.supervisor.stop();
    this.store.close();
  }

  /** Handles a request on the route for its host and path. */
  async handle(
    caller: exchanges.CallerRequest,
    replyStream: exchanges.ReplyStream,
  ): Promise<GatewayReply> {
    const { routeTable } = this.configuration;
    if (!routeTable) return this.refuse(caller, 'no-configuration', 'nothing was read yet');
    const route = routeTable.find(caller.request.host, caller.path);
    if (!route) return this.refuse(caller, 'unknown-route', `${caller.request.host}${caller.path}`);
    const outcome = await this.authoriser.authorise(caller.key, route);
    if (!outcome.isOk) return this.refuseKey(caller, outcome.failure);
    return this.handleAuthorised(
      ...this.identify(caller, route, outcome.authorisation),
      replyStream,
    );
  }

  /** Whether a call on a path that names a batch job is about that job, and no request on a route. */
  async isJobCall({ request, path }: exchanges.CallerRequest, jobId: string): Promise<boolean> {
    const { id: attemptId, host } = request;
    const hasAttemptId = attemptId !== '';
    const subject = jobCalls.classifyCall({
      route: this.configuration.routeTable?.find(host, path),
      hasAttemptId,
      hasJobs: this.jobHosts.has(host),
    });
    if (subject !== jobCalls.CallSubject.Unclear) return subject === jobCalls.CallSubject.Job;
    const check = this.jobs.isOfHost(jobId, host);
    const limit = this.options.environment.pause(JOB_CHECK_MS).then(() => undefined);
    return (await Promise.race([check, limit])) ?? !hasAttemptId;
  }

  /** Authorises a call about a batch job; the name is that of the organisation that it is made for. */
  async authoriseJobCall(key: string | undefined): Promise<answers.Answer<string | undefined>> {
    // Without a configuration it is not known whether jobs belong to organisations.
    if (!this.configuration.current) return answers.fail('no-configuration');
    const outcome = await this.authoriser.authoriseJobCall(key);
    if (!outcome.isOk) return outcome;
    return { isOk: true, value: outcome.authorisation?.organisation.name };
  }

  /** The request and the route as they are for an organisation; the key goes no further. */
  private identify(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
    authorisation: organisations.Authorisation | undefined,
  ): [exchanges.CallerRequest, configurations.Route] {
    if (!this.configuration.current?.keyRing) return [caller, route];
    const name = authorisation?.organisation.name;
    const organisation = this.configuration.identifyOrganisation(name);
    const request = { ...caller.request, organisation };
    return [
      { ...caller, request, key: undefined, authorisation },
      { ...route, priority: authorisation?.organisation.priority ?? route.priority },
    ];
  }

  private createMetering(settings: meterings.MeteringSettings): meterings.Metering {
    const { environment, leaseMs } = this.options;
    return meterings.Metering.create({
      environment,
      store: this.store,
      leaseMs,
      settings,
      members: () => this.members,
    });
  }

  private handleAuthorised(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
    replyStream: exchanges.ReplyStream,
  ): Promise<GatewayReply> {
    if (route.kind === configurations.RouteKind.Streaming) {
      return this.forwarder.forwardStream(caller, route, replyStream);
    }
    if (route.kind !== configurations.RouteKind.Rollout) {
      return this.forwarder.forward(caller, route);
    }
    return this.submit(caller);
  }

  /** Accepts a batch job; the memory that its decoding takes is returned once it is stored. */
  private async submit(caller: exchanges.CallerRequest): Promise<GatewayReply> {
    const { memory } = this.options.environment;
    const reservation = memory.tryTake(
      Math.min(MAXIMUM_DECODING_BYTES, caller.request.body.length * DECODING_COPIES),
    );
    if (!reservation) return this.refuse(caller, 'memory-exhausted', 'a batch job');
    try {
      const job = await this.options.decodeJob(caller);
      if (typeof job === 'string') return this.refuse(caller, 'invalid-request', job);
      const organisation = caller.authorisation?.organisation.name;
      const answer = await this.jobs.submit({ ...job, organisation });
      return answer.isOk ? { kind: 'accepted' } : { kind: 'failure', failure: answer.failure };
    } finally {
      reservation.release();
    }
  }

  private refuseKey(caller: exchanges.CallerRequest, failure: decisions.Failure): GatewayReply {
    const { environment } = this.options;
    environment.metrics.count('refusals', { code: failure.code });
    environment.log.info('request refused', {
      request: caller.request.id,
      code: failure.code,
      detail: failure.message,
      configuration: this.configuration.current?.version,
    });
    return { kind: 'failure', failure };
  }

  private refuse(
    caller: exchanges.CallerRequest,
    code: decisions.ErrorCode,
    detail: string,
  ): GatewayReply {
    const { environment } = this.options;
    environment.metrics.count('refusals', { code });
    environment.log.info('request refused', {
      request: caller.request.id,
      code,
      detail,
      configuration: this.configuration.current?.version,
    });
    const retryAfterMs = code === 'memory-exhausted' ? intake.MEMORY_RETRY_AFTER_MS : undefined;
    const failure = decisions.createFailure(code, {
      detail,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    });
    return { kind: 'failure', failure };
  }

  /** Replaces the addresses of possible peers. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  private listRelays(): string[] {
    const { environment } = this.options;
    const peers = this.members.listPeers();
    const localPeers = peers.filter((peer) => peer.failureDomain === environment.failureDomain);
    const remotePeers = peers.filter((peer) => peer.failureDomain !== environment.failureDomain);
    const ordered = [
      ...shuffle(localPeers, environment.random),
      ...shuffle(remotePeers, environment.random),
    ];
    const addresses = ordered.map((peer) => peer.address);
    const others = this.seeds.filter((seed) => seed !== environment.peerAddress);
    return [...addresses, ...others.filter((seed) => !addresses.includes(seed))];
  }
}

function shuffle<Value>(values: readonly Value[], random: () => number): Value[] {
  return values
    .map((value) => ({ value, rank: random() }))
    .sort((first, second) => first.rank - second.rank)
    .map(({ value }) => value);
}
