/**
 * Field types shared by the schemas. Each field type converts the text of an INI value to a typed
 * value, and its error message describes the allowed values.
 */
import * as zod from 'zod';

/** A whole number between two bounds, inclusive. */
export function integer(minimum: number, maximum: number) {
  const expected = `a whole number from ${minimum} to ${maximum}`;
  return zod
    .string()
    .regex(/^-?\d+$/, expected)
    .transform(Number)
    .refine((value) => value >= minimum && value <= maximum, expected);
}

/** A number between two bounds, inclusive. */
export function decimal(minimum: number, maximum: number) {
  const expected = `a number from ${minimum} to ${maximum}`;
  return zod
    .string()
    .regex(/^-?\d+(\.\d+)?$/, expected)
    .transform(Number)
    .refine((value) => value >= minimum && value <= maximum, expected);
}

/** A name: letters, digits, hyphens and underscores. */
export function name() {
  return zod.string().regex(/^[\w-]+$/, 'a name of letters, digits, hyphens and underscores');
}

/** One of a fixed set of values. */
export function oneOf<const T extends readonly [string, ...string[]]>(words: T) {
  return zod.enum(words, { error: `one of ${words.join(', ')}` });
}

/** A comma-separated list; may be empty. */
export function commaSeparated() {
  return zod.string().transform((text) =>
    text
      .split(',')
      .map((item) => item.trim())
      .filter((item) => item !== ''),
  );
}

/** An HTTP base URL with an IP address and a port. */
export function url() {
  return zod
    .string()
    .regex(/^https?:\/\/(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/, 'http://IP-ADDRESS:PORT');
}

export function ipAddress() {
  return zod.string().regex(/^(\d+\.\d+\.\d+\.\d+|[0-9a-f:]+)$/, 'an IP address');
}

export function boolean() {
  return zod
    .enum(['true', 'false'], { error: 'true or false' })
    .transform((text) => text === 'true');
}

export function filePath() {
  return zod.string().min(1, 'the path of a file');
}
