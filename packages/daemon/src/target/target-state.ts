/**
 * What the tasks of a target daemon agree on: whether it serves, the revision in force, the
 * capacity and the confirmed weight version. Owned by the links task, read by the others.
 */
import type * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as runtime from '@azureworks/runtime';

const SERVING_TRANSITIONS = {
  joining: { confirm: 'serving', drain: 'draining' },
  serving: { drain: 'draining' },
  draining: {},
} as const;

/** The longest time without a confirmation of the revision before new work is refused. */
export const CONFIRMATION_BOUND_MS = 5000;

/** The shared state of a target daemon. */
export class TargetState {
  revision = 0;

  slice: links.Slice = { capacity: 1, fencing: 'ignored' };

  /** The weight version of each model that the engine holds; null when it is unknown. */
  weightVersions: Readonly<Record<string, number | null>> = {};

  private confirmedMs = -Infinity;

  private readonly machine = runtime.Machine.create<
    keyof typeof SERVING_TRANSITIONS,
    'confirm' | 'drain'
  >('joining', SERVING_TRANSITIONS);

  private constructor(private readonly clock: decisions.Clock) {}

  static create(clock: decisions.Clock): TargetState {
    return new TargetState(clock);
  }

  /** Whether the daemon is on its way out. */
  get isDraining(): boolean {
    return this.machine.isIn('draining');
  }

  /** Whether the revision in force was confirmed recently enough to take new work. */
  get isConfirmed(): boolean {
    return this.clock.nowMs() - this.confirmedMs <= CONFIRMATION_BOUND_MS;
  }

  /**
   * Takes a revision from an entry. A lower revision than the one in force is ignored.
   * @param ageMs age of the entry's own confirmation, in milliseconds
   */
  confirm(revision: number, ageMs: number, slice: links.Slice | undefined): boolean {
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
