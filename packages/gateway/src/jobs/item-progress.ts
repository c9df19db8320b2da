/**
 * The progress of an item of a batch job, over all runs on all replicas and gateways.
 */
import * as jobs from '../types/batch-job';
import type * as records from './job-record';

/** The phases of an item. */
export const ItemPhase = {
  Waiting: 'waiting',
  Running: 'running',
  /** Its text is complete and its scoring call is in flight. */
  Scoring: 'scoring',
  /** Its result is in the job's list of results, or about to be appended to it. */
  Done: 'done',
} as const;
export type ItemPhase = (typeof ItemPhase)[keyof typeof ItemPhase];

/** The phase of an item and the text generated so far. */
export class ItemProgress {
  phase: ItemPhase = ItemPhase.Waiting;

  /** The data of the events received so far. */
  events: string[] = [];

  /** How many of them the last checkpoint contained. */
  storedEvents = 0;

  /** The id of the last event; undefined before the first. */
  lastEvent: number | undefined;

  /** The software that wrote the events; undefined when it is not known. */
  software: string | undefined;

  /** The versions of the weights that produced the events. */
  readonly versions = new Set<number>();

  isTextComplete = false;

  score: string | undefined;

  /** Runs that ended with an error answer for the item itself. */
  failedAnswers = 0;

  /** The replica of the current or the last run. */
  replicaId: string | undefined;

  /** Aborts the current run; undefined while there is none. */
  abortController: AbortController | undefined;

  /** When the current run started and when its last event arrived, on the monotonic clock. */
  runStartedMs = 0;

  lastEventMs = 0;

  /** Since when no replica that can go on with its text has room; undefined while one runs it. */
  waitingSinceMs: number | undefined;

  /** Number of events received in the current run. */
  runEvents = 0;

  private constructor(
    readonly item: jobs.Item,
    readonly index: number,
  ) {}

  static create(item: jobs.Item, index: number): ItemProgress {
    return new ItemProgress(item, index);
  }

  /** The newest version of the weights that produced an event. */
  get newestVersion(): number | undefined {
    return this.versions.size === 0 ? undefined : Math.max(...this.versions);
  }

  /** Discards the text, so that the next run generates it from its beginning. */
  reset(): void {
    this.events = [];
    this.storedEvents = 0;
    this.lastEvent = undefined;
    this.software = undefined;
    this.versions.clear();
    this.isTextComplete = false;
    this.score = undefined;
  }

  /** Continues an earlier text, unless weights older than `oldestVersion` produced part of it. */
  resumeFrom(text: records.PartialText, oldestVersion: number): void {
    if (text.versions.some((version) => version < oldestVersion)) return;
    this.events = [...text.events];
    this.lastEvent = text.events.length === 0 ? undefined : text.lastEvent;
    this.software = text.software;
    text.versions.forEach((version) => this.versions.add(version));
  }

  /** The text generated so far, in the form in which it is stored. */
  toPartialText(): records.PartialText {
    return {
      itemId: this.item.id,
      events: [...this.events],
      lastEvent: this.lastEvent ?? -1,
      versions: [...this.versions],
      ...(this.software !== undefined && { software: this.software }),
    };
  }

  /** Creates the result of the item, which must be done. */
  toResult(state: jobs.ResultState): jobs.ItemResult {
    // The trainer cannot use an incomplete text, so it is left out.
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
