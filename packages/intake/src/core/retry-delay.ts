/**
 * Decides when refused clients come back.
 *
 * Load pattern: hundreds of clients are refused within a moment and follow the same `Retry-After`, so that
 * they are all there again at the same time. The delay is therefore spread evenly over as long again.
 */

/**
 * @param leastMs the shortest delay
 * @param random uniform in [0, 1)
 */
export function spreadDelay(leastMs: number, random: number): number {
  return Math.round(leastMs * (1 + random));
}
