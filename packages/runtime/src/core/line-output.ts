/**
 * Writes lines to a stream without ever waiting for it: lines that come too fast, that a reader
 * does not take, or that come after the reader is gone are left out and counted, and the count is
 * written as a line of its own once lines get through again.
 */
import * as stream from 'node:stream';

/** Bytes that may wait for a slow reader; a few seconds of lines at the full rate. */
const MOST_WAITING_BYTES = 1_000_000;
/** Lines a second that may be written over time, and lines that may come at once. */
const LINES_A_SECOND = 500;
const MOST_AT_ONCE = 2000;
const MILLISECONDS_A_SECOND = 1000;

/** A destination of log lines. */
export class LineOutput {
  /** Takes lines. */
  readonly writable: stream.Writable;

  private leftOut = 0;

  private reported = 0;

  private isBroken = false;

  private tokens = MOST_AT_ONCE;

  private refilledMs: number;

  private constructor(
    private readonly destination: NodeJS.WritableStream,
    private readonly nowMs: () => number,
  ) {
    this.refilledMs = nowMs();
    this.writable = new stream.Writable({
      decodeStrings: false,
      write: (line: string | Buffer, _encoding, done) => {
        this.write(line);
        done();
      },
    });
    destination.on('error', () => {
      // Nobody reads any more; the process goes on without a log and counts what is left out.
      this.isBroken = true;
    });
  }

  /** @param nowMs a monotonic clock */
  static create(destination: NodeJS.WritableStream, nowMs: () => number): LineOutput {
    return new LineOutput(destination, nowMs);
  }

  /** The number of lines left out so far. */
  get leftOutCount(): number {
    return this.leftOut;
  }

  private write(line: string | Buffer): void {
    if (!this.hasRoom()) {
      this.leftOut += 1;
      return;
    }
    if (this.leftOut > this.reported) this.report();
    this.destination.write(line);
  }

  private report(): void {
    const count = this.leftOut - this.reported;
    this.reported = this.leftOut;
    const fields = { level: 'warn', message: 'log lines left out', count, total: this.leftOut };
    this.destination.write(`${JSON.stringify(fields)}\n`);
  }

  private hasRoom(): boolean {
    if (this.isBroken || this.countWaiting() > MOST_WAITING_BYTES) return false;
    const nowMs = this.nowMs();
    const gained = ((nowMs - this.refilledMs) * LINES_A_SECOND) / MILLISECONDS_A_SECOND;
    this.refilledMs = nowMs;
    this.tokens = Math.min(MOST_AT_ONCE, this.tokens + gained);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private countWaiting(): number {
    return (this.destination as Partial<stream.Writable>).writableLength ?? 0;
  }
}
