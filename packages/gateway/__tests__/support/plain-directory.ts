/**
 * A directory of healthy replicas of a plain service.
 */
import type * as gateway from '@azureworks/gateway';
import * as directories from '../../src/replicas/directory';

export const SERVICE = 'plain';

/** A directory in which replicas with these ids have registered. */
export function createDirectory(
  environment: gateway.Environment,
  ids: readonly string[],
): directories.ReplicaDirectory {
  const directory = directories.ReplicaDirectory.create({
    environment,
    decode: (row) => ({
      id: row.key,
      service: SERVICE,
      address: `${row.key}:1`,
      failureDomain: 'a',
      slots: 4,
      isDraining: false,
      bornMs: 1,
      softwareVersion: 'v1',
      modelVersions: new Map(),
    }),
    isStoreStable: () => true,
  });
  directory.onSnapshot(
    ids.map((key) => ({ table: 't', partition: '', key, value: Buffer.alloc(0), revision: 1 })),
  );
  return directory;
}
