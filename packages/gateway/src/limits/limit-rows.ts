/**
 * The rows in which gateways share the rate limits that replicas named: one for each replica.
 */
import * as records from '../jobs/job-record';
import type * as incarnations from '../replicas/incarnation';
import * as values from '../store/json-value';
import type * as stores from '../types/store';

/**
 * The partition of all limits, in the table of notices that every gateway watches. Other partitions
 * are named by the ids of jobs.
 */
export const RATE_LIMIT_PARTITION = '/rate-limits';

/** The limit of one incarnation of a replica. */
export interface SharedLimit {
  readonly replica: incarnations.Incarnation;
  readonly requestsPerSecond: number;
}

export function locateLimit(replicaId: string): stores.RowAddress {
  return { table: records.NOTICES_TABLE, partition: RATE_LIMIT_PARTITION, key: replicaId };
}

export function encodeLimit({ replica, requestsPerSecond }: SharedLimit): stores.RowWrite {
  const { id, address, bornMs } = replica;
  const value = Buffer.from(JSON.stringify({ address, bornMs, requestsPerSecond }));
  return { ...locateLimit(id), value };
}

/** Decodes a row; undefined when no gateway can have written it. */
export function decodeLimit(row: stores.Row): SharedLimit | undefined {
  const fields = values.getFields(values.parseJson(row.value));
  const { address, bornMs, requestsPerSecond } = fields;
  if (!values.isText(address) || !values.isNumber(bornMs)) return undefined;
  if (!values.isNumber(requestsPerSecond) || requestsPerSecond < 0) return undefined;
  return { replica: { id: row.key, address, bornMs }, requestsPerSecond };
}
