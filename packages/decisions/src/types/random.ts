/**
 * The random source interface of this package, so that tests can use a fixed seed.
 */

/** A source of pseudo-random numbers. */
export interface Random {
  /** The next number, uniform in [0, 1). */
  next(): number;
}
