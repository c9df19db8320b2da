/**
 * Field types shared by the schemas. Values in INI files are text; every field turns text into a
 * typed value and describes what it expects in words.
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

/** One of a fixed set of words. */
export function word<const T extends readonly [string, ...string[]]>(words: T) {
  return zod.enum(words, { error: `one of ${words.join(', ')}` });
}

/** A comma-separated list of words; may be empty. */
export function list() {
  return zod.string().transform((text) =>
    text
      .split(',')
      .map((item) => item.trim())
      .filter((item) => item !== ''),
  );
}

/** An http URL on an IP address. */
export function url() {
  return zod
    .string()
    .regex(/^https?:\/\/(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/, 'http://IP-ADDRESS:PORT');
}

/** An IP address. */
export function address() {
  return zod.string().regex(/^(\d+\.\d+\.\d+\.\d+|[0-9a-f:]+)$/, 'an IP address');
}

/** A switch. */
export function flag() {
  return zod
    .enum(['true', 'false'], { error: 'true or false' })
    .transform((text) => text === 'true');
}

/** The path of a file. */
export function path() {
  return zod.string().min(1, 'the path of a file');
}
