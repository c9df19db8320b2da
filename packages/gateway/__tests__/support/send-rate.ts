/**
 * Counts what replicas with a rate limit receive, over all gateways.
 */

/** The span over which requests are counted. */
export const WINDOW_MS = 4000;
/** Time after a limit was first named from which it must be kept. */
export const STABLE_WINDOW_MS = 3000;
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE_REQUESTS = 5;
const MILLISECONDS_PER_SECOND = 1000;

/** The most requests that a replica with this limit may get within the window. */
export function getAllowance(requestsPerSecond: number): number {
  const named = (requestsPerSecond * WINDOW_MS) / MILLISECONDS_PER_SECOND;
  return TOLERANCE_FACTOR * named + TOLERANCE_REQUESTS;
}

/** The largest number of these times, in ascending order, that fall into one window. */
export function countMostInWindow(timesMs: readonly number[]): number {
  let most = 0;
  let first = 0;
  timesMs.forEach((timeMs, index) => {
    while (timeMs - (timesMs[first] ?? timeMs) > WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
