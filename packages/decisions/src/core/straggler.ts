/**
 * Finds samples that hold a step up because their replica is slow, by remaining expected time.
 * They are moved: another replica goes on where they stand, so nothing that was made is wasted.
 */

/** The progress of a running sample. */
export interface SampleProgress {
  readonly id: string;
  /** Milliseconds since its current attempt began. */
  readonly runningMs: number;
  /** Units that its current attempt has produced, for example bytes. */
  readonly produced: number;
}

const SHORTEST_OBSERVATION_MS = 400;
const SLOW_FACTOR = 2;

/**
 * The samples to move, slowest first.
 * @param running the samples that run now
 * @param typicalRate units a millisecond of an ordinary replica; 0 when unknown
 * @param budget the number of samples that may be moved
 */
export function chooseStragglers(
  running: readonly SampleProgress[],
  typicalRate: number,
  budget: number,
): string[] {
  const rateOf = (sample: SampleProgress): number => sample.produced / sample.runningMs;
  return running
    .filter((sample) => sample.runningMs >= SHORTEST_OBSERVATION_MS)
    .filter((sample) => rateOf(sample) * SLOW_FACTOR < typicalRate)
    .sort((first, second) => rateOf(first) - rateOf(second))
    .slice(0, Math.max(0, Math.floor(budget)))
    .map((sample) => sample.id);
}
