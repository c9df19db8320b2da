/**
 * The gateway as a whole: its tasks, and what callers can ask of it.
 */
import * as decisions from '@azureworks/decisions';
import * as runtime from '@azureworks/runtime';
import * as configurationKeepers from '../configuration/configuration-keeper';
import * as jobRecords from '../jobs/job-record';
import * as jobRunners from '../jobs/job-runner';
import * as jobServices from '../jobs/job-service';
import type * as resultReaders from '../jobs/result-reader';
import * as jobStores from '../jobs/job-store';
import * as takeoverTasks from '../jobs/takeover-task';
import * as membershipTasks from '../membership/membership-task';
import * as directories from '../replicas/directory';
import * as forwarders from '../requests/forwarder';
import * as routedStores from '../store/routed-store';
import * as tableWatches from '../store/table-watch';
import type * as jobs from '../types/batch-job';
import * as configurations from '../types/configuration';
import type * as environments from '../types/environment';
import type * as exchanges from '../types/exchange';
import type * as replicas from '../types/replica';
import * as weightsTasks from '../weights/weights-task';

/** What a gateway is built from: everything that knows the platform's formats and calls. */
export interface GatewayParts {
  readonly environment: environments.Environment;
  readonly failureDomains: readonly string[];
  /** Addresses of peers that may be there when the store cannot be asked. */
  readonly seeds: readonly string[];
  readonly directStore: routedStores.ConnectedStore;
  readonly connectRelay: (address: string) => routedStores.ConnectedStore;
  readonly caller: replicas.ReplicaCaller;
  readonly peers: resultReaders.Peers;
  readonly tables: { readonly operator: string; readonly replicas: string };
  readonly decodeOperatorRow: configurationKeepers.DecodeOperatorRow;
  readonly decodeReplica: directories.DecodeReplica;
  /** Reads a submission; an error text when it is not one. */
  readonly decodeJob: (request: exchanges.CallerRequest) => jobs.BatchJob | string;
  readonly leaseMs: number;
  /** How long a batch job can be read after its submission, in milliseconds. */
  readonly keepJobsMs: number;
}

/** A request's reply: an answer, a failure, a stream that ended, or the acceptance of a batch job. */
export type GatewayReply =
  | exchanges.Reply
  | { readonly kind: 'accepted' }
  | { readonly kind: 'streamed'; readonly isWhole: boolean };

/** One gateway. */
export class Gateway {
  readonly jobs: jobServices.JobService;

  readonly configuration: configurationKeepers.ConfigurationKeeper;

  private readonly store: routedStores.RoutedStore;

  private readonly forwarder: forwarders.Forwarder;

  private readonly members: membershipTasks.MembershipTask;

  private readonly takeover: takeoverTasks.TakeoverTask;

  private readonly tree: runtime.Supervisor;

  private seeds: readonly string[];

  private isStopping = false;

  private constructor(private readonly parts: GatewayParts) {
    const { environment, caller } = parts;
    const { log, metrics, nowMs } = environment;
    this.seeds = parts.seeds;
    this.store = routedStores.RoutedStore.create({
      direct: parts.directStore,
      relays: { listRelays: () => this.listRelays() },
      connect: parts.connectRelay,
      log,
      metrics,
      nowMs,
    });
    this.configuration = configurationKeepers.ConfigurationKeeper.create(
      environment,
      parts.decodeOperatorRow,
    );
    const directory = directories.Directory.create({
      environment,
      decode: parts.decodeReplica,
      isStoreSteady: () => this.store.isSteady,
    });
    const { configuration } = this;
    this.forwarder = forwarders.Forwarder.create({ environment, configuration, directory, caller });
    const jobStore = jobStores.JobStore.create(environment, this.store);
    const runner = jobRunners.JobRunner.create({
      environment,
      configuration,
      directory,
      caller,
      forwarder: this.forwarder,
      storeNowMs: () => this.store.nowMs,
    });
    this.members = membershipTasks.MembershipTask.create({
      environment,
      store: this.store,
      failureDomains: parts.failureDomains,
      changed: () => this.takeover.search(),
    });
    this.jobs = jobServices.JobService.create({
      environment,
      store: jobStore,
      runner,
      isTrusted: () => this.members.isTrusted,
      listWorkers: () => this.members.listWorkers(),
      peers: parts.peers,
      keepMs: parts.keepJobsMs,
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
      caller,
      leaseMs: parts.leaseMs,
      countLive: () => this.members.listWorkers().length,
    });
    configuration.subscribe({
      configurationChanged: () => runner.planPump(),
      weightsNamed: () => weights.planOrders(),
    });
    directory.subscribe({
      replicaChanged: () => {
        runner.planPump();
        weights.planOrders();
      },
      replicaLeft: (known) => caller.forget(known.replica),
    });
    const watch = (table: string, observer: tableWatches.TableObserver): runtime.Task =>
      tableWatches.TableWatch.create({
        store: this.store,
        table,
        observer,
        log,
        pause: environment.pause,
        countMembers: () => this.members.listPeers().length + 1,
      });
    const tasks = [
      watch(parts.tables.operator, configuration),
      watch(parts.tables.replicas, directory),
      watch(jobRecords.NOTICES_TABLE, this.takeover),
      this.members,
      this.takeover,
      weights,
    ];
    this.tree = runtime.Supervisor.create('gateway', tasks, log);
  }

  static create(parts: GatewayParts): Gateway {
    return new Gateway(parts);
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    return !this.isStopping && this.configuration.current !== undefined;
  }

  start(): Promise<void> {
    return this.tree.start();
  }

  /** Announces the stop: no new work is wanted, and waiting readers are answered. */
  prepareStop(): void {
    this.isStopping = true;
    this.jobs.prepareStop();
    this.members.announceStop();
  }

  /** Gives the jobs back, so that others go on with them; requests are still answered. */
  release(): Promise<void> {
    return this.jobs.releaseAll();
  }

  /** Ends all tasks. */
  async stop(): Promise<void> {
    await this.tree.stop();
    this.store.close();
  }

  /** Handles a request that is for a route. */
  async handle(
    caller: exchanges.CallerRequest,
    replyStream: exchanges.ReplyStream,
  ): Promise<GatewayReply> {
    const { routeTable } = this.configuration;
    if (!routeTable) return this.fail(caller, 'no-configuration', 'nothing was read yet');
    const route = routeTable.find(caller.request.host, caller.path);
    if (!route) return this.fail(caller, 'unknown-route', `${caller.request.host}${caller.path}`);
    if (route.kind === configurations.RouteKind.Streaming) {
      return this.forwarder.forwardStream(caller, route, replyStream);
    }
    if (route.kind !== configurations.RouteKind.Rollout) {
      return this.forwarder.forward(caller, route);
    }
    const job = this.parts.decodeJob(caller);
    if (typeof job === 'string') return this.fail(caller, 'invalid-request', job);
    const answer = await this.jobs.submit(job);
    return answer.isOk ? { kind: 'accepted' } : { kind: 'failure', failure: answer.failure };
  }

  private fail(
    caller: exchanges.CallerRequest,
    code: decisions.ErrorCode,
    detail: string,
  ): GatewayReply {
    const { environment } = this.parts;
    environment.metrics.count('refusals', { code });
    environment.log.change('request refused', {
      request: caller.request.id,
      code,
      detail,
      configuration: this.configuration.current?.version,
    });
    return { kind: 'failure', failure: decisions.createFailure(code, { detail }) };
  }

  /** Takes over other addresses at which peers may be. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  private listRelays(): string[] {
    const { environment } = this.parts;
    const peers = this.members.listPeers();
    const near = peers.filter((peer) => peer.failureDomain === environment.failureDomain);
    const far = peers.filter((peer) => peer.failureDomain !== environment.failureDomain);
    const ordered = [...shuffle(near, environment.random), ...shuffle(far, environment.random)];
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
