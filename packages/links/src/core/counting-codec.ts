/**
 * A codec that counts messages and bytes.
 */
import type * as codecs from '../types/codec';
import type * as traffic from './traffic';

/** Wraps another codec and counts its messages and bytes. */
export class CountingCodec implements codecs.Codec {
  readonly name: string;

  private constructor(
    private readonly inner: codecs.Codec,
    private readonly counters: traffic.TrafficCounters,
  ) {
    this.name = inner.name;
  }

  static create(inner: codecs.Codec, counters: traffic.TrafficCounters): CountingCodec {
    return new CountingCodec(inner, counters);
  }

  encode(message: unknown): Buffer {
    const bytes = this.inner.encode(message);
    this.counters.recordSent(bytes.length);
    return bytes;
  }

  decode(bytes: Buffer): unknown {
    this.counters.recordReceived(bytes.length);
    return this.inner.decode(bytes);
  }
}
