/**
 * State shared by the tasks of a target daemon: whether it serves, the configuration revision in
 * force, the capacity and the weight versions. The links task updates the configuration, the weights
 * task the weight versions.
 */
import type * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as runtime from '@azureworks/runtime';

const SERVING_TRANSITIONS = {
  joining: { confirm: 'serving', drain: 'draining' },
  serving: { drain: 'draining' },
  draining: {},
} as const;

/** New work is refused when the last confirmation of the revision is older than this. */
export const MAXIMUM_CONFIRMATION_AGE_MS = 5000;

/** The shared state of a target daemon. */
export class TargetState {
  revision = 0;

  slice: links.TargetConfiguration = { capacity: 1, fencing: 'ignored' };

  /** The weight version that the engine holds of each model; null when it is unknown. */
  weightVersions: Readonly<Record<string, number | null>> = {};

  private confirmedMs = -Infinity;

  private readonly machine = runtime.StateMachine.create<
    keyof typeof SERVING_TRANSITIONS,
    'confirm' | 'drain'
  >('joining', SERVING_TRANSITIONS);

  private constructor(private readonly clock: decisions.Clock) {}

  static create(clock: decisions.Clock): TargetState {
    return new TargetState(clock);
  }

  /** Whether the planned stop has begun. */
  get isDraining(): boolean {
    return this.machine.isIn('draining');
  }

  /** Whether the revision in force was confirmed recently enough to accept new work. */
  get isConfirmed(): boolean {
    return this.clock.nowMs() - this.confirmedMs <= MAXIMUM_CONFIRMATION_AGE_MS;
  }

  /**
   * Applies or confirms a revision that an entry sent. Returns false when it is ignored: a revision
   * lower than the one in force, or a higher one without its slice of the configuration.
   * @param ageMs age of the entry's own confirmation of the revision, in milliseconds
   */
  confirm(revision: number, ageMs: number, slice: links.TargetConfiguration | undefined): boolean {
    if (revision < this.revision) return false;
    if (revision > this.revision && !slice) return false;
    this.revision = revision;
    if (slice) this.slice = slice;
    this.confirmedMs = Math.max(this.confirmedMs, this.clock.nowMs() - ageMs);
    this.machine.send('confirm');
    return true;
  }

  /** Begins the planned stop. */
  drain(): void {
    this.machine.send('drain');
  }
}
