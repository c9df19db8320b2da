/**
 * An entry daemon: the tree of tasks behind the platform's balancer, and its planned stop.
 */
import * as fs from 'node:fs';
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as platforms from '@azureworks/platform';
import type * as daemons from '../core/daemon';
import * as httpTask from '../core/http-task';
import type * as logs from '../core/log';
import * as metrics from '../core/metrics';
import * as observability from '../core/observability';
import * as supervisor from '../core/supervisor';
import * as tls from '../core/tls';
import * as groupExecutor from '../rollout/group-executor';
import * as rolloutTask from '../rollout/rollout-task';
import * as trainerApi from '../rollout/trainer-api';
import * as weightsTask from '../rollout/weights-task';
import * as admissions from './admission';
import type * as calls from './call';
import * as callerApi from './caller-api';
import * as stores from './configuration-store';
import * as configurationTask from './configuration-task';
import * as directories from './directory';
import * as dispatchers from './dispatcher';
import * as knowledges from './knowledge';
import * as linksTask from './links-task';
import * as membershipTask from './membership-task';
import * as operatorApi from './operator-api';
import * as settlements from './settlement';

/** How long the balancer is given to see that the entry is not ready. */
const LEAVING_NOTICE_MS = 300;

const RETRY_RESERVE = 50;

interface Parts {
  readonly settings: configuration.Settings;
  readonly http: httpTask.HttpTask;
  readonly membership: membershipTask.MembershipTask;
  readonly admission: admissions.Admission;
  readonly platform: platforms.Platform;
  readonly drain: { isDraining: boolean };
}

/** The daemon of one entry VM. */
export class EntryDaemon implements daemons.Daemon {
  private constructor(
    private readonly tree: supervisor.Supervisor,
    private readonly parts: Parts,
  ) {}

  static create(
    settings: configuration.Settings,
    credentials: links.CredentialSource,
    incarnation: number,
    log: logs.Log,
  ): EntryDaemon {
    const { daemon } = settings;
    const clock = decisions.MonotonicClock.create();
    const random = decisions.SeededRandom.createUnseeded();
    const sharedMetrics = metrics.Metrics.create();
    const platform = platforms.Platform.create(settings.platform.url, settings.platform.timeout_ms);
    const http = httpTask.HttpTask.create(
      daemon.address,
      daemon.http_port,
      daemon.drain_timeout_ms,
    );
    const store = stores.ConfigurationStore.create(platform.tables);
    const knowledge = knowledges.Knowledge.create();
    const configurationOwner = configurationTask.ConfigurationTask.create({
      name: daemon.name,
      store,
      metrics: sharedMetrics,
      log,
      clock,
      random,
    });
    const membership = membershipTask.MembershipTask.create({
      self: {
        name: daemon.name,
        address: daemon.address,
        failureDomain: daemon.failure_domain,
        region: daemon.region,
        incarnation,
      },
      controlPort: daemon.control_port,
      credentials,
      vms: platform.vms,
      configuration: configurationOwner,
      knowledge,
      metrics: sharedMetrics,
      log,
      clock,
      random,
      readHttpPort: () => http.listeningPort,
    });
    configurationOwner.setSpreader(membership);
    const policies = createPolicies();
    const readKeys = tls.createKeyReader(settings);
    const directory = directories.Directory.create(
      daemon.failure_domain,
      policies,
      clock,
      readKeys,
    );
    configurationOwner.changes.subscribe(({ configuration: current }) => {
      current.engines.forEach((engine, name) => {
        directory.setCapacity(name, engine.capacity);
        directory.setRouting(name, engine.routing);
      });
      current.services.forEach((plain, name) => directory.setCapacity(name, plain.capacity));
    });
    const linkTask = linksTask.LinksTask.create({
      self: { name: daemon.name, failureDomain: daemon.failure_domain },
      incarnation,
      credentials,
      configuration: configurationOwner,
      membership,
      directory,
      knowledge,
      metrics: sharedMetrics,
      log,
      clock,
    });
    const admission = admissions.Admission.create(directory, clock, sharedMetrics);
    const context: calls.CallContext = {
      directory,
      metrics: sharedMetrics,
      clock,
      random,
      retryBudget: decisions.RetryBudget.create(
        configurationOwner.current.configuration.limits.retry_share,
        RETRY_RESERVE,
      ),
      settler: settlements.Settler.create(readKeys),
      entryId: `${daemon.name}-${incarnation}`,
    };
    const dispatcher = dispatchers.Dispatcher.create(context, admission, platform.tables);
    const drain = { isDraining: false };
    const isDraining = (): boolean => drain.isDraining;
    callerApi.CallerApi.create({
      http,
      configuration: configurationOwner,
      dispatcher,
      clock,
      isDraining,
    });
    operatorApi.OperatorApi.create({
      http,
      configuration: configurationOwner,
      store,
      membership,
      directory,
      readToken: () => readToken(settings),
    });
    const executor = groupExecutor.GroupExecutor.create({
      configuration: configurationOwner,
      dispatcher,
      knowledge,
      objects: platform.objects,
      metrics: sharedMetrics,
      clock,
    });
    membership.setGroupRunner(executor);
    const rollout = rolloutTask.RolloutTask.create({
      name: daemon.name,
      configuration: configurationOwner,
      knowledge,
      directory,
      executor,
      placement: membership,
      objects: platform.objects,
      metrics: sharedMetrics,
      clock,
    });
    const weights = weightsTask.WeightsTask.create({
      holder: `${daemon.name}-${incarnation}`,
      name: daemon.name,
      configuration: configurationOwner,
      knowledge,
      tables: platform.tables,
      metrics: sharedMetrics,
      log,
      clock,
      listServingNames: () => membership.listServingNames(),
    });
    trainerApi.TrainerApi.create({
      http,
      configuration: configurationOwner,
      rollout,
      weights,
      isDraining,
    });
    observability.addObservability(
      http,
      sharedMetrics,
      () => configurationOwner.isConfirmed() && !drain.isDraining,
    );
    const tasks = [http, linkTask, membership, configurationOwner, executor, rollout, weights];
    const tree = supervisor.Supervisor.create('entry', tasks, log);
    return new EntryDaemon(tree, { settings, http, membership, admission, platform, drain });
  }

  async start(): Promise<daemons.Ports> {
    await this.tree.start();
    const { http, membership, admission } = this.parts;
    admission.start();
    return { httpPort: http.listeningPort, controlPort: membership.controlPort };
  }

  /** Leaves, refuses new work, finishes what is in flight and stops. */
  async stop(): Promise<void> {
    const { http, membership, admission, platform, drain } = this.parts;
    drain.isDraining = true;
    await membership.leave();
    await new Promise((resolve) => {
      setTimeout(resolve, LEAVING_NOTICE_MS);
    });
    await http.stop();
    admission.stop();
    await this.tree.stop();
    await platform.close();
  }
}

function createPolicies(): directories.Policies {
  const policies = [
    decisions.AffinityPolicy.create(),
    decisions.LeastRequestsPolicy.create(),
    decisions.RoundRobinPolicy.create(),
  ];
  return Object.fromEntries(policies.map((policy) => [policy.name, policy]));
}

/** The token is read whenever it is needed, so that a new one takes effect without a restart. */
function readToken(settings: configuration.Settings): string | undefined {
  const file = settings.operator.token_file;
  // eslint-disable-next-line n/no-sync -- a small local file, on operators' requests only
  return file === undefined ? undefined : fs.readFileSync(file, 'utf8').trim();
}
