/**
 * TLS keys and credentials of a daemon, from the files named in its settings.
 */
import type * as configuration from '@azureworks/configuration';
import * as links from '@azureworks/links';

/** Creates a function that rereads the key files on every call; undefined without TLS settings. */
export function createKeyReader(
  settings: configuration.Settings,
): (() => links.TlsKeys) | undefined {
  const files = findFiles(settings);
  return files && (() => links.readTlsKeys(files));
}

/** Creates the credentials of the control connections (gRPC); plain text without TLS settings. */
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
