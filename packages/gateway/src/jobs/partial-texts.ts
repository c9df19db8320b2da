/**
 * Saved texts of items that were not done when their job was closed. A trainer submits such items
 * again in a later job, which continues the texts if their versions of the weights are acceptable.
 * The texts are held in memory only: without one, an item is generated from its beginning.
 */
import * as progress from './item-progress';
import type * as records from './job-record';
import * as boundedMaps from './bounded-map';

interface SavedText {
  readonly text: records.PartialText;
  readonly isComplete: boolean;
  readonly score: string | undefined;
  readonly scoringId: string | undefined;
}

const MAXIMUM_TEXTS = 1000;

/** The saved texts of one gateway, by item. */
export class PartialTexts {
  private readonly savedTexts = boundedMaps.BoundedMap.create<SavedText>(MAXIMUM_TEXTS);

  static create(): PartialTexts {
    return new PartialTexts();
  }

  /** Saves a text that another gateway left in the store. */
  saveText(text: records.PartialText): void {
    this.savedTexts.set(text.itemId, {
      text,
      isComplete: false,
      score: undefined,
      scoringId: undefined,
    });
  }

  /** Saves the text and the score of an item. */
  saveItem(itemProgress: progress.ItemProgress): void {
    if (itemProgress.events.length === 0) return;
    const { isTextComplete, score, item } = itemProgress;
    const text = itemProgress.toPartialText();
    this.savedTexts.set(item.id, {
      text,
      isComplete: isTextComplete,
      score,
      scoringId: item.scoring?.id,
    });
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
