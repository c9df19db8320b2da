/**
 * Rolling update of weights over the replicas of an engine service: limits the share of replicas that
 * load new weights, and are out of service, at the same time. Every entry ranks the replicas in the
 * same way, so entries need no coordination, and sending an order twice is harmless.
 */
import * as rendezvous from './rendezvous';

/** What the caller knows about the weights of a replica. */
export interface ReplicaWeights {
  readonly name: string;
  /** The version of the model that the replica has loaded; null or undefined when unknown. */
  readonly version: number | null | undefined;
  /** Milliseconds since the order was first sent to the replica; undefined when it was not sent. */
  readonly orderedAgoMs: number | undefined;
}

/** A replica that has not confirmed the load after this time no longer delays the others. */
const LOAD_TIMEOUT_MS = 8000;

/**
 * Returns the names of the replicas that may load `version` now, including those that already do.
 * Replicas that have timed out don't count against the limit.
 * @param share the share of replicas that may load at the same time, in (0, 1]
 */
export function chooseReplicasToLoad(
  replicas: readonly ReplicaWeights[],
  version: number,
  share: number,
): string[] {
  const maximumLoading = Math.max(1, Math.floor(replicas.length * share));
  const byName = new Map(replicas.map((replica) => [replica.name, replica]));
  const ranked = rendezvous.rankNodes(
    String(version),
    replicas.map((replica) => replica.name),
  );
  const pending = ranked.filter((name) => !hasLoaded(byName.get(name), version));
  const timedOut = pending.filter((name) => hasTimedOut(byName.get(name)));
  const remaining = pending.filter((name) => !timedOut.includes(name));
  return [...timedOut, ...remaining.slice(0, maximumLoading)];
}

function hasLoaded(replica: ReplicaWeights | undefined, version: number): boolean {
  return typeof replica?.version === 'number' && replica.version >= version;
}

function hasTimedOut(replica: ReplicaWeights | undefined): boolean {
  return (replica?.orderedAgoMs ?? 0) >= LOAD_TIMEOUT_MS;
}
