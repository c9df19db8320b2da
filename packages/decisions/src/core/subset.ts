/**
 * Chooses the targets of a service that an entry connects to. Every entry connects to all targets of
 * a small service. In a large service, rendezvous hashing assigns entries to each target, preferring
 * the failure domain of the target, so that every target is connected to the same number of entries
 * however many there are.
 */
import * as hashing from '../utils/hash';

/** Up to this many targets, every entry connects to all targets of the service. */
const MAXIMUM_FULL_MESH_TARGETS = 64;

/** Entries that connect to each target of a large service. */
const ENTRIES_PER_TARGET = 3;

/** An entry or a target with its failure domain. */
export interface LocatedNode {
  readonly name: string;
  readonly failureDomain: string;
}

/** An entry with a hash of its name, computed once for all targets. */
interface HashedEntry extends LocatedNode {
  readonly nameHash: number;
}

/** The targets that `entry` should connect to. */
export function chooseSubset<T extends LocatedNode>(
  entry: LocatedNode,
  entries: readonly LocatedNode[],
  targets: readonly T[],
): T[] {
  if (targets.length <= MAXIMUM_FULL_MESH_TARGETS || entries.length <= ENTRIES_PER_TARGET) {
    return [...targets];
  }
  const hashedEntries = entries.map(hashEntry);
  return targets.filter((target) => chooseEntryNames(target, hashedEntries).includes(entry.name));
}

/** The names of the entries that connect to a target of a large service. */
export function chooseEntriesForTarget(
  target: LocatedNode,
  entries: readonly LocatedNode[],
): string[] {
  return chooseEntryNames(target, entries.map(hashEntry));
}

function hashEntry(entry: LocatedNode): HashedEntry {
  const { name, failureDomain } = entry;
  return { name, failureDomain, nameHash: hashing.hashText(name) };
}

function chooseEntryNames(target: LocatedNode, entries: readonly HashedEntry[]): string[] {
  const targetHash = hashing.hashText(target.name);
  const local = rankBestEntries(targetHash, entries, (entry) => isLocal(entry, target));
  const remote = rankBestEntries(targetHash, entries, (entry) => !isLocal(entry, target));
  // One entry in another failure domain keeps the target reachable when all local entries fail.
  const localChoice = local.slice(0, ENTRIES_PER_TARGET - 1);
  return [...localChoice, ...remote, ...local.slice(localChoice.length)].slice(
    0,
    ENTRIES_PER_TARGET,
  );
}

function isLocal(entry: LocatedNode, target: LocatedNode): boolean {
  return entry.failureDomain === target.failureDomain;
}

/** The names of the `ENTRIES_PER_TARGET` best-ranked eligible entries, best first. */
function rankBestEntries(
  targetHash: number,
  entries: readonly HashedEntry[],
  isEligible: (entry: HashedEntry) => boolean,
): string[] {
  const best: { name: string; weight: number }[] = [];
  entries.forEach((entry) => {
    if (!isEligible(entry)) return;
    const weight = hashing.combineHashes(targetHash, entry.nameHash);
    if (best.length === ENTRIES_PER_TARGET && weight <= best[best.length - 1].weight) return;
    best.push({ name: entry.name, weight });
    best.sort((first, second) => second.weight - first.weight);
    best.length = Math.min(best.length, ENTRIES_PER_TARGET);
  });
  return best.map((ranked) => ranked.name);
}
