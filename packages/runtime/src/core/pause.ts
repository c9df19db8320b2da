/**
 * A delay for asynchronous code.
 */

/** Resolves after `durationMs` milliseconds. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
