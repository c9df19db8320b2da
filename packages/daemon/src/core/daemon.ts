/**
 * The interface of a daemon of either role, entry or target.
 */

/** The ports that a daemon listens on. */
export interface Ports {
  readonly httpPort: number;
  readonly controlPort: number;
}

/** A daemon of either role. */
export interface Daemon {
  /** Resolves with the ports once the daemon listens on them. */
  start(): Promise<Ports>;
  /** Planned stop: announces that the daemon is leaving, drains, and finishes work in flight. */
  stop(): Promise<void>;
}
