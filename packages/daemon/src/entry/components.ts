/**
 * Creates the components of an entry in the order of their dependencies: shared components,
 * membership and configuration, serving of requests, rollout.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as storage from '@azureworks/storage';
import * as runtime from '@azureworks/runtime';
import * as httpTask from '../core/http-task';
import * as resources from '../core/resources';
import * as tls from '../core/tls';
import * as groupExecutor from '../rollout/group-executor';
import * as rolloutTask from '../rollout/rollout-task';
import * as weightsTask from '../rollout/weights-task';
import * as admissions from './admission';
import * as stores from './configuration-store';
import * as configurationTasks from './configuration-task';
import * as directories from './target-directory';
import * as dispatchers from './dispatcher';
import * as gossipStates from './gossip-state';
import * as linksTask from './links-task';
import * as membershipTask from './membership-task';
import * as plannedStops from './planned-stop';
import * as settlements from './settlement';

const MAXIMUM_SAVED_RETRIES = 50;

/** Identity and settings of an entry. */
export interface EntryOptions {
  readonly settings: configuration.Settings;
  readonly credentials: links.CredentialSource;
  readonly incarnation: number;
  readonly log: runtime.Log;
}

/** Components that all others depend on. */
export type SharedComponents = ReturnType<typeof createSharedComponents>;

/** The tasks that track the configuration and the other entries. */
export type MembershipComponents = ReturnType<typeof createMembershipComponents>;

/** Components that route requests to targets. */
export type ServingComponents = ReturnType<typeof createServingComponents>;

export function createSharedComponents({ settings, log }: EntryOptions) {
  const { daemon } = settings;
  const sharedMetrics = runtime.Metrics.create();
  const platform = storage.Storage.create(settings.platform.url, settings.platform.timeout_ms);
  return {
    clock: decisions.MonotonicClock.create(),
    random: decisions.SeededRandom.createWithRandomSeed(),
    metrics: sharedMetrics,
    platform,
    http: httpTask.HttpTask.create({
      address: daemon.address,
      port: daemon.http_port,
      drainTimeoutMs: daemon.drain_timeout_ms,
      bodies: resources.createBodies(daemon, log, sharedMetrics),
    }),
    store: stores.ConfigurationStore.create(platform.tables),
    gossipState: gossipStates.GossipState.create(),
  };
}

export function createMembershipComponents(options: EntryOptions, shared: SharedComponents) {
  const { settings, credentials, incarnation, log } = options;
  const { daemon } = settings;
  const configurationTask = configurationTasks.ConfigurationTask.create({
    ...shared,
    name: daemon.name,
    log,
  });
  const membership = membershipTask.MembershipTask.create({
    ...shared,
    self: {
      name: daemon.name,
      address: daemon.address,
      failureDomain: daemon.failure_domain,
      region: daemon.region,
      incarnation,
    },
    controlPort: daemon.control_port,
    credentials,
    controlLimit: resources.createControlLimit(daemon, log, shared.metrics),
    vms: shared.platform.vms,
    configuration: configurationTask,
    log,
    readHttpPort: () => shared.http.listeningPort,
  });
  configurationTask.setPeers(membership);
  return { configuration: configurationTask, membership };
}

export function createServingComponents(
  options: EntryOptions,
  shared: SharedComponents,
  { configuration: configurationTask, membership }: MembershipComponents,
) {
  const { settings, credentials, incarnation, log } = options;
  const { name, failure_domain: failureDomain } = settings.daemon;
  const { clock, metrics: sharedMetrics, platform } = shared;
  const readKeys = tls.createKeyReader(settings);
  const directory = directories.TargetDirectory.create(
    failureDomain,
    createRoutingPolicies(),
    clock,
    readKeys,
  );
  const linkTask = linksTask.LinksTask.create({
    ...shared,
    self: { name, failureDomain },
    incarnation,
    credentials,
    configuration: configurationTask,
    membership,
    directory,
    log,
  });
  const stop = plannedStops.PlannedStop.create(clock);
  const admission = admissions.Admission.create(directory, clock, sharedMetrics, stop);
  const { limits } = configurationTask.current.configuration;
  const retryBudget = decisions.RetryBudget.create(limits.retry_share, MAXIMUM_SAVED_RETRIES);
  const context = {
    directory,
    metrics: sharedMetrics,
    clock,
    retryBudget,
    settler: settlements.Settler.create(readKeys),
    stop,
    entryId: `${name}-${incarnation}`,
  };
  const dispatcher = dispatchers.Dispatcher.create(context, admission, platform.tables);
  configurationTask.changes.subscribe(({ configuration: current }) => {
    applyConfiguration(current, directory, retryBudget);
  });
  return { directory, links: linkTask, admission, dispatcher, stop };
}

/** Creates the tasks that produce samples and order weights. */
export function createRolloutComponents(
  options: EntryOptions,
  shared: SharedComponents,
  { configuration: configurationTask, membership }: MembershipComponents,
  { directory, dispatcher }: ServingComponents,
) {
  const { settings, incarnation, log } = options;
  const { name } = settings.daemon;
  const { platform } = shared;
  const taskOptions = { ...shared, configuration: configurationTask, name, log };
  const executor = groupExecutor.GroupExecutor.create({
    ...taskOptions,
    dispatcher,
    objects: platform.objects,
  });
  membership.setGroupRunner(executor);
  const rollout = rolloutTask.RolloutTask.create({
    ...taskOptions,
    directory,
    executor,
    placement: membership,
    objects: platform.objects,
    memory: shared.http.bodies.memory,
  });
  const weights = weightsTask.WeightsTask.create({
    ...taskOptions,
    holder: `${name}-${incarnation}`,
    tables: platform.tables,
    listServingNames: () => membership.listServingNames(),
  });
  return { executor, rollout, weights };
}

/** Applies a new revision to the components that keep copies of its values. */
function applyConfiguration(
  current: configuration.Configuration,
  directory: directories.TargetDirectory,
  retryBudget: decisions.RetryBudget,
): void {
  current.engines.forEach((engine, name) => {
    directory.setCapacity(name, engine.capacity);
    directory.setRouting(name, engine.routing);
  });
  current.services.forEach((plainService, name) =>
    directory.setCapacity(name, plainService.capacity),
  );
  retryBudget.setShare(current.limits.retry_share);
}

function createRoutingPolicies(): directories.Policies {
  const policies = [
    decisions.AffinityPolicy.create(),
    decisions.LeastRequestsPolicy.create(),
    decisions.RoundRobinPolicy.create(),
  ];
  return Object.fromEntries(policies.map((policy) => [policy.name, policy]));
}
