/**
 * Finds the known word that a mistyped one is most likely meant to be.
 */

/** The Levenshtein distance between two words. */
export function measureDistance(first: string, second: string): number {
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

/** The word of `known` nearest to `word`, or undefined when `known` is empty. */
export function findNearest(word: string, known: readonly string[]): string | undefined {
  return [...known].sort(
    (first, second) => measureDistance(word, first) - measureDistance(word, second),
  )[0];
}
