/**
 * Retries a transaction until its outcome is known, also when answers are lost.
 *
 * Every attempt has the same conditions, so the transaction takes effect at most once. If an
 * attempt without an answer is followed by a conflict, the marker row shows whether that attempt
 * took effect: no other transaction writes the same value to it.
 */
import * as stores from '../types/store';

/** Limits and timing of the retries. */
export interface RetryOptions {
  /** How long to retry, in milliseconds. */
  readonly limitMs: number;
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
  /** Uniform in [0, 1); jitter for the backoff. */
  readonly random: () => number;
}

/** Backoff between attempts; doubles with each attempt. */
const MINIMUM_BACKOFF_MS = 40;
const MAXIMUM_BACKOFF_MS = 400;

/**
 * Sends `transaction` until its outcome is known or the time limit is reached.
 * @param marker a row that the transaction writes, with a value that no other transaction writes
 */
export async function transactWithRetries(
  store: stores.Store,
  transaction: stores.Transaction,
  marker: stores.RowWrite,
  options: RetryOptions,
): Promise<stores.TransactionOutcome> {
  const endMs = options.nowMs() + options.limitMs;
  let mayHaveTakenEffect = false;
  let backoffMs = MINIMUM_BACKOFF_MS;
  for (;;) {
    const outcome = await store.transact(transaction);
    if (outcome.status === stores.StoreStatus.Done) return outcome;
    if (outcome.status === stores.StoreStatus.Conflict) {
      const markerRow = mayHaveTakenEffect ? findMarker(outcome.rows, marker) : undefined;
      return markerRow
        ? { status: stores.StoreStatus.Done, revision: markerRow.revision }
        : outcome;
    }
    if (outcome.status === stores.StoreStatus.Unknown) mayHaveTakenEffect = true;
    if (options.nowMs() + backoffMs >= endMs) {
      return mayHaveTakenEffect ? { ...outcome, status: stores.StoreStatus.Unknown } : outcome;
    }
    await options.pause(backoffMs * (0.5 + options.random()));
    backoffMs = Math.min(MAXIMUM_BACKOFF_MS, backoffMs * 2);
  }
}

function findMarker(rows: readonly stores.Row[], marker: stores.RowWrite): stores.Row | undefined {
  return rows.find(
    (row) => row.table === marker.table && row.key === marker.key && row.value.equals(marker.value),
  );
}
