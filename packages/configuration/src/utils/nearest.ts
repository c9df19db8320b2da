/**
 * Suggests the known word that is closest to a misspelled one.
 */

/** Computes the Levenshtein distance between two words. */
export function computeEditDistance(first: string, second: string): number {
  let previous = Array.from({ length: second.length + 1 }, (_, column) => column);
  for (let row = 1; row <= first.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= second.length; column += 1) {
      const substitution = previous[column - 1] + (first[row - 1] === second[column - 1] ? 0 : 1);
      current.push(Math.min(substitution, previous[column] + 1, current[column - 1] + 1));
    }
    previous = current;
  }
  return previous[second.length];
}

/** The candidate with the smallest edit distance to `word`; undefined without candidates. */
export function findNearestWord(word: string, candidates: readonly string[]): string | undefined {
  return [...candidates].sort(
    (first, second) => computeEditDistance(word, first) - computeEditDistance(word, second),
  )[0];
}
