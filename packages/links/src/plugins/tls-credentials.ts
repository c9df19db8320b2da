/**
 * Mutual TLS between daemons: both sides present a certificate signed by the certificate authority of
 * the deployment. The files are reloaded while the daemon runs, so that new keys take effect without
 * a restart. A replaced VM may keep its address, so certificates are verified against the authority
 * only, not against an address.
 */
import * as fs from 'node:fs';
import * as grpc from '@grpc/grpc-js';
import type * as credentials from '../types/credentials';
import type * as tlsFiles from '../types/tls-files';

const FILE_REFRESH_INTERVAL_MS = 5000;

/** Creates TLS credentials from PEM files. */
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
      refreshIntervalMs: FILE_REFRESH_INTERVAL_MS,
    });
    return grpc.experimental.createCertificateProviderServerCredentials(provider, provider, true);
  }

  /** Reads the files again for every connection. */
  createChannelCredentials(): grpc.ChannelCredentials {
    const { authority, key, certificate } = readTlsKeys(this.files);
    return grpc.credentials.createSsl(authority, key, certificate, {
      checkServerIdentity: () => undefined,
    });
  }
}

/** The contents of the PEM files. */
export interface TlsKeys {
  readonly authority: Buffer;
  readonly key: Buffer;
  readonly certificate: Buffer;
}

/** Reads the PEM files. */
export function readTlsKeys(files: tlsFiles.TlsFiles): TlsKeys {
  /* eslint-disable n/no-sync -- small local files, read when a connection is opened */
  return {
    authority: fs.readFileSync(files.authorityFile),
    key: fs.readFileSync(files.keyFile),
    certificate: fs.readFileSync(files.certificateFile),
  };
  /* eslint-enable n/no-sync */
}
