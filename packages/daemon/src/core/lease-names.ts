/**
 * Where leases are kept at the table service.
 */

/** The table of all leases. */
export const LEASE_TABLE = 'leases';

/** The key of the lease under which weights are ordered for an engine service. */
export function createWeightsLeaseKey(engine: string): string {
  return `weights/${engine}`;
}
