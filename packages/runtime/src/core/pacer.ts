/**
 * Divides long computations into turns of the event loop, so that others are served in between.
 */

/** How long a computation may keep the event loop, in milliseconds. */
const MAXIMUM_TURN_MS = 10;

/** Paces one computation. */
export class Pacer {
  private turnStartMs = performance.now();

  static create(): Pacer {
    return new Pacer();
  }

  /** Lets the event loop go on if this turn has taken long enough. */
  async rest(): Promise<void> {
    if (performance.now() - this.turnStartMs < MAXIMUM_TURN_MS) return;
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    this.turnStartMs = performance.now();
  }
}
