/**
 * Searches a byte stream for a pattern, including matches that span several chunks.
 */

/** Searches one byte stream. */
export class ByteSearch {
  private tail: Buffer = Buffer.alloc(0);

  private constructor(private readonly pattern: Buffer) {}

  static create(pattern: Buffer): ByteSearch {
    return new ByteSearch(pattern);
  }

  /** Adds the next chunk; returns whether an occurrence of the pattern ends in it. */
  push(chunk: Buffer): boolean {
    const { length } = this.pattern;
    const boundary = Buffer.concat([this.tail, chunk.subarray(0, length - 1)]);
    const isFound = chunk.includes(this.pattern) || boundary.includes(this.pattern);
    const recent = chunk.length >= length ? chunk : Buffer.concat([this.tail, chunk]);
    this.tail = Buffer.from(recent.subarray(Math.max(0, recent.length - length + 1)));
    return isFound;
  }
}
