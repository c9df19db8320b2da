/**
 * Staleness of samples, counted in weight versions. The oldest version that produced any part of a
 * sample determines its staleness.
 */

/** How many versions the oldest part of a sample is behind the trainer. */
export function measureStaleness(versions: readonly number[], trainerVersion: number): number {
  if (versions.length === 0) return Infinity;
  return Math.max(0, trainerVersion - Math.min(...versions));
}

/** Whether a sample with these versions may be delivered to a trainer at `trainerVersion`. */
export function isFresh(
  versions: readonly number[],
  trainerVersion: number,
  stalenessBound: number,
): boolean {
  return measureStaleness(versions, trainerVersion) <= stalenessBound;
}

/** Whether a run that started at `startVersion` can no longer produce a fresh sample. */
export function isRunTooStale(
  startVersion: number,
  trainerVersion: number,
  stalenessBound: number,
): boolean {
  return trainerVersion - startVersion > stalenessBound;
}
