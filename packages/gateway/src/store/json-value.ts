/**
 * Checks of values that were read from rows. Another program may have written anything there.
 */

/** Parses JSON; undefined when the bytes are none. */
export function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    // The caller reports the row.
    return undefined;
  }
}

/** The fields of an object; none when the value is not an object. */
export function getFields(value: unknown): Readonly<Record<string, unknown>> {
  const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isObject ? (value as Record<string, unknown>) : {};
}

export function isText(value: unknown): value is string {
  return typeof value === 'string';
}

export function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(isText);
}

/** Whether a value is a number that arithmetic can use. */
export function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

/** Whether a value is a whole number from `minimum` to `maximum`. */
export function isWhole(
  value: unknown,
  minimum = 0,
  maximum = Number.MAX_SAFE_INTEGER,
): value is number {
  return (
    Number.isSafeInteger(value) && (value as number) >= minimum && (value as number) <= maximum
  );
}
