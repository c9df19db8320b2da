/**
 * The keys of a deployment's organisations. Keys are held and looked up by their digests only, so that no
 * dump of the process's state contains one.
 */
import * as crypto from 'node:crypto';
import type * as organisations from '../types/organisation';

/** A digest of a key. */
export type KeyDigest = string;

/** Computes the digest under which a key is looked up. */
export function digestKey(key: string): KeyDigest {
  return crypto.createHash('sha256').update(key).digest('base64');
}

/** The keys of one configuration. */
export class KeyRing implements organisations.Keys {
  private constructor(
    private readonly byDigest: ReadonlyMap<KeyDigest, organisations.Organisation>,
    private readonly byName: ReadonlyMap<string, organisations.Organisation>,
  ) {}

  static create(entries: readonly organisations.OrganisationKeys[]): KeyRing {
    const byDigest = new Map<KeyDigest, organisations.Organisation>();
    const byName = new Map<string, organisations.Organisation>();
    entries.forEach(({ name, priority, keys }) => {
      const organisation = { name, priority };
      byName.set(name, organisation);
      keys.forEach((key) => byDigest.set(digestKey(key), organisation));
    });
    return new KeyRing(byDigest, byName);
  }

  find(digest: KeyDigest): organisations.Organisation | undefined {
    return this.byDigest.get(digest);
  }

  findByName(name: string): organisations.Organisation | undefined {
    return this.byName.get(name);
  }
}
