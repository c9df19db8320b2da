/**
 * What every task of a gateway shares: who it is, time, randomness, logs and metrics.
 */
import type * as runtime from '@azureworks/runtime';

/** The gateway's surroundings. */
export interface Environment {
  /** The name of this VM; a restarted process has the same. */
  readonly vm: string;
  /** Differs between all processes that ever ran. */
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Processor time that this VM has, in cores of an ordinary machine. */
  readonly capacity: number;
  /** Where peers reach this process. */
  readonly peerAddress: string;
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
  /** Monotonic, in milliseconds. */
  readonly nowMs: () => number;
  /** The time of day, in Unix milliseconds; may jump. */
  readonly wallMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
}
