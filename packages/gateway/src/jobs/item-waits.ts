/**
 * Shows the operator which items wait because replicas are ejected, and reports when items begin and cease to
 * wait because only ejected replicas have room.
 */
import type * as environments from '../types/environment';
import * as selections from '../replicas/replica-selection';

/** Shortest time between two reports, as the first and the last free slot may alternate. */
const REPORT_INTERVAL_MS = 1000;

/** The reasons that are shown; the others are known from the load of the replicas. */
const SHOWN_REASONS: readonly selections.WithheldReason[] = [
  selections.WithheldReason.RoomOnlyAtEjected,
  selections.WithheldReason.AwaitingTrial,
];

/** The waiting items of one gateway, by the reason for which they wait. */
export class ItemWaits {
  /** The items of the pass in progress and of the last whole pass. */
  private counting = new Map<selections.WithheldReason, number>();

  private counted: ReadonlyMap<selections.WithheldReason, number> = new Map();

  private readonly shownReasons = new Set<selections.WithheldReason>();

  private reportedItems = 0;

  private reportedMs = -Infinity;

  private constructor(private readonly environment: environments.Environment) {}

  static create(environment: environments.Environment): ItemWaits {
    return new ItemWaits(environment);
  }

  /** Counts an item that found no replica in this pass. */
  add(reason: selections.WithheldReason | undefined): void {
    if (reason === undefined || !SHOWN_REASONS.includes(reason)) return;
    this.counting.set(reason, (this.counting.get(reason) ?? 0) + 1);
  }

  /** Ends a pass over all waiting items. */
  finishPass(): void {
    this.counted = this.counting;
    this.counting = new Map();
    [...this.counted.keys()].forEach((reason) => this.show(reason));
    const items = this.counted.get(selections.WithheldReason.RoomOnlyAtEjected) ?? 0;
    const nowMs = this.environment.nowMs();
    if (items > 0 === this.reportedItems > 0) return;
    if (nowMs - this.reportedMs < REPORT_INTERVAL_MS) return;
    this.reportedItems = items;
    this.reportedMs = nowMs;
    const isWaiting = items > 0;
    this.environment.log.info('room only at ejected replicas', { isWaiting, items });
  }

  /** A gauge appears once an item has waited for its reason. */
  private show(reason: selections.WithheldReason): void {
    if (this.shownReasons.has(reason)) return;
    this.shownReasons.add(reason);
    const read = (): number => this.counted.get(reason) ?? 0;
    this.environment.metrics.gauge('items_waiting', { reason }, read);
  }
}
