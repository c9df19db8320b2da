/**
 * The files that hold the keys of a daemon.
 */

/** Paths of PEM files. */
export interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
  /** The authority that signed the certificates of all daemons. */
  readonly authorityFile: string;
}
