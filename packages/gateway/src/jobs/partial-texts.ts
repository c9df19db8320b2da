/**
 * Saved texts of items that were not done when their job was closed. A trainer submits such items
 * again in a later job, which continues the texts if their versions of the weights are acceptable.
 * The texts are held in memory only: without one, an item is generated from its beginning. They give way to
 * whatever open work holds.
 */
import type * as intake from '@azureworks/intake';
import * as progress from './item-progress';
import type * as records from './job-record';
import * as boundedMaps from './bounded-map';

interface SavedText {
  readonly reservation: intake.Reservation;
  readonly text: records.PartialText;
  readonly isComplete: boolean;
  readonly score: string | undefined;
  readonly scoringId: string | undefined;
}

const MAXIMUM_TEXTS = 1000;
/** Memory of a text without its events, in bytes. */
const TEXT_BYTES = 500;

/** The saved texts of one gateway, by item. */
export class PartialTexts implements intake.Cache {
  private heldBytes = 0;

  private readonly savedTexts = boundedMaps.BoundedMap.create<SavedText>(
    MAXIMUM_TEXTS,
    ({ reservation }) => {
      this.heldBytes -= reservation.bytes;
      reservation.release();
    },
  );

  private constructor(private readonly memory: intake.Memory) {
    memory.addCache(this);
  }

  static create(memory: intake.Memory): PartialTexts {
    return new PartialTexts(memory);
  }

  get bytes(): number {
    return this.heldBytes;
  }

  dropOldest(): void {
    this.savedTexts.deleteOldest();
  }

  /** Saves a text that another gateway left in the store. */
  saveText(text: records.PartialText): void {
    this.save({ text, isComplete: false, score: undefined, scoringId: undefined });
  }

  /** Saves the text and the score of an item. */
  saveItem(itemProgress: progress.ItemProgress): void {
    if (itemProgress.events.length === 0) return;
    const { isTextComplete, score, item } = itemProgress;
    const text = itemProgress.toPartialText();
    this.save({ text, isComplete: isTextComplete, score, scoringId: item.scoring?.id });
  }

  /** Saves a text unless the memory has no room for it. */
  private save(saved: Omit<SavedText, 'reservation'>): void {
    const { itemId } = saved.text;
    this.savedTexts.delete(itemId);
    const reservation = this.memory.tryTake(estimateBytes(saved.text));
    if (!reservation) return;
    this.heldBytes += reservation.bytes;
    this.savedTexts.set(itemId, { ...saved, reservation });
  }

  /** Restores the saved text of an item that is not done; returns whether there was one. */
  restoreItem(itemProgress: progress.ItemProgress, oldestVersion: number): boolean {
    const saved = this.savedTexts.get(itemProgress.item.id);
    if (!saved) return false;
    this.savedTexts.delete(itemProgress.item.id);
    if (itemProgress.phase === progress.ItemPhase.Done) return false;
    // Nothing goes on with an incomplete text of unknown software.
    if (!saved.isComplete && saved.text.software === undefined) return true;
    itemProgress.resumeFrom(saved.text, oldestVersion);
    if (itemProgress.events.length === 0) return true;
    itemProgress.isTextComplete = saved.isComplete;
    if (saved.scoringId === itemProgress.item.scoring?.id) itemProgress.score = saved.score;
    return true;
  }
}

function estimateBytes(text: records.PartialText): number {
  return text.events.reduce((sum, data) => sum + progress.estimateEventBytes(data), TEXT_BYTES);
}
