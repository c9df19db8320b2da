/**
 * Which replicas are ordered to load which weights next.
 *
 * Load pattern: several models share the same engines and each gets a new version every few
 * seconds, faster than all engines could load all versions. A step accepts the version named last
 * and the one before, so a replica that loads every other version serves every step of a model.
 * Each version is therefore loaded by a part of the replicas only: first by those whose weights
 * are too old to be of any use for the model, which lose nothing while they load. The others still
 * serve the step that begins now, and load the next version in their turn.
 */

/** A replica of an engine service. */
export interface WeightsReplica {
  readonly id: string;
  /** The version that it holds by model, as far as is known. */
  readonly versions: ReadonlyMap<string, number>;
  /** Requests that it has. */
  readonly load: number;
  /** The weights that it loads now. */
  readonly loading: NamedWeights | undefined;
}

/** A model and the version that was named for it. */
export interface NamedWeights {
  readonly model: string;
  readonly version: number;
}

/** An order to give. */
export interface PlannedOrder extends NamedWeights {
  readonly replicaId: string;
}

/** Share of the replicas that may load at the same time before loading slows down. */
const LOADING_SHARE = 0.3;
/** Replicas that may load at the same time however few there are. */
const FEWEST_AT_ONCE = 2;
/** Steps accept this many versions before the one named last. */
const ACCEPTED_LAG = 1;

interface Need extends NamedWeights {
  /** Replicas that still have to load the version. */
  readonly missing: number;
  /** Replicas that can serve the step that begins with the version. */
  readonly serving: number;
}

/** The orders to give now. */
export function planOrders(
  replicas: readonly WeightsReplica[],
  named: readonly NamedWeights[],
): PlannedOrder[] {
  const most = Math.max(FEWEST_AT_ONCE, Math.floor(replicas.length * LOADING_SHARE));
  let room = most - replicas.filter((replica) => replica.loading).length;
  const share = countShare(replicas.length, named.length);
  const idle = new Set(replicas.filter((replica) => !replica.loading));
  const needs = named
    .map((weights) => measureNeed(replicas, weights, share))
    .filter((need) => need.missing > 0)
    .sort((first, second) => first.serving - second.serving || first.missing - second.missing);
  const orders: PlannedOrder[] = [];
  needs.forEach((need) => {
    const behind = [...idle].filter((replica) => {
      const lag = getLag(replica, need);
      return lag > 0 && lag < Infinity;
    });
    behind.sort(
      (first, second) =>
        rankUse(first, need) - rankUse(second, need) ||
        countCurrent(first, named) - countCurrent(second, named) ||
        first.load - second.load,
    );
    behind.slice(0, Math.max(0, Math.min(room, need.missing))).forEach((replica) => {
      orders.push({ replicaId: replica.id, model: need.model, version: need.version });
      idle.delete(replica);
      room -= 1;
    });
  });
  return orders;
}

/** How many replicas load each version: an equal share of the replicas for each model. */
function countShare(replicas: number, models: number): number {
  return models === 0 ? 0 : Math.ceil(replicas / models);
}

function measureNeed(
  replicas: readonly WeightsReplica[],
  weights: NamedWeights,
  share: number,
): Need {
  const holding = replicas.filter(
    (replica) => getLag(replica, weights) === 0 || isLoading(replica, weights),
  );
  const serving = replicas.filter((replica) => getLag(replica, weights) <= ACCEPTED_LAG);
  return { ...weights, missing: share - holding.length, serving: serving.length };
}

function isLoading(replica: WeightsReplica, weights: NamedWeights): boolean {
  return replica.loading?.model === weights.model && replica.loading.version >= weights.version;
}

/** 0 for a replica that is of no use for the model now, 1 for one that is. */
function rankUse(replica: WeightsReplica, weights: NamedWeights): number {
  return getLag(replica, weights) > ACCEPTED_LAG ? 0 : 1;
}

/** For how many models a replica holds weights that a step accepts. */
function countCurrent(replica: WeightsReplica, named: readonly NamedWeights[]): number {
  return named.filter((weights) => getLag(replica, weights) <= ACCEPTED_LAG).length;
}

/** How many versions a replica is behind; Infinity when it does not serve the model. */
function getLag(replica: WeightsReplica, weights: NamedWeights): number {
  const held = replica.versions.get(weights.model);
  return held === undefined ? Infinity : Math.max(0, weights.version - held);
}
