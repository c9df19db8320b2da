/**
 * Exit codes of the command line.
 */

/** What the exit code says. */
export const ExitCode = {
  Done: 0,
  Failed: 1,
  /** The configuration or the command is not valid. */
  Invalid: 2,
  /** Another change was accepted first. */
  Conflict: 3,
  /** It could not be learned whether the change was accepted. */
  Unknown: 4,
  /** No entry or store could be reached; nothing was changed. */
  Unreachable: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
