/**
 * Which targets of a service an entry links to. Small services are linked in full; of a large one
 * each target picks its entries by rendezvous, its own failure domain first, so that every target
 * is covered by the same number of entries however many there are.
 */
import * as hashing from '../utils/hash';

/** Services up to this size are linked in full by every entry. */
const SMALL_SERVICE_TARGETS = 64;

/** Entries that cover each target of a large service. */
const COVERING_ENTRIES = 3;

/** The place of an entry or a target. */
export interface Placed {
  readonly name: string;
  readonly failureDomain: string;
}

/** An entry with the hash of its name, computed once for all targets. */
interface HashedEntry extends Placed {
  readonly nameHash: number;
}

/** The targets that `entry` should link to. */
export function chooseSubset<T extends Placed>(
  entry: Placed,
  entries: readonly Placed[],
  targets: readonly T[],
): T[] {
  if (targets.length <= SMALL_SERVICE_TARGETS || entries.length <= COVERING_ENTRIES) {
    return [...targets];
  }
  const hashed = entries.map(hashEntry);
  return targets.filter((target) => chooseCovering(target, hashed).includes(entry.name));
}

/** The names of the entries that cover a target of a large service. */
export function chooseCoveringEntries(target: Placed, entries: readonly Placed[]): string[] {
  return chooseCovering(target, entries.map(hashEntry));
}

function hashEntry(entry: Placed): HashedEntry {
  const { name, failureDomain } = entry;
  return { name, failureDomain, nameHash: hashing.hashText(name) };
}

function chooseCovering(target: Placed, entries: readonly HashedEntry[]): string[] {
  const targetHash = hashing.hashText(target.name);
  const local = pickBest(targetHash, entries, (entry) => isLocal(entry, target));
  const remote = pickBest(targetHash, entries, (entry) => !isLocal(entry, target));
  // One entry outside the failure domain keeps the target in use when the domain's entries fail.
  const nearby = local.slice(0, COVERING_ENTRIES - 1);
  return [...nearby, ...remote, ...local.slice(nearby.length)].slice(0, COVERING_ENTRIES);
}

function isLocal(entry: Placed, target: Placed): boolean {
  return entry.failureDomain === target.failureDomain;
}

/** The names of the best-ranked entries that pass the filter, best first. */
function pickBest(
  targetHash: number,
  entries: readonly HashedEntry[],
  isWanted: (entry: HashedEntry) => boolean,
): string[] {
  const best: { name: string; weight: number }[] = [];
  entries.forEach((entry) => {
    if (!isWanted(entry)) return;
    const weight = hashing.combineHashes(targetHash, entry.nameHash);
    if (best.length === COVERING_ENTRIES && weight <= best[best.length - 1].weight) return;
    best.push({ name: entry.name, weight });
    best.sort((first, second) => second.weight - first.weight);
    best.length = Math.min(best.length, COVERING_ENTRIES);
  });
  return best.map((ranked) => ranked.name);
}
