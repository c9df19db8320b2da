/**
 * Waiting in asynchronous code.
 */

/** Resolves after a number of milliseconds. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
