/**
 * Identifies one incarnation of a replica: the same id and address may be used again after it ended.
 */
import type * as replicas from '../types/replica';

/** The fields that identify an incarnation. */
export type Incarnation = Pick<replicas.Replica, 'id' | 'address' | 'bornMs'>;

/** Placement looks every replica up for every waiting item, so the keys are kept. */
const keys = new WeakMap<Incarnation, string>();

export function createIncarnationKey(incarnation: Incarnation): string {
  const known = keys.get(incarnation);
  if (known !== undefined) return known;
  const { id, address, bornMs } = incarnation;
  const key = `${id}@${address}#${bornMs}`;
  keys.set(incarnation, key);
  return key;
}
