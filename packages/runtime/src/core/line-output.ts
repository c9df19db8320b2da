/**
 * Writes lines to a stream without ever blocking. Lines are dropped and counted when they exceed the
 * rate limit, when the reader is too slow, and after the reader has closed the stream. Once lines can
 * be written again, a line with the number of dropped lines comes first.
 */
import * as stream from 'node:stream';

/** Bytes that may be buffered for a slow reader: a few seconds of lines at the full rate. */
const MAXIMUM_BUFFERED_BYTES = 1_000_000;
/** Sustained rate limit of lines, and the number of lines that may be written in a burst. */
const LINES_PER_SECOND = 500;
const MAXIMUM_BURST_LINES = 2000;
const MILLISECONDS_PER_SECOND = 1000;

/** A destination of log lines with a rate limit and a bounded buffer. */
export class LineOutput {
  /** The stream to write lines to. */
  readonly writable: stream.Writable;

  private droppedLines = 0;

  private reportedLines = 0;

  private isBroken = false;

  private tokens = MAXIMUM_BURST_LINES;

  private lastRefillMs: number;

  private constructor(
    private readonly destination: NodeJS.WritableStream,
    private readonly nowMs: () => number,
  ) {
    this.lastRefillMs = nowMs();
    this.writable = new stream.Writable({
      decodeStrings: false,
      write: (line: string | Buffer, _encoding, done) => {
        this.write(line);
        done();
      },
    });
    destination.on('error', () => {
      // The reader is gone; the process continues without a log and counts the dropped lines.
      this.isBroken = true;
    });
  }

  /** @param nowMs a monotonic clock */
  static create(destination: NodeJS.WritableStream, nowMs: () => number): LineOutput {
    return new LineOutput(destination, nowMs);
  }

  /** The number of lines dropped so far. */
  get droppedLineCount(): number {
    return this.droppedLines;
  }

  private write(line: string | Buffer): void {
    if (!this.tryTakeToken()) {
      this.droppedLines += 1;
      return;
    }
    if (this.droppedLines > this.reportedLines) this.writeDropReport();
    this.destination.write(line);
  }

  private writeDropReport(): void {
    const count = this.droppedLines - this.reportedLines;
    this.reportedLines = this.droppedLines;
    const fields = {
      level: 'warn',
      message: 'log lines left out',
      count,
      total: this.droppedLines,
    };
    this.destination.write(`${JSON.stringify(fields)}\n`);
  }

  /** Takes a token of the rate limit; returns false when the line must be dropped. */
  private tryTakeToken(): boolean {
    if (this.isBroken || this.countBufferedBytes() > MAXIMUM_BUFFERED_BYTES) return false;
    const nowMs = this.nowMs();
    const newTokens = ((nowMs - this.lastRefillMs) * LINES_PER_SECOND) / MILLISECONDS_PER_SECOND;
    this.lastRefillMs = nowMs;
    this.tokens = Math.min(MAXIMUM_BURST_LINES, this.tokens + newTokens);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private countBufferedBytes(): number {
    return (this.destination as Partial<stream.Writable>).writableLength ?? 0;
  }
}
