/**
 * What an answer of a replica lets a gateway say to its caller, for every kind of request.
 *
 * Load pattern: a replica that is healthy by its checks answers part of its requests, after it began to
 * run them, with a status that promises callers the contrary. An answer that does say that the request did
 * not run never gets here, as the call then ends as not run. What gets here may have run, so a status that
 * promises the contrary is not passed on, and neither is a success that the replica has not signed.
 */
import * as decisions from '@azureworks/decisions';

const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;

/** The head of an answer, or the answer itself. */
interface AnswerHead {
  readonly status: number;
  readonly signature: string | undefined;
}

/** Whether an answer is a success that the replica vouches for. */
export function isSignedSuccess({ status, signature }: AnswerHead): boolean {
  return isSuccess(status) && signature !== undefined;
}

/** Whether the caller may get an answer as it is; otherwise it is told that the request may have run. */
export function mayPassOn(answer: AnswerHead): boolean {
  if (isSuccess(answer.status)) return isSignedSuccess(answer);
  return !decisions.promisesNotRun(answer.status);
}

function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS_STATUS && status <= LAST_SUCCESS_STATUS;
}
