/**
 * Joins the parts of a streamed answer from several targets into one continuous stream.
 *
 * Only complete server-sent events are forwarded. They are not parsed while a single target
 * produces the answer. When a stream breaks off, the point where the next target must resume is
 * derived from the forwarded events, and the final summary is rewritten to list the weight versions
 * of all parts.
 */

const EVENT_END = Buffer.from('\n\n');
const LINE_FEED = 0x0a;
/** Limits of one incomplete event; a target that exceeds them sends bytes without end. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;
const MAXIMUM_EVENT_PIECES = 65_536;
/** Size limit of a whole answer, in bytes; it is kept until the answer is complete. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;
const STREAM_END = Buffer.from('data: [DONE]\n\n');
const SUMMARY_EVENT = 'event: summary';

/** The summary at the end of a streamed answer. */
export interface StreamSummary {
  /** All weight versions that produced a part of the answer; null for an unknown version. */
  readonly weightVersions: readonly (number | null)[];
  readonly totalTokens: number;
}

/** Where to resume an answer that broke off. */
export interface ResumePoint {
  /** The id of the last complete event, as sent by the engine. */
  readonly lastEventId: string;
  /** The text so far. */
  readonly text: string;
}

interface ParsedEvent {
  readonly id?: string;
  readonly data: Readonly<Record<string, unknown>>;
}

/** Joins and collects the streams of one answer. */
export class StreamJoiner {
  private readonly forwarded: Buffer[] = [];

  private forwardedBytes = 0;

  private partialEvent: Buffer[] = [];

  private partialBytes = 0;

  private isResumed = false;

  static create(): StreamJoiner {
    return new StreamJoiner();
  }

  /** Bytes forwarded so far. */
  get size(): number {
    return this.forwardedBytes;
  }

  /** Whether the answer exceeds a limit, so that it has to be abandoned. */
  get isOversized(): boolean {
    if (this.forwardedBytes > MAXIMUM_ANSWER_BYTES) return true;
    return (
      this.partialBytes > MAXIMUM_EVENT_BYTES || this.partialEvent.length > MAXIMUM_EVENT_PIECES
    );
  }

  /**
   * Accepts received bytes; returns the complete events, if any. Only the new bytes are searched, so
   * that an event in many pieces takes no more time than one in a single piece.
   */
  push(chunk: Buffer): Buffer | undefined {
    const endOffset = this.findLastEnd(chunk);
    if (endOffset === 0) {
      this.partialEvent.push(chunk);
      this.partialBytes += chunk.length;
      return undefined;
    }
    const lastBytes = endOffset === chunk.length ? chunk : chunk.subarray(0, endOffset);
    const wholeEvents =
      this.partialEvent.length === 0 ? lastBytes : Buffer.concat([...this.partialEvent, lastBytes]);
    this.dropPartialEvent();
    if (endOffset < chunk.length) {
      this.partialEvent.push(chunk.subarray(endOffset));
      this.partialBytes = chunk.length - endOffset;
    }
    return this.forward(this.isResumed ? this.rewriteSummary(wholeEvents) : wholeEvents);
  }

  /** Whether the answer is complete. */
  isComplete(): boolean {
    if (this.partialBytes > 0 || this.forwarded.length === 0) return false;
    const tail = Buffer.concat(this.forwarded.slice(-2));
    return tail.subarray(-STREAM_END.length).equals(STREAM_END);
  }

  /** Discards the whole answer, so that the next target begins it anew. */
  discard(): void {
    this.dropPartialEvent();
    this.forwarded.length = 0;
    this.forwardedBytes = 0;
    this.isResumed = false;
  }

  /** Drops a partial event; returns where to resume, or undefined to start from the beginning. */
  prepareResume(): ResumePoint | undefined {
    this.dropPartialEvent();
    const events = this.parse();
    const lastEventId = events.findLast((event) => event.id !== undefined)?.id;
    if (lastEventId === undefined) return undefined;
    this.isResumed = true;
    const text = events.map((event) => String(event.data.text ?? '')).join('');
    return { lastEventId, text };
  }

  /** Reads the summary of a complete answer. */
  summarize(): StreamSummary {
    const { weight_versions: versions, total_tokens: tokens } = this.findSummary();
    return {
      weightVersions: Array.isArray(versions) ? (versions as (number | null)[]) : [],
      totalTokens: typeof tokens === 'number' ? tokens : 0,
    };
  }

  /** The weight version of the first event; undefined before that arrives. */
  readFirstVersion(): number | undefined {
    if (this.forwarded.length === 0) return undefined;
    const first = this.forwarded[0].toString('utf8').split('\n\n')[0];
    const version = parseEvent(first).data.weight_version;
    return typeof version === 'number' ? version : undefined;
  }

  /** The text of all events so far. */
  readText(): string {
    return this.parse()
      .map((event) => String(event.data.text ?? ''))
      .join('');
  }

  /** The position after the last terminator; it may have begun in the partial event. 0: none. */
  private findLastEnd(chunk: Buffer): number {
    const start = chunk.lastIndexOf(EVENT_END);
    if (start >= 0) return start + EVENT_END.length;
    const isSplit = this.partialEvent.at(-1)?.at(-1) === LINE_FEED && chunk[0] === LINE_FEED;
    return isSplit ? 1 : 0;
  }

  private dropPartialEvent(): void {
    this.partialEvent = [];
    this.partialBytes = 0;
  }

  private forward(bytes: Buffer): Buffer {
    this.forwarded.push(bytes);
    this.forwardedBytes += bytes.length;
    return bytes;
  }

  private findSummary(): Readonly<Record<string, unknown>> {
    const summary = this.parse().findLast((event) => 'weight_versions' in event.data);
    return summary?.data ?? {};
  }

  /** Adds the weight versions of earlier parts to the summary. */
  private rewriteSummary(bytes: Buffer): Buffer {
    const text = bytes.toString('utf8');
    if (!text.includes(SUMMARY_EVENT)) return bytes;
    const earlier = listVersions(this.parse());
    const events = text.split('\n\n').map((event) => {
      if (!event.startsWith(SUMMARY_EVENT)) return event;
      const summary = parseEvent(event).data;
      const latest = Array.isArray(summary.weight_versions) ? summary.weight_versions : [];
      const versions = [...new Set([...earlier, ...latest])];
      return `${SUMMARY_EVENT}\ndata: ${JSON.stringify({ ...summary, weight_versions: versions })}`;
    });
    return Buffer.from(events.join('\n\n'));
  }

  private parse(): ParsedEvent[] {
    return Buffer.concat(this.forwarded)
      .toString('utf8')
      .split('\n\n')
      .filter((event) => event !== '')
      .map(parseEvent);
  }
}

function parseEvent(event: string): ParsedEvent {
  const lines = event.split('\n');
  const id = lines.find((line) => line.startsWith('id: '))?.slice('id: '.length);
  const text = lines.find((line) => line.startsWith('data: '))?.slice('data: '.length);
  return { ...(id !== undefined && { id }), data: parseData(text) };
}

function parseData(text: string | undefined): Readonly<Record<string, unknown>> {
  if (!text?.startsWith('{')) return {};
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return {};
  }
}

function listVersions(events: readonly ParsedEvent[]): unknown[] {
  return events
    .filter((event) => 'weight_version' in event.data)
    .map((event) => event.data.weight_version);
}
