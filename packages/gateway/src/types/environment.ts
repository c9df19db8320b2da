/**
 * What all tasks of a gateway share: its identity, clocks, randomness, log and metrics.
 */
import type * as intake from '@azureworks/intake';
import type * as runtime from '@azureworks/runtime';

/** Identity and services of the process that runs the gateway. */
export interface Environment {
  /** Name of this VM; a restarted process has the same. */
  readonly vm: string;
  /** Identifies this process; no other process, past or future, has the same. */
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Processor time of this VM, in cores of a standard machine. */
  readonly capacity: number;
  /** Address at which peers reach this process. */
  readonly peerAddress: string;
  /** The memory that open work may hold. */
  readonly memory: intake.Memory;
  readonly log: runtime.Log;
  readonly metrics: runtime.Metrics;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Wall clock, in Unix milliseconds; may jump. */
  readonly wallClockMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
}
