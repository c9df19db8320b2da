/**
 * Rendezvous (highest random weight) hashing: every process ranks the same nodes for a key in the
 * same order, and when a node leaves, only its own keys move.
 */
import * as hashing from '../utils/hash';

/** Ranks `nodes` for `key`, best first. The input is not modified. */
export function rankNodes(key: string, nodes: readonly string[]): string[] {
  const keyHash = hashing.hashText(key);
  return nodes
    .map((node) => ({ node, weight: hashing.combineHashes(keyHash, hashing.hashText(node)) }))
    .sort((first, second) => second.weight - first.weight || (first.node < second.node ? -1 : 1))
    .map((ranked) => ranked.node);
}

/** The best node for `key`, or undefined when there is none. */
export function chooseNode(key: string, nodes: readonly string[]): string | undefined {
  return rankNodes(key, nodes)[0];
}
