/**
 * The keys of a daemon, as its settings name them.
 */
import type * as configuration from '@azureworks/configuration';
import * as links from '@azureworks/links';

/** Reads the keys anew on every call; undefined when the settings name none. */
export function createKeyReader(settings: configuration.Settings): (() => links.Keys) | undefined {
  const files = findFiles(settings);
  return files && (() => links.readKeys(files));
}

/** The credentials of the control connections. */
export function createCredentials(settings: configuration.Settings): links.CredentialSource {
  const files = findFiles(settings);
  return files ? links.TlsCredentials.create(files) : links.PlainCredentials.create();
}

function findFiles({ tls }: configuration.Settings): links.TlsFiles | undefined {
  return (
    tls && {
      certificateFile: tls.certificate_file,
      keyFile: tls.key_file,
      authorityFile: tls.authority_file,
    }
  );
}
