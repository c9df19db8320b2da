/**
 * Looks for a mark in bytes that arrive in pieces, also where a piece ends in the middle of it.
 */

/** Searches one stream of bytes. */
export class ByteSearch {
  private tail: Buffer = Buffer.alloc(0);

  private constructor(private readonly mark: Buffer) {}

  static create(mark: Buffer): ByteSearch {
    return new ByteSearch(mark);
  }

  /** Takes the next piece; returns whether the mark ends in it. */
  push(piece: Buffer): boolean {
    const { length } = this.mark;
    const seam = Buffer.concat([this.tail, piece.subarray(0, length - 1)]);
    const isFound = piece.includes(this.mark) || seam.includes(this.mark);
    const kept = piece.length >= length ? piece : Buffer.concat([this.tail, piece]);
    this.tail = Buffer.from(kept.subarray(Math.max(0, kept.length - length + 1)));
    return isFound;
  }
}
