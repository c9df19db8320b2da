/**
 * The items of a job that are held in memory. A job of ordinary size is held as a whole. Of a larger one
 * only the next items are held, in the order of the job, and further ones are read from the store as
 * these are listed.
 */
import type * as intake from '@azureworks/intake';
import type * as jobs from '../types/batch-job';
import type * as itemSources from './item-source';
import * as progress from './item-progress';

/** Items of one job that are held at the same time, by their number and their bytes. */
const MAXIMUM_ITEMS = 2048;
const MAXIMUM_BYTES = 32 * 1024 * 1024;
/** Further items are read when fewer than this share of the maximum is left. */
const REFILL_SHARE = 0.5;
/** Memory that one read of items takes until they are decoded, in bytes. */
export const READ_BYTES = 4 * 1024 * 1024;
/** Copies of an item that exist while it is decoded. */
const DECODING_COPIES = 4;

export interface ItemWindowOptions {
  readonly reservation: intake.Reservation;
  /** The items that are not held yet; undefined when all of them are. */
  readonly source: itemSources.ItemSource | undefined;
  /** The items that have a result. */
  readonly listedIds: ReadonlySet<string>;
}

/** How reading further items ended. */
export const FillEnd = {
  Filled: 'filled',
  /** The memory budget has no room for further items. */
  NoMemory: 'no-memory',
  /** The store or its rows cannot be read. */
  Unreadable: 'unreadable',
} as const;
export type FillEnd = (typeof FillEnd)[keyof typeof FillEnd];

/** The items of one job. */
export class ItemWindow {
  readonly items = new Map<string, progress.ItemProgress>();

  private readonly groupSizes = new Map<string, number>();

  /** Groups of listed items that are not held. */
  private readonly listedGroups = new Set<string>();

  private nextIndex = 0;

  private completeGroups = 0;

  private constructor(private readonly options: ItemWindowOptions) {}

  static create(options: ItemWindowOptions): ItemWindow {
    return new ItemWindow(options);
  }

  /** Whether items of the job are in the store only. */
  get isPartial(): boolean {
    return this.options.source?.isDone === false;
  }

  /** Whether further items should be read now. */
  get needsItems(): boolean {
    const { reservation } = this.options;
    return (
      this.isPartial &&
      this.items.size < MAXIMUM_ITEMS * REFILL_SHARE &&
      reservation.bytes < MAXIMUM_BYTES * REFILL_SHARE
    );
  }

  /** Groups all of whose items were held and have been listed since. */
  get completeGroupCount(): number {
    return this.completeGroups;
  }

  /** Holds items, which are the next ones of the job; returns those that have no result. */
  add(items: readonly jobs.Item[]): progress.ItemProgress[] {
    const { reservation, listedIds } = this.options;
    const added = items.map((item, position) =>
      progress.ItemProgress.create(item, this.nextIndex + position, reservation),
    );
    this.nextIndex += items.length;
    const isWhole = this.items.size === 0 && !this.isPartial;
    added.forEach((itemProgress) => {
      const { item } = itemProgress;
      if (listedIds.has(item.id)) {
        itemProgress.phase = progress.ItemPhase.Done;
        itemProgress.isListed = true;
        if (!isWhole) {
          this.listedGroups.add(item.group);
          return;
        }
      }
      this.items.set(item.id, itemProgress);
      this.groupSizes.set(item.group, (this.groupSizes.get(item.group) ?? 0) + 1);
      reservation.grow(progress.estimateItemBytes(item));
    });
    return added.filter(({ phase }) => phase !== progress.ItemPhase.Done);
  }

  /**
   * Reads further items.
   * @param onAdded called with those that have no result, before anything else sees them
   */
  async fill(onAdded: (items: readonly progress.ItemProgress[]) => void): Promise<FillEnd> {
    const { reservation, source } = this.options;
    while (source?.isDone === false && this.hasRoom) {
      const readBytes = READ_BYTES + DECODING_COPIES * source.pendingBytes;
      if (!reservation.tryGrow(readBytes)) return FillEnd.NoMemory;
      const items = await source.next();
      reservation.shrink(readBytes);
      if (!items) return FillEnd.Unreadable;
      onAdded(this.add(items));
    }
    this.listedGroups.forEach((group) => {
      if (!this.groupSizes.has(group)) this.completeGroups += 1;
    });
    this.listedGroups.clear();
    return FillEnd.Filled;
  }

  /** Removes an item that is listed, so that others can be held in its place. */
  remove(itemProgress: progress.ItemProgress): void {
    const { item } = itemProgress;
    if (!this.items.delete(item.id)) return;
    itemProgress.reset();
    this.options.reservation.shrink(progress.estimateItemBytes(item));
    const left = (this.groupSizes.get(item.group) ?? 1) - 1;
    if (left > 0) {
      this.groupSizes.set(item.group, left);
      return;
    }
    this.groupSizes.delete(item.group);
    this.completeGroups += 1;
  }

  /** Drops all items. */
  release(): void {
    this.items.clear();
    this.groupSizes.clear();
    this.options.reservation.release();
  }

  private get hasRoom(): boolean {
    const { reservation } = this.options;
    return this.items.size < MAXIMUM_ITEMS && reservation.bytes < MAXIMUM_BYTES;
  }
}
