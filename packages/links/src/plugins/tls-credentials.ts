/**
 * Mutual TLS between daemons: both ends show a certificate that the deployment's own authority
 * signed. The files are read again while the daemon runs, so that new keys take effect without a
 * restart. VMs are replaced under the same addresses, so a certificate is bound to the authority
 * and not to an address.
 */
import * as fs from 'node:fs';
import * as grpc from '@grpc/grpc-js';
import type * as credentials from '../types/credentials';
import type * as tlsFiles from '../types/tls-files';

const REFRESH_INTERVAL_MS = 5000;

/** Keys from files. */
export class TlsCredentials implements credentials.CredentialSource {
  private constructor(private readonly files: tlsFiles.TlsFiles) {}

  static create(files: tlsFiles.TlsFiles): TlsCredentials {
    return new TlsCredentials(files);
  }

  createServerCredentials(): grpc.ServerCredentials {
    const provider = new grpc.experimental.FileWatcherCertificateProvider({
      certificateFile: this.files.certificateFile,
      privateKeyFile: this.files.keyFile,
      caCertificateFile: this.files.authorityFile,
      refreshIntervalMs: REFRESH_INTERVAL_MS,
    });
    return grpc.experimental.createCertificateProviderServerCredentials(provider, provider, true);
  }

  /** Reads the files anew for every connection. */
  createChannelCredentials(): grpc.ChannelCredentials {
    const { authority, key, certificate } = readKeys(this.files);
    return grpc.credentials.createSsl(authority, key, certificate, {
      checkServerIdentity: () => undefined,
    });
  }
}

/** The contents of the key files. */
export interface Keys {
  readonly authority: Buffer;
  readonly key: Buffer;
  readonly certificate: Buffer;
}

/** Reads the key files. */
export function readKeys(files: tlsFiles.TlsFiles): Keys {
  /* eslint-disable n/no-sync -- small local files, when a connection is opened */
  return {
    authority: fs.readFileSync(files.authorityFile),
    key: fs.readFileSync(files.keyFile),
    certificate: fs.readFileSync(files.certificateFile),
  };
  /* eslint-enable n/no-sync */
}
