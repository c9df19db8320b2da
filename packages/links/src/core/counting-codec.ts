/**
 * A codec that counts what passes through it.
 */
import type * as codecs from '../types/codec';
import type * as traffic from './traffic';

/** Counts the messages of another codec. */
export class CountingCodec implements codecs.Codec {
  readonly name: string;

  private constructor(
    private readonly inner: codecs.Codec,
    private readonly counts: traffic.Traffic,
  ) {
    this.name = inner.name;
  }

  static create(inner: codecs.Codec, counts: traffic.Traffic): CountingCodec {
    return new CountingCodec(inner, counts);
  }

  encode(message: unknown): Buffer {
    const bytes = this.inner.encode(message);
    this.counts.noteSent(bytes.length);
    return bytes;
  }

  decode(bytes: Buffer): unknown {
    this.counts.noteReceived(bytes.length);
    return this.inner.decode(bytes);
  }
}
