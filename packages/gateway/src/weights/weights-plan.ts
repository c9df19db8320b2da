/**
 * Plans which replicas are ordered to load which weights next.
 *
 * Load pattern: several models share the same engines, and each gets a new version every few
 * seconds, faster than all engines could load all versions. A step accepts the latest version and
 * the one before it, so a replica that loads every other version can serve every step of a model.
 * Each version is therefore loaded by only a part of the replicas, starting with those whose
 * version is too old for the step: no capacity is lost while they load. The others still serve the
 * step that is starting, and load the next version.
 */

/** A replica of an engine service. */
export interface WeightsReplica {
  readonly id: string;
  /** Loaded version by model, as far as is known. */
  readonly versions: ReadonlyMap<string, number>;
  /** Its running and queued requests. */
  readonly load: number;
  /** The version that it is loading. */
  readonly loading: ModelVersion | undefined;
}

/** A version of a model's weights. */
export interface ModelVersion {
  readonly model: string;
  readonly version: number;
}

/** An order to be sent to a replica. */
export interface PlannedOrder extends ModelVersion {
  readonly replicaId: string;
}

/** Share of the replicas that may load at the same time; more would slow the loads down. */
const MAXIMUM_LOADING_SHARE = 0.3;
/** Replicas that may load at the same time regardless of `MAXIMUM_LOADING_SHARE`. */
const MINIMUM_PARALLEL_LOADS = 2;
/** Steps accept versions up to this many behind the desired one. */
const ACCEPTED_VERSION_LAG = 1;

interface Demand extends ModelVersion {
  /** Replicas that still have to load the version. */
  readonly missing: number;
  /** Replicas that can serve the step that starts with the version. */
  readonly serving: number;
}

/** Returns the orders to send now. */
export function planOrders(
  replicas: readonly WeightsReplica[],
  desired: readonly ModelVersion[],
): PlannedOrder[] {
  const maximumLoads = Math.max(
    MINIMUM_PARALLEL_LOADS,
    Math.floor(replicas.length * MAXIMUM_LOADING_SHARE),
  );
  let remainingLoads = maximumLoads - replicas.filter((replica) => replica.loading).length;
  const replicasPerModel = countReplicasPerModel(replicas.length, desired.length);
  const idle = new Set(replicas.filter((replica) => !replica.loading));
  const demands = desired
    .map((weights) => measureDemand(replicas, weights, replicasPerModel))
    .filter((demand) => demand.missing > 0)
    .sort((first, second) => first.serving - second.serving || first.missing - second.missing);
  const orders: PlannedOrder[] = [];
  demands.forEach((demand) => {
    const outdated = [...idle].filter((replica) => {
      const lag = getVersionLag(replica, demand);
      return lag > 0 && lag < Infinity;
    });
    outdated.sort(
      (first, second) =>
        rankUsability(first, demand) - rankUsability(second, demand) ||
        countUsableModels(first, desired) - countUsableModels(second, desired) ||
        first.load - second.load,
    );
    outdated.slice(0, Math.max(0, Math.min(remainingLoads, demand.missing))).forEach((replica) => {
      orders.push({ replicaId: replica.id, model: demand.model, version: demand.version });
      idle.delete(replica);
      remainingLoads -= 1;
    });
  });
  return orders;
}

/** Number of replicas that load each version: the replicas are divided equally among the models. */
function countReplicasPerModel(replicas: number, models: number): number {
  return models === 0 ? 0 : Math.ceil(replicas / models);
}

function measureDemand(
  replicas: readonly WeightsReplica[],
  weights: ModelVersion,
  replicasPerModel: number,
): Demand {
  const upToDate = replicas.filter(
    (replica) => getVersionLag(replica, weights) === 0 || isLoading(replica, weights),
  );
  const serving = replicas.filter(
    (replica) => getVersionLag(replica, weights) <= ACCEPTED_VERSION_LAG,
  );
  return { ...weights, missing: replicasPerModel - upToDate.length, serving: serving.length };
}

function isLoading(replica: WeightsReplica, weights: ModelVersion): boolean {
  return replica.loading?.model === weights.model && replica.loading.version >= weights.version;
}

/** 0 for a replica whose version no step of the model accepts, 1 for others. */
function rankUsability(replica: WeightsReplica, weights: ModelVersion): number {
  return getVersionLag(replica, weights) > ACCEPTED_VERSION_LAG ? 0 : 1;
}

/** Number of models of which a replica has a version that steps accept. */
function countUsableModels(replica: WeightsReplica, desired: readonly ModelVersion[]): number {
  return desired.filter((weights) => getVersionLag(replica, weights) <= ACCEPTED_VERSION_LAG)
    .length;
}

/** How many versions a replica is behind; Infinity when it does not serve the model. */
function getVersionLag(replica: WeightsReplica, weights: ModelVersion): number {
  const loaded = replica.versions.get(weights.model);
  return loaded === undefined ? Infinity : Math.max(0, weights.version - loaded);
}
