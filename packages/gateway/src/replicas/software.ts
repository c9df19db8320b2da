/**
 * Identifies the software that writes a replica's texts. Only replicas with the same software can go
 * on with a text; a text whose software is not known cannot go on anywhere.
 */
import type * as replicas from '../types/replica';

/** The software of a replica; undefined when it does not name its version. */
export function identifySoftware(
  replica: Pick<replicas.Replica, 'service' | 'softwareVersion'>,
): string | undefined {
  const { service, softwareVersion } = replica;
  return softwareVersion === undefined ? undefined : `${service} ${softwareVersion}`;
}
