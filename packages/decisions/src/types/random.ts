/**
 * Randomness as the decisions see it, so that a test can drive them from a seed.
 */

/** A source of pseudo-random numbers. */
export interface Random {
  /** The next number, uniform in [0, 1). */
  next(): number;
}
