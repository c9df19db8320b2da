/**
 * Identifies one incarnation of a replica: the same id and address may be used again after it ended.
 */
import type * as replicas from '../types/replica';

/** The fields that identify an incarnation. */
export type Incarnation = Pick<replicas.Replica, 'id' | 'address' | 'bornMs'>;

export function createIncarnationKey({ id, address, bornMs }: Incarnation): string {
  return `${id}@${address}#${bornMs}`;
}
