/**
 * What the two roles have in common: a daemon is started, tells its ports, and is stopped.
 */

/** The ports that a daemon listens on. */
export interface Ports {
  readonly httpPort: number;
  readonly controlPort: number;
}

/** A daemon of either role. */
export interface Daemon {
  /** Resolves when the daemon listens. */
  start(): Promise<Ports>;
  /** The planned stop: leaves, drains, finishes what is in flight. */
  stop(): Promise<void>;
}
