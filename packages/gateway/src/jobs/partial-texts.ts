/**
 * Texts that were made for items of jobs that ended before they were whole. A trainer submits
 * such items again in a later job, which goes on from here when the versions of the weights fit.
 * They are held in memory only: without them an item is simply made again.
 */
import * as progress from './item-progress';
import type * as records from './job-record';
import * as recentMaps from './recent-map';

interface KeptText {
  readonly text: records.PartialText;
  readonly isWhole: boolean;
  readonly score: string | undefined;
  readonly scoringId: string | undefined;
}

/** Texts that are kept at the most. */
const MOST_TEXTS = 1000;

/** The kept texts of one gateway. */
export class PartialTexts {
  private readonly texts = recentMaps.RecentMap.create<KeptText>(MOST_TEXTS);

  static create(): PartialTexts {
    return new PartialTexts();
  }

  /** Keeps a text that another gateway left. */
  keep(text: records.PartialText): void {
    this.texts.set(text.itemId, { text, isWhole: false, score: undefined, scoringId: undefined });
  }

  /** Keeps what an item has. */
  keepFrom(entry: progress.ItemProgress): void {
    if (entry.events.length === 0) return;
    const { isTextWhole, score, item } = entry;
    const text = entry.toPartial();
    this.texts.set(item.id, { text, isWhole: isTextWhole, score, scoringId: item.scoring?.id });
  }

  /** Gives an item the text that was kept for it; returns whether there was one. */
  adopt(entry: progress.ItemProgress, oldestVersion: number): boolean {
    const kept = this.texts.get(entry.item.id);
    if (!kept) return false;
    this.texts.delete(entry.item.id);
    if (entry.phase === progress.ItemPhase.Done) return false;
    entry.adopt(kept.text, oldestVersion);
    if (entry.events.length === 0) return true;
    entry.isTextWhole = kept.isWhole;
    if (kept.scoringId === entry.item.scoring?.id) entry.score = kept.score;
    return true;
  }
}
