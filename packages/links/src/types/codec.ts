/**
 * The interface of message codecs. JSON is in use; other codecs can be added as plugins.
 */

/** Encodes and decodes messages. */
export interface Codec {
  readonly name: string;
  encode(message: unknown): Buffer;
  /** Throws when the bytes are not a valid encoding. */
  decode(bytes: Buffer): unknown;
}
