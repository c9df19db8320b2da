/**
 * Puts the tasks of an entry together, layer by layer: what everything shares, who is there, how
 * requests are served, how samples are made.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as storage from '@azureworks/storage';
import * as runtime from '@azureworks/runtime';
import * as httpTask from '../core/http-task';
import * as tls from '../core/tls';
import * as groupExecutor from '../rollout/group-executor';
import * as rolloutTask from '../rollout/rollout-task';
import * as weightsTask from '../rollout/weights-task';
import * as admissions from './admission';
import * as stores from './configuration-store';
import * as configurationTask from './configuration-task';
import * as directories from './directory';
import * as dispatchers from './dispatcher';
import * as knowledges from './knowledge';
import * as linksTask from './links-task';
import * as membershipTask from './membership-task';
import * as settlements from './settlement';

const RETRY_RESERVE = 50;

/** Who this entry is, for all parts. */
export interface Identity {
  readonly settings: configuration.Settings;
  readonly credentials: links.CredentialSource;
  readonly incarnation: number;
  readonly log: runtime.Log;
}

/** What all parts share. */
export type Foundation = ReturnType<typeof createFoundation>;

/** The tasks that know the configuration and the other daemons. */
export type Membership = ReturnType<typeof createMembership>;

/** The parts that serve requests. */
export type Serving = ReturnType<typeof createServing>;

/** Makes what all parts share. */
export function createFoundation({ settings }: Identity) {
  const { daemon } = settings;
  const platform = storage.Storage.create(settings.platform.url, settings.platform.timeout_ms);
  return {
    clock: decisions.MonotonicClock.create(),
    random: decisions.SeededRandom.createUnseeded(),
    metrics: runtime.Metrics.create(),
    platform,
    http: httpTask.HttpTask.create(daemon.address, daemon.http_port, daemon.drain_timeout_ms),
    store: stores.ConfigurationStore.create(platform.tables),
    knowledge: knowledges.Knowledge.create(),
  };
}

/** Makes the tasks that know the configuration and the other entries. */
export function createMembership(identity: Identity, foundation: Foundation) {
  const { settings, credentials, incarnation, log } = identity;
  const { daemon } = settings;
  const configurationOwner = configurationTask.ConfigurationTask.create({
    ...foundation,
    name: daemon.name,
    log,
  });
  const membership = membershipTask.MembershipTask.create({
    ...foundation,
    self: {
      name: daemon.name,
      address: daemon.address,
      failureDomain: daemon.failure_domain,
      region: daemon.region,
      incarnation,
    },
    controlPort: daemon.control_port,
    credentials,
    vms: foundation.platform.vms,
    configuration: configurationOwner,
    log,
    readHttpPort: () => foundation.http.listeningPort,
  });
  configurationOwner.setSpreader(membership);
  return { configuration: configurationOwner, membership };
}

/** Makes the parts that route requests to targets. */
export function createServing(
  identity: Identity,
  foundation: Foundation,
  { configuration: configurationOwner, membership }: Membership,
) {
  const { settings, credentials, incarnation, log } = identity;
  const { name, failure_domain: failureDomain } = settings.daemon;
  const { clock, metrics: sharedMetrics, platform } = foundation;
  const readKeys = tls.createKeyReader(settings);
  const directory = directories.Directory.create(failureDomain, createPolicies(), clock, readKeys);
  const linkTask = linksTask.LinksTask.create({
    ...foundation,
    self: { name, failureDomain },
    incarnation,
    credentials,
    configuration: configurationOwner,
    membership,
    directory,
    log,
  });
  const admission = admissions.Admission.create(directory, clock, sharedMetrics);
  const { limits } = configurationOwner.current.configuration;
  const retryBudget = decisions.RetryBudget.create(limits.retry_share, RETRY_RESERVE);
  const context = {
    directory,
    metrics: sharedMetrics,
    clock,
    retryBudget,
    settler: settlements.Settler.create(readKeys),
    entryId: `${name}-${incarnation}`,
  };
  const dispatcher = dispatchers.Dispatcher.create(context, admission, platform.tables);
  configurationOwner.changes.subscribe(({ configuration: current }) => {
    applyConfiguration(current, directory, retryBudget);
  });
  return { directory, links: linkTask, admission, dispatcher };
}

/** Makes the tasks that make samples and order weights. */
export function createRollout(
  identity: Identity,
  foundation: Foundation,
  { configuration: configurationOwner, membership }: Membership,
  { directory, dispatcher }: Serving,
) {
  const { settings, incarnation, log } = identity;
  const { name } = settings.daemon;
  const { platform } = foundation;
  const shared = { ...foundation, configuration: configurationOwner, name, log };
  const executor = groupExecutor.GroupExecutor.create({
    ...shared,
    dispatcher,
    objects: platform.objects,
  });
  membership.setGroupRunner(executor);
  const rollout = rolloutTask.RolloutTask.create({
    ...shared,
    directory,
    executor,
    placement: membership,
    objects: platform.objects,
  });
  const weights = weightsTask.WeightsTask.create({
    ...shared,
    holder: `${name}-${incarnation}`,
    tables: platform.tables,
    listServingNames: () => membership.listServingNames(),
  });
  return { executor, rollout, weights };
}

/** Brings a new revision into force in the parts that keep a copy of what they need. */
function applyConfiguration(
  current: configuration.Configuration,
  directory: directories.Directory,
  retryBudget: decisions.RetryBudget,
): void {
  current.engines.forEach((engine, name) => {
    directory.setCapacity(name, engine.capacity);
    directory.setRouting(name, engine.routing);
  });
  current.services.forEach((plain, name) => directory.setCapacity(name, plain.capacity));
  retryBudget.setShare(current.limits.retry_share);
}

function createPolicies(): directories.Policies {
  const policies = [
    decisions.AffinityPolicy.create(),
    decisions.LeastRequestsPolicy.create(),
    decisions.RoundRobinPolicy.create(),
  ];
  return Object.fromEntries(policies.map((policy) => [policy.name, policy]));
}
