/**
 * How far an item of a batch job is, whoever ran it so far.
 */
import * as jobs from '../types/batch-job';
import type * as records from './job-record';

/** Where an item stands. */
export const ItemPhase = {
  Waiting: 'waiting',
  Running: 'running',
  /** Its text is whole and its score is being asked for. */
  Scoring: 'scoring',
  /** Its result is listed or about to be. */
  Done: 'done',
} as const;
export type ItemPhase = (typeof ItemPhase)[keyof typeof ItemPhase];

/** An item under way. */
export class ItemProgress {
  phase: ItemPhase = ItemPhase.Waiting;

  /** The data of the events made so far. */
  events: string[] = [];

  /** How many of them are kept in the store. */
  storedEvents = 0;

  /** The id of the last event; undefined before the first. */
  lastEvent: number | undefined;

  /** The versions of the weights that made the events. */
  readonly versions = new Set<number>();

  /** Whether the text is whole. */
  isTextWhole = false;

  score: string | undefined;

  /** Failures that replicas answered. */
  failedAnswers = 0;

  /** The replica that runs the item now. */
  replicaId: string | undefined;

  /** Ends the current run. */
  abort: AbortController | undefined;

  /** When the current run began and when its last event came, on the monotonic clock. */
  startedMs = 0;

  eventMs = 0;

  /** Events that the current run has made. */
  runEvents = 0;

  private constructor(
    readonly item: jobs.Item,
    readonly index: number,
  ) {}

  static create(item: jobs.Item, index: number): ItemProgress {
    return new ItemProgress(item, index);
  }

  /** The version of the weights that made the last event. */
  get newestVersion(): number | undefined {
    return this.versions.size === 0 ? undefined : Math.max(...this.versions);
  }

  /** Forgets the text. */
  reset(): void {
    this.events = [];
    this.storedEvents = 0;
    this.lastEvent = undefined;
    this.versions.clear();
    this.isTextWhole = false;
    this.score = undefined;
  }

  /** Goes on from a text that was made before, if its versions fit. */
  adopt(text: records.PartialText, oldestVersion: number): void {
    if (text.versions.some((version) => version < oldestVersion)) return;
    this.events = [...text.events];
    this.lastEvent = text.events.length === 0 ? undefined : text.lastEvent;
    text.versions.forEach((version) => this.versions.add(version));
  }

  /** What was made so far. */
  toPartial(): records.PartialText {
    return {
      itemId: this.item.id,
      events: [...this.events],
      lastEvent: this.lastEvent ?? -1,
      versions: [...this.versions],
    };
  }

  /** The result once the item is done. */
  toResult(state: jobs.ResultState): jobs.ItemResult {
    // A text that is not whole is of no use to the trainer, so it is left out.
    if (state === jobs.ResultState.Terminated) {
      return { itemId: this.item.id, state, text: '', versions: [], score: undefined };
    }
    return {
      itemId: this.item.id,
      state,
      text: this.events.join('\n'),
      versions: [...this.versions].sort((first, second) => first - second),
      score: this.score,
    };
  }
}
