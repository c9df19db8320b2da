/**
 * What a status means for the response that it heads. HTTP has the statuses from 100 to 599; a process in
 * trouble may send any number, which then tells nothing of what it did with the request.
 */

/** The kinds of responses. */
export const StatusKind = {
  /** Another response to the same request follows. */
  Informational: 'informational',
  Final: 'final',
  /** No status of HTTP: there is no telling what follows, or whether the request has run. */
  Invalid: 'invalid',
} as const;

export type StatusKind = (typeof StatusKind)[keyof typeof StatusKind];

const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

export function classifyStatus(status: number): StatusKind {
  if (status < FIRST_STATUS || status > LAST_STATUS) return StatusKind.Invalid;
  return status < FIRST_FINAL_STATUS ? StatusKind.Informational : StatusKind.Final;
}
