/**
 * Table and keys of the leases in the table service.
 */

/** The table that holds all leases. */
export const LEASE_TABLE = 'leases';

/** The key of the lease whose holder issues the weight orders of an engine service. */
export function createWeightsLeaseKey(engine: string): string {
  return `weights/${engine}`;
}
