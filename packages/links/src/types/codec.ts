/**
 * The interface of message codecs. JSON is the one in use; others are plugins.
 */

/** Turns messages into bytes and back. */
export interface Codec {
  readonly name: string;
  encode(message: unknown): Buffer;
  /** Throws when the bytes are not a message. */
  decode(bytes: Buffer): unknown;
}
