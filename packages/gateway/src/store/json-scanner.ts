/**
 * Finds the values within a JSON text without parsing it as a whole: the text of a batch job may take
 * tens of megabytes, and its objects several times as much. Each value is parsed by itself; what this
 * module does not check, such as the syntax within a value, that parse finds.
 */

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
export const COMMA = 0x2c;
const COLON = 0x3a;
export const ARRAY_START = 0x5b;
export const ARRAY_END = 0x5d;
const OBJECT_START = 0x7b;
const OBJECT_END = 0x7d;
const SPACES: ReadonlySet<number | undefined> = new Set([0x20, 0x09, 0x0a, 0x0d]);

/** Size limit of a value: to parse it takes several times as much memory. */
const MAXIMUM_VALUE_BYTES = 4 * 1024 * 1024;

/** The position of the next byte that is no white space; the length of the text when there is none. */
export function skipSpaces(text: Buffer, start: number): number {
  let position = start;
  while (SPACES.has(text[position])) position += 1;
  return position;
}

function findStringEnd(text: Buffer, start: number): number | undefined {
  for (let position = start + 1; position < text.length; position += 1) {
    const byte = text[position];
    if (byte === QUOTE) return position + 1;
    if (byte === BACKSLASH) position += 1;
  }
  return undefined;
}

/** The end of the value that begins at a position; undefined when the text ends before. */
export function findValueEnd(text: Buffer, start: number): number | undefined {
  let depth = 0;
  let position = start;
  while (position < text.length) {
    const byte = text[position];
    if (byte === QUOTE) {
      const end = findStringEnd(text, position);
      if (end === undefined || depth === 0) return end;
      position = end - 1;
    } else if (byte === OBJECT_START || byte === ARRAY_START) {
      depth += 1;
    } else if (byte === OBJECT_END || byte === ARRAY_END) {
      if (depth === 0) return position;
      depth -= 1;
      if (depth === 0) return position + 1;
    } else if (depth === 0 && (byte === COMMA || byte === COLON || SPACES.has(byte))) {
      return position;
    }
    position += 1;
  }
  return undefined;
}

/** A value, or an element of the array that is listed element by element. */
export type Member =
  | { readonly kind: 'value'; readonly name: string; readonly value: unknown }
  | { readonly kind: 'element'; readonly value: unknown };

class Cursor {
  position = 0;

  constructor(private readonly text: Buffer) {}

  get next(): number | undefined {
    this.position = skipSpaces(this.text, this.position);
    return this.text[this.position];
  }

  expect(byte: number): void {
    if (this.next !== byte)
      throw new SyntaxError(`no ${String.fromCharCode(byte)} at ${this.position}`);
    this.position += 1;
  }

  /** Skips a separator; returns false at the end of the object or array. */
  hasMore(end: number): boolean {
    if (this.next === end) {
      this.position += 1;
      return false;
    }
    this.expect(COMMA);
    return true;
  }

  parseValue(): unknown {
    const start = skipSpaces(this.text, this.position);
    const end = findValueEnd(this.text, start);
    if (end === undefined) throw new SyntaxError('the text ends within a value');
    if (end - start > MAXIMUM_VALUE_BYTES)
      throw new RangeError(`a value of more than ${MAXIMUM_VALUE_BYTES} bytes at ${start}`);
    this.position = end;
    return JSON.parse(this.text.toString('utf8', start, end)) as unknown;
  }
}

/**
 * Lists the members of an object, and the elements of its array `arrayName` one by one. Throws a
 * SyntaxError when the text is no object.
 */
export function* listMembers(text: Buffer, arrayName: string): Generator<Member> {
  const cursor = new Cursor(text);
  cursor.expect(OBJECT_START);
  let hasMore = cursor.next !== OBJECT_END;
  if (!hasMore) cursor.position += 1;
  while (hasMore) {
    const name = cursor.parseValue();
    if (typeof name !== 'string') throw new SyntaxError('the name of a member is no text');
    cursor.expect(COLON);
    if (name === arrayName && cursor.next === ARRAY_START) yield* listElements(cursor);
    else yield { kind: 'value', name, value: cursor.parseValue() };
    hasMore = cursor.hasMore(OBJECT_END);
  }
  if (cursor.next !== undefined) throw new SyntaxError(`more text at ${cursor.position}`);
}

function* listElements(cursor: Cursor): Generator<Member> {
  cursor.expect(ARRAY_START);
  let hasMore = cursor.next !== ARRAY_END;
  if (!hasMore) cursor.position += 1;
  while (hasMore) {
    yield { kind: 'element', value: cursor.parseValue() };
    hasMore = cursor.hasMore(ARRAY_END);
  }
}
