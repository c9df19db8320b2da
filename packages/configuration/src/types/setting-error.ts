/**
 * What is wrong with a setting, in enough detail to mend it without reading the code.
 */

/** One fault in a settings file. */
export interface SettingError {
  /** The name of the file. */
  readonly file: string;
  /** Section and key, for example `engine saran-lm / capacity`. */
  readonly key: string;
  /** The value that was found; undefined when it is missing. */
  readonly seen: string | undefined;
  /** What is allowed, in words. */
  readonly expected: string;
}

/** Shows an error on one line. */
export function formatSettingError(error: SettingError): string {
  const seen = error.seen === undefined ? 'nothing' : `"${error.seen}"`;
  return `${error.file}: ${error.key}: found ${seen}, expected ${error.expected}`;
}
