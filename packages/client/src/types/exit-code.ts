/**
 * Exit codes of the command line.
 */

export const ExitCode = {
  Done: 0,
  Failed: 1,
  /** The configuration or the command line is invalid. */
  Invalid: 2,
  /** Another change to the same file was accepted first. */
  Conflict: 3,
  /** It is unknown whether the change was accepted. */
  Unknown: 4,
  /** No entry or store could be reached; nothing was changed. */
  Unreachable: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
