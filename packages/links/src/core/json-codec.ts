/**
 * Encodes messages as JSON text in UTF-8.
 */
import type * as codec from '../types/codec';

/** A codec for JSON text in UTF-8. */
export class JsonCodec implements codec.Codec {
  readonly name = 'json';

  static create(): JsonCodec {
    return new JsonCodec();
  }

  encode(message: unknown): Buffer {
    return Buffer.from(JSON.stringify(message));
  }

  decode(bytes: Buffer): unknown {
    return JSON.parse(bytes.toString('utf8'));
  }
}
