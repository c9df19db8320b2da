/**
 * Finds out whether a transaction took effect when its answer was lost.
 *
 * The transaction is sent again under the same conditions, so it takes effect once at most. When
 * an earlier sending may have taken effect and a later one meets a conflict, the marker row tells:
 * its value is unlike any other writer's, so finding it means that the transaction is in force.
 */
import * as stores from '../types/store';

/** How hard to try. */
export interface SettleOptions {
  /** How long to go on, in milliseconds. */
  readonly limitMs: number;
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
  /** Uniform in [0, 1); spreads the pauses of several processes. */
  readonly random: () => number;
}

/** Pauses between sendings that the store refused; doubled up to the longest. */
const FIRST_PAUSE_MS = 40;
const LONGEST_PAUSE_MS = 400;

/**
 * Sends `transaction` until its outcome is known or the time is up.
 * @param marker the row written by the transaction whose value no other transaction writes
 */
export async function settleTransaction(
  store: stores.Store,
  transaction: stores.Transaction,
  marker: stores.RowWrite,
  options: SettleOptions,
): Promise<stores.TransactionOutcome> {
  const endMs = options.nowMs() + options.limitMs;
  let mayBeDone = false;
  let pauseMs = FIRST_PAUSE_MS;
  for (;;) {
    const outcome = await store.transact(transaction);
    if (outcome.status === stores.StoreStatus.Done) return outcome;
    if (outcome.status === stores.StoreStatus.Conflict) {
      const own = mayBeDone ? findMarker(outcome.rows, marker) : undefined;
      return own ? { status: stores.StoreStatus.Done, revision: own.revision } : outcome;
    }
    if (outcome.status === stores.StoreStatus.Unknown) mayBeDone = true;
    if (options.nowMs() + pauseMs >= endMs) {
      return mayBeDone ? { ...outcome, status: stores.StoreStatus.Unknown } : outcome;
    }
    await options.pause(pauseMs * (0.5 + options.random()));
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  }
}

function findMarker(rows: readonly stores.Row[], marker: stores.RowWrite): stores.Row | undefined {
  return rows.find(
    (row) => row.table === marker.table && row.key === marker.key && row.value.equals(marker.value),
  );
}
