/**
 * Spreads a weight swap over the replicas of an engine service, so that at most a share of them is
 * out of service at the same time. Every entry computes the same order, so no coordination is
 * needed and an order that is sent twice does no harm.
 */
import * as rendezvous from './rendezvous';

/** What is known of a replica. */
export interface Replica {
  readonly name: string;
  /** The version that it holds of the model; null or undefined when unknown. */
  readonly version: number | null | undefined;
  /** Milliseconds since the order was first sent to it; undefined when it was not. */
  readonly orderedAgoMs: number | undefined;
}

/** A replica that has not confirmed after this long no longer holds the others up. */
const STUCK_AFTER_MS = 8000;

/**
 * The replicas that may begin to load now.
 * @param share the share of replicas that may load at the same time, in (0, 1]
 */
export function chooseLoading(
  replicas: readonly Replica[],
  version: number,
  share: number,
): string[] {
  const limit = Math.max(1, Math.floor(replicas.length * share));
  const byName = new Map(replicas.map((replica) => [replica.name, replica]));
  const ranked = rendezvous.rankNodes(
    String(version),
    replicas.map((replica) => replica.name),
  );
  const pending = ranked.filter((name) => !hasLoaded(byName.get(name), version));
  const stuck = pending.filter((name) => isStuck(byName.get(name)));
  const moving = pending.filter((name) => !stuck.includes(name));
  return [...stuck, ...moving.slice(0, limit)];
}

function hasLoaded(replica: Replica | undefined, version: number): boolean {
  return typeof replica?.version === 'number' && replica.version >= version;
}

function isStuck(replica: Replica | undefined): boolean {
  return (replica?.orderedAgoMs ?? 0) >= STUCK_AFTER_MS;
}
