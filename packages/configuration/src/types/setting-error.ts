/**
 * Errors in settings files, with enough detail to correct them without reading the code.
 */

/** One error in a settings file. */
export interface SettingError {
  readonly file: string;
  /** Section and key, for example `engine saran-lm / capacity`, or the title of a section in brackets. */
  readonly key: string;
  /** The value in the file; undefined when it is missing. */
  readonly seen: string | undefined;
  /** A description of the allowed values. */
  readonly expected: string;
}

/** Formats an error as one line. */
export function formatSettingError(error: SettingError): string {
  const seen = error.seen === undefined ? 'nothing' : `"${error.seen}"`;
  return `${error.file}: ${error.key}: found ${seen}, expected ${error.expected}`;
}
