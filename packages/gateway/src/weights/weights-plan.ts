/**
 * Which replicas are ordered to load which weights next.
 *
 * Load pattern: several models share the same engines and each gets a new version every few
 * seconds. An engine loads one model at a time and refuses requests for it meanwhile; loading gets
 * slower when many engines load. So a part of the engines loads at a time, and engines that serve
 * the least go first.
 */

/** A replica that is behind. */
export interface WeightsReplica {
  readonly id: string;
  /** The version that it holds by model, as far as is known. */
  readonly versions: ReadonlyMap<string, number>;
  /** Requests that it has. */
  readonly load: number;
  /** Whether an order to it is under way. */
  readonly isLoading: boolean;
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
const LOADING_SHARE = 0.28;
/** Replicas that may load at the same time however few there are. */
const FEWEST_AT_ONCE = 2;

/** The orders to give now. */
export function planOrders(
  replicas: readonly WeightsReplica[],
  named: readonly NamedWeights[],
): PlannedOrder[] {
  const most = Math.max(FEWEST_AT_ONCE, Math.floor(replicas.length * LOADING_SHARE));
  const loading = replicas.filter((replica) => replica.isLoading).length;
  const idle = replicas
    .filter((replica) => !replica.isLoading)
    .sort((first, second) => first.load - second.load);
  const orders: PlannedOrder[] = [];
  idle.forEach((replica) => {
    if (loading + orders.length >= most) return;
    const behind = named
      .map((weights) => ({ ...weights, lag: measureLag(replica, weights) }))
      .filter((weights) => weights.lag > 0)
      .sort((first, second) => second.lag - first.lag);
    const [worst] = behind;
    if (!worst) return;
    orders.push({ replicaId: replica.id, model: worst.model, version: worst.version });
  });
  return orders;
}

/** How many versions a replica is behind; 0 when it holds the version or does not serve the model. */
function measureLag(replica: WeightsReplica, weights: NamedWeights): number {
  const held = replica.versions.get(weights.model);
  return held === undefined ? 0 : Math.max(0, weights.version - held);
}
