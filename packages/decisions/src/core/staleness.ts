/**
 * Staleness of samples, counted in weight versions. A sample is as old as the oldest version that
 * produced any part of it.
 */

/** The staleness of a sample: how many versions its oldest part lies behind the trainer. */
export function measureStaleness(versions: readonly number[], trainerVersion: number): number {
  if (versions.length === 0) return Infinity;
  return Math.max(0, trainerVersion - Math.min(...versions));
}

/** Whether a sample with these versions may be handed to a trainer at `trainerVersion`. */
export function isFresh(
  versions: readonly number[],
  trainerVersion: number,
  bound: number,
): boolean {
  return measureStaleness(versions, trainerVersion) <= bound;
}

/** Whether a run that began at `startVersion` can no longer produce a fresh sample. */
export function isDoomed(startVersion: number, trainerVersion: number, bound: number): boolean {
  return trainerVersion - startVersion > bound;
}
