/**
 * The files with the key and certificates of a daemon.
 */

/** Paths of PEM files. */
export interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
  /** The certificate of the authority that signs the certificates of all daemons. */
  readonly authorityFile: string;
}
