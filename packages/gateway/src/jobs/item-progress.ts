/**
 * The progress of an item of a batch job, over all runs on all replicas and gateways.
 */
import type * as intake from '@azureworks/intake';
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

/** Why a text cannot go on. */
export const TextFault = {
  TooManyEvents: 'more events than the item has output tokens',
  TooLong: 'a text that is too long to be stored',
  /** This gateway has no room for it; the replica is not at fault. */
  NoMemory: 'no memory for the text',
} as const;
export type TextFault = (typeof TextFault)[keyof typeof TextFault];

/** Memory of an item without its bytes, and of an event without its data, in bytes. */
const ITEM_BYTES = 1500;
const EVENT_BYTES = 100;
/** Each character of a header or an event takes up to two bytes. */
const CHARACTER_BYTES = 2;
/**
 * The longest text that is kept, in bytes as the store keeps it: its result, encoded as base64, has to fit
 * a transaction of 1 MB.
 */
const MAXIMUM_TEXT_BYTES = 600_000;

/** Estimates the memory of an item, in bytes. */
export function estimateItemBytes(item: jobs.Item): number {
  const characters = item.headers.reduce((sum, text) => sum + text.length, 0);
  const scoringBytes = item.scoring?.body.length ?? 0;
  return ITEM_BYTES + item.body.length + scoringBytes + characters * CHARACTER_BYTES;
}

/** The phase of an item and the text generated so far. */
export class ItemProgress {
  phase: ItemPhase = ItemPhase.Waiting;

  /** Whether its result is in the job's list in the store. */
  isListed = false;

  /** Whether an earlier job left it unfinished; the trainer then waits for its group. */
  isCarriedOver = false;

  /** The data of the events received so far. */
  private data: string[] = [];

  /** The length of the text in the store. */
  private storedLength = 0;

  /** The memory that the text takes. */
  private memoryBytes = 0;

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
    private readonly reservation: intake.Reservation,
  ) {}

  /** @param reservation for the memory of its text */
  static create(item: jobs.Item, index: number, reservation: intake.Reservation): ItemProgress {
    return new ItemProgress(item, index, reservation);
  }

  get events(): readonly string[] {
    return this.data;
  }

  /** Adds the next event to the text; returns what ends the run when the text cannot go on. */
  addEvent(id: number, data: string): TextFault | undefined {
    const { maximumOutputTokens = Infinity } = this.item;
    if (this.data.length >= maximumOutputTokens) return TextFault.TooManyEvents;
    if (!this.reservation.tryGrow(estimateEventBytes(data))) return TextFault.NoMemory;
    this.appendData(data);
    this.lastEvent = id;
    return this.storedLength > MAXIMUM_TEXT_BYTES ? TextFault.TooLong : undefined;
  }

  private appendData(data: string): void {
    this.data.push(data);
    this.storedLength += Buffer.byteLength(JSON.stringify(data));
    this.memoryBytes += estimateEventBytes(data);
  }

  /** The newest version of the weights that produced an event. */
  get newestVersion(): number | undefined {
    return this.versions.size === 0 ? undefined : Math.max(...this.versions);
  }

  /** Discards the text, so that the next run generates it from its beginning. */
  reset(): void {
    this.reservation.shrink(this.memoryBytes);
    this.data = [];
    this.storedLength = 0;
    this.memoryBytes = 0;
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
    text.events.forEach((data) => this.appendData(data));
    this.reservation.grow(this.memoryBytes);
    if (this.storedLength > MAXIMUM_TEXT_BYTES) {
      this.reset();
      return;
    }
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

/** Estimates the memory of an event, in bytes. */
export function estimateEventBytes(data: string): number {
  return EVENT_BYTES + data.length * CHARACTER_BYTES;
}
