/**
 * The failure for a response whose status the published protocol of the platform does not define.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as store from '../types/store';
import type * as http from './http';

/** Creates the failure. The status does not tell whether the request has taken effect. */
export function createUnexpectedStatusError(
  response: http.StorageResponse,
): neverthrow.Err<never, store.StoreFailure> {
  return neverthrow.err({
    kind: store.StoreFailureKind.Unavailable,
    verdict: decisions.VerdictKind.MayHaveRun,
    message: `the platform returned the unexpected status ${response.status}`,
  });
}
