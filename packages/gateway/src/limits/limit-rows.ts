/**
 * The rows in which gateways share the rate limits that replicas named: one for each replica.
 */
import * as records from '../jobs/job-record';
import type * as incarnations from '../replicas/incarnation';
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
  try {
    const value = JSON.parse(row.value.toString()) as Record<string, unknown>;
    const { address, bornMs, requestsPerSecond } = value;
    if (typeof address !== 'string' || typeof bornMs !== 'number') return undefined;
    if (typeof requestsPerSecond !== 'number') return undefined;
    return { replica: { id: row.key, address, bornMs }, requestsPerSecond };
  } catch {
    // A row that is not JSON was not written by a gateway.
    return undefined;
  }
}
