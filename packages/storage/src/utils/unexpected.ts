/**
 * Answers of the platform that its published protocol does not know.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as store from '../types/store';
import type * as http from './http';

/** An answer that the protocol does not know. */
export function createUnexpected(answer: http.Answer): neverthrow.Err<never, store.StoreFailure> {
  return neverthrow.err({
    kind: store.StoreFailureKind.Unavailable,
    verdict: decisions.VerdictKind.MayHaveRun,
    message: `the platform answered ${answer.status} unexpectedly`,
  });
}
