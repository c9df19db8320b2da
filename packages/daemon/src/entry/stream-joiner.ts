/**
 * Joins the parts of a streamed answer so that the caller sees one stream without a seam.
 *
 * Only whole server-sent events are passed on. While a single target produces the answer, events
 * are never parsed. When an answer breaks off, what was passed on tells where the next target must
 * resume, and the summary at the end is rewritten to name the weight versions of every part.
 */

const EVENT_END = Buffer.from('\n\n');
const STREAM_END = Buffer.from('data: [DONE]\n\n');
const SUMMARY_EVENT = 'event: summary';

/** What a streamed answer said about itself. */
export interface StreamSummary {
  /** Every weight version that produced a part; null stands for an unknown one. */
  readonly weightVersions: readonly (number | null)[];
  readonly totalTokens: number;
}

/** Where a broken answer is to be resumed. */
export interface ResumePoint {
  /** The id of the last whole event, as the engine gave it. */
  readonly lastEventId: string;
  /** The text so far. */
  readonly text: string;
}

interface ParsedEvent {
  readonly id?: string;
  readonly data: Readonly<Record<string, unknown>>;
}

/** Collects one answer from one or more streams. */
export class StreamJoiner {
  private readonly passed: Buffer[] = [];

  private passedBytes = 0;

  private carry: Buffer | undefined;

  private isResumed = false;

  static create(): StreamJoiner {
    return new StreamJoiner();
  }

  /** Bytes passed on so far. */
  get size(): number {
    return this.passedBytes;
  }

  /** Takes bytes as they arrive; returns the whole events among them, if any. */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.carry ? Buffer.concat([this.carry, chunk]) : chunk;
    const end = bytes.lastIndexOf(EVENT_END);
    if (end === -1) {
      this.carry = bytes;
      return undefined;
    }
    const cut = end + EVENT_END.length;
    this.carry = cut === bytes.length ? undefined : bytes.subarray(cut);
    const whole = cut === bytes.length ? bytes : bytes.subarray(0, cut);
    return this.pass(this.isResumed ? this.rewriteSummary(whole) : whole);
  }

  /** Whether the answer is complete. */
  isComplete(): boolean {
    if (this.carry || this.passed.length === 0) return false;
    const tail = Buffer.concat(this.passed.slice(-2));
    return tail.subarray(-STREAM_END.length).equals(STREAM_END);
  }

  /** Drops the broken event at the end and returns where to go on; undefined from the beginning. */
  breakOff(): ResumePoint | undefined {
    this.carry = undefined;
    const events = this.parse();
    const lastEventId = events.findLast((event) => event.id !== undefined)?.id;
    if (lastEventId === undefined) return undefined;
    this.isResumed = true;
    const text = events.map((event) => String(event.data.text ?? '')).join('');
    return { lastEventId, text };
  }

  /** What the answer says about itself, once it is complete. */
  summarize(): StreamSummary {
    const { weight_versions: versions, total_tokens: tokens } = this.findSummary();
    return {
      weightVersions: Array.isArray(versions) ? (versions as (number | null)[]) : [],
      totalTokens: typeof tokens === 'number' ? tokens : 0,
    };
  }

  /** The weight version of the first event; undefined before it has come. */
  readFirstVersion(): number | undefined {
    if (this.passed.length === 0) return undefined;
    const first = this.passed[0].toString('utf8').split('\n\n')[0];
    const version = parseEvent(first).data.weight_version;
    return typeof version === 'number' ? version : undefined;
  }

  /** The whole text of the answer. */
  readText(): string {
    return this.parse()
      .map((event) => String(event.data.text ?? ''))
      .join('');
  }

  private pass(bytes: Buffer): Buffer {
    this.passed.push(bytes);
    this.passedBytes += bytes.length;
    return bytes;
  }

  private findSummary(): Readonly<Record<string, unknown>> {
    const summary = this.parse().findLast((event) => 'weight_versions' in event.data);
    return summary?.data ?? {};
  }

  /** Adds the weight versions of the earlier parts to the summary of the last one. */
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
    return Buffer.concat(this.passed)
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
