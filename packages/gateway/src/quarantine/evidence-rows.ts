/**
 * The rows in which gateways share evidence against requests: one for each pair of a request and a
 * replica that ended under it. Rows of several gateways merge without conditions.
 */
import * as crypto from 'node:crypto';
import type * as decisions from '@azureworks/decisions';
import * as records from '../jobs/job-record';
import * as values from '../store/json-value';
import type * as stores from '../types/store';

/**
 * The partition of all evidence, in the table of notices that every gateway watches. The other
 * partitions are named by the ids of jobs.
 */
export const EVIDENCE_PARTITION = '/ended-replicas';

/** All rows of evidence. */
export const EVIDENCE_RANGE: stores.RowRange = {
  table: records.NOTICES_TABLE,
  partition: EVIDENCE_PARTITION,
};

const REPLICA_HASH_LENGTH = 16;
const FINGERPRINT_PATTERN = /^[0-9a-f]{32}$/;

/** Evidence with the time of the store at which the replica ended. */
export interface StoredEvidence {
  readonly fingerprint: string;
  readonly replica: string;
  readonly endedMs: number;
  /** The attempt that the replica was running; rows of older gateways do not name it. */
  readonly attempt?: string | undefined;
  /** The failure domain of the replica; rows of older gateways do not name it. */
  readonly failureDomain?: string | undefined;
  /** How long the request had run there; rows of older gateways do not tell it. */
  readonly runMs?: number | undefined;
  /** Whether the request was on trial; absent when it was not. */
  readonly isOnTrial?: boolean | undefined;
}

/** The address of a row; it depends on the request and the replica only. */
export function locateEvidence(fingerprint: string, replica: string): stores.RowAddress {
  const replicaHash = crypto.createHash('sha256').update(replica).digest('hex');
  const key = `${fingerprint}.${replicaHash.slice(0, REPLICA_HASH_LENGTH)}`;
  return { table: records.NOTICES_TABLE, partition: EVIDENCE_PARTITION, key };
}

export function encodeEvidence(evidence: StoredEvidence): stores.RowWrite {
  const { fingerprint, replica, endedMs, attempt, failureDomain, runMs, isOnTrial } = evidence;
  const value = {
    replica,
    endedMs: Math.round(endedMs),
    attempt,
    failureDomain,
    ...(runMs !== undefined && { runMs: Math.round(runMs) }),
    ...(isOnTrial && { isOnTrial }),
  };
  return { ...locateEvidence(fingerprint, replica), value: Buffer.from(JSON.stringify(value)) };
}

/** Decodes a row; undefined when no gateway can have written it. */
export function decodeEvidence(row: stores.Row): StoredEvidence | undefined {
  const fingerprint = row.key.split('.')[0] ?? '';
  if (!FINGERPRINT_PATTERN.test(fingerprint)) return undefined;
  const fields = values.getFields(values.parseJson(row.value));
  const { replica, endedMs, attempt, failureDomain, runMs, isOnTrial } = fields;
  if (!values.isText(replica) || !values.isNumber(endedMs)) return undefined;
  return {
    fingerprint,
    replica,
    endedMs,
    attempt: values.isText(attempt) ? attempt : undefined,
    failureDomain: values.isText(failureDomain) ? failureDomain : undefined,
    runMs: values.isNumber(runMs) ? Math.max(0, runMs) : undefined,
    isOnTrial: isOnTrial === true,
  };
}

/** Converts stored evidence to what this process records. */
export function toEndedReplica(
  { endedMs, ...ended }: StoredEvidence,
  storeNowMs: number,
): decisions.EndedReplica {
  return { ...ended, ageMs: Math.max(0, storeNowMs - endedMs) };
}
