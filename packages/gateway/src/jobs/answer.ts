/**
 * What operations on batch jobs end with: a value, or a failure that says whether anything happened.
 */
import * as decisions from '@azureworks/decisions';

/** An answer, or the reason why there is none. */
export type Answer<Value> =
  | { readonly isOk: true; readonly value: Value }
  | { readonly isOk: false; readonly failure: decisions.Failure };

/** An answer that is a failure. */
export type FailedAnswer = Extract<Answer<never>, { readonly isOk: false }>;

/** When a caller that was refused may come back: a lapse of the store is usually short. */
export const STORE_RETRY_MS = 250;

/** Ends an operation with a failure. */
export function fail(code: decisions.ErrorCode, retryAfterMs?: number): FailedAnswer {
  const detail = retryAfterMs === undefined ? {} : { retryAfterMs };
  return { isOk: false, failure: decisions.createFailure(code, detail) };
}
