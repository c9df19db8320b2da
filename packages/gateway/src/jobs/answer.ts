/**
 * The result of an operation on a batch job: a value, or a failure that says whether the operation
 * took effect.
 */
import * as decisions from '@azureworks/decisions';

/** A value, or the failure that is returned in its place. */
export type Answer<Value> =
  | { readonly isOk: true; readonly value: Value }
  | { readonly isOk: false; readonly failure: decisions.Failure };

/** An answer that holds a failure. */
export type FailedAnswer = Extract<Answer<never>, { readonly isOk: false }>;

/** When refused callers may retry; outages of the store are usually short. */
export const STORE_RETRY_AFTER_MS = 250;

/** Creates an answer that holds a failure. */
export function fail(code: decisions.ErrorCode, retryAfterMs?: number): FailedAnswer {
  const detail = retryAfterMs === undefined ? {} : { retryAfterMs };
  return { isOk: false, failure: decisions.createFailure(code, detail) };
}
