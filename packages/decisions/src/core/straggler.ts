/**
 * Finds samples that delay a step because their replica is slow, judged by the output rate. The
 * caller moves them to another replica, which continues from the output produced so far, so that
 * nothing is wasted.
 */

/** The progress of a running sample. */
export interface SampleProgress {
  readonly id: string;
  /** Milliseconds since its current attempt started. */
  readonly runningMs: number;
  /** Units of output of its current attempt, for example bytes. */
  readonly produced: number;
}

/** A sample is not judged before it has run this long. */
const MINIMUM_OBSERVATION_MS = 400;

/** A sample is a straggler when its rate is lower than the typical rate by more than this factor. */
const SLOWDOWN_FACTOR = 2;

/**
 * Returns the ids of the samples to move, slowest first.
 * @param running the samples that are running
 * @param typicalRatePerMs units per millisecond on a typical replica; 0 when unknown
 * @param maximumMoves how many samples may be moved, rounded down
 */
export function chooseStragglers(
  running: readonly SampleProgress[],
  typicalRatePerMs: number,
  maximumMoves: number,
): string[] {
  const getRatePerMs = (sample: SampleProgress): number => sample.produced / sample.runningMs;
  return running
    .filter((sample) => sample.runningMs >= MINIMUM_OBSERVATION_MS)
    .filter((sample) => getRatePerMs(sample) * SLOWDOWN_FACTOR < typicalRatePerMs)
    .sort((first, second) => getRatePerMs(first) - getRatePerMs(second))
    .slice(0, Math.max(0, Math.floor(maximumMoves)))
    .map((sample) => sample.id);
}
