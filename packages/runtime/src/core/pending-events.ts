/**
 * Lets the event loop handle what has arrived before a server closes.
 *
 * The kernel accepts connections while the event loop is busy. They are handed over when it polls, and
 * are reset if the listening socket is closed before.
 */

/** A turn of the event loop that takes less had little to handle, in milliseconds. */
const SHORT_TURN_MS = 5;
const MAXIMUM_TURNS = 20;

/** Resolves right after the event loop has polled and had little to handle. */
export async function handlePendingEvents(): Promise<void> {
  for (let turn = 0; turn < MAXIMUM_TURNS; turn += 1) {
    const startMs = performance.now();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    // The first turn may end before the event loop has polled.
    if (turn > 0 && performance.now() - startMs < SHORT_TURN_MS) return;
  }
}
