/**
 * Reads a JSON array whose text arrives in pieces, element by element.
 */
import * as scanner from './json-scanner';

/** Reads the elements of an array whose text arrives in pieces. */
export class ArrayReader {
  private rest: Buffer = Buffer.alloc(0);

  private pieces: Buffer[] = [];

  private pieceBytes = 0;

  private state: 'start' | 'first' | 'separator' | 'element' | 'end' = 'start';

  static create(): ArrayReader {
    return new ArrayReader();
  }

  /** Whether the array has ended. */
  get isComplete(): boolean {
    return this.state === 'end';
  }

  /** Bytes of an element that has not arrived as a whole. */
  get pendingBytes(): number {
    return this.rest.length + this.pieceBytes;
  }

  /** Returns the elements that the next bytes complete; throws a SyntaxError when they cannot. */
  read(bytes: Buffer): unknown[] {
    this.pieces.push(bytes);
    this.pieceBytes += bytes.length;
    // A long element is searched again only when twice as much of it is there.
    if (this.pieceBytes < this.rest.length && bytes[bytes.length - 1] !== scanner.ARRAY_END)
      return [];
    const text = Buffer.concat([this.rest, ...this.pieces]);
    this.pieces = [];
    this.pieceBytes = 0;
    const elements: unknown[] = [];
    let position = 0;
    for (;;) {
      position = scanner.skipSpaces(text, position);
      const end = position < text.length ? this.advance(text, position, elements) : undefined;
      if (end === undefined) break;
      position = end;
    }
    this.rest = text.subarray(position);
    return elements;
  }

  /** Handles what is at a position; returns where to go on, or undefined to wait for more bytes. */
  private advance(text: Buffer, position: number, elements: unknown[]): number | undefined {
    const byte = text[position];
    if (this.state === 'end') throw new SyntaxError('more text after an array');
    if (this.state === 'start') {
      if (byte !== scanner.ARRAY_START) throw new SyntaxError('no array');
      this.state = 'first';
      return position + 1;
    }
    if (byte === scanner.ARRAY_END && this.state !== 'element') {
      this.state = 'end';
      return position + 1;
    }
    if (this.state === 'separator') {
      if (byte !== scanner.COMMA) throw new SyntaxError('no separator in an array');
      this.state = 'element';
      return position + 1;
    }
    const end = scanner.findValueEnd(text, position);
    if (end === undefined) return undefined;
    elements.push(JSON.parse(text.toString('utf8', position, end)));
    this.state = 'separator';
    return end;
  }
}
