/**
 * The rows in which gateways agree on the trials of quarantined requests: one for each request that was
 * on trial. A gateway claims a trial by writing the row under the condition that nobody else did.
 */
import * as records from '../jobs/job-record';
import * as values from '../store/json-value';
import type * as stores from '../types/store';

/** The partition of all trials, in the table of notices that every gateway watches. */
export const TRIAL_PARTITION = '/request-trials';

const FINGERPRINT_PATTERN = /^[0-9a-f]{32}$/;

/** What a row tells about the trials of a request. */
export interface StoredTrial {
  readonly fingerprint: string;
  /** Whether a gateway has claimed a trial that has not ended. */
  readonly isRunning: boolean;
  /** The time of the store from which on any gateway may claim the next trial. */
  readonly nextMs: number;
  /** Trials that reached a replica and showed nothing. */
  readonly inconclusive: number;
}

export function locateTrial(fingerprint: string): stores.RowAddress {
  return { table: records.NOTICES_TABLE, partition: TRIAL_PARTITION, key: fingerprint };
}

export function encodeTrial({ fingerprint, ...trial }: StoredTrial): stores.RowWrite {
  const value = { ...trial, nextMs: Math.round(trial.nextMs) };
  return { ...locateTrial(fingerprint), value: Buffer.from(JSON.stringify(value)) };
}

/** Whether a row is in the place of a trial. */
export function isTrialRow({ partition, key }: stores.RowAddress): boolean {
  return partition === TRIAL_PARTITION && FINGERPRINT_PATTERN.test(key);
}

/** Decodes a row; one that no gateway can have written holds no trial back. */
export function decodeTrial(row: stores.Row): StoredTrial {
  const { isRunning, nextMs, inconclusive } = values.getFields(values.parseJson(row.value));
  return {
    fingerprint: row.key,
    isRunning: isRunning === true,
    nextMs: values.isNumber(nextMs) ? nextMs : 0,
    inconclusive: values.isWhole(inconclusive) ? inconclusive : 0,
  };
}
