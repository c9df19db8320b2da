/**
 * The bytes of one body. A large body grows in place, within address space that is reserved for its largest
 * size, and its pages are returned to the system as soon as it is abandoned. Buffers that grow by copying,
 * or are only dropped, stay in memory until a later garbage collection.
 */
import * as bodyIntakes from '../core/body-intake';

/** Smaller bodies are kept in ordinary buffers, which are cheaper to create, in bytes. */
const SMALL_CAPACITY_BYTES = bodyIntakes.SMALL_BODY_BYTES;

interface GrowingBuffer extends ArrayBuffer {
  resize(bytes: number): void;
}

/** The constructor of ES2024, which Node.js 20 has and the type definitions in use lack. */
const GrowingBufferConstructor = ArrayBuffer as unknown as new (
  bytes: number,
  options: { readonly maxByteLength: number },
) => GrowingBuffer;

/** Memory for one body. */
export class BodyBuffer {
  private bytes: Uint8Array = Buffer.alloc(0);

  private growing: GrowingBuffer | undefined;

  private size = 0;

  private constructor(private readonly maximumBytes: number) {}

  static create(maximumBytes: number): BodyBuffer {
    return new BodyBuffer(maximumBytes);
  }

  get length(): number {
    return this.size;
  }

  get capacity(): number {
    return this.bytes.length;
  }

  /** Makes room for more bytes; those that are there stay. */
  grow(capacity: number): void {
    if (this.growing) {
      this.growing.resize(capacity);
      return;
    }
    const former = this.bytes.subarray(0, this.size);
    this.bytes = this.allocate(capacity);
    this.bytes.set(former);
  }

  /** Adds bytes, for which there is room. */
  add(bytes: Uint8Array): void {
    this.bytes.set(bytes, this.size);
    this.size += bytes.length;
  }

  /** All bytes, for somebody who uses them from now on. */
  take(): Buffer {
    const { buffer, byteOffset } = this.bytes;
    const bytes = Buffer.from(buffer, byteOffset, this.size);
    this.bytes = Buffer.alloc(0);
    this.growing = undefined;
    return bytes;
  }

  /** Returns the memory. It must not be called for bytes that were taken, which may be in use. */
  abandon(): void {
    this.growing?.resize(0);
    this.growing = undefined;
    this.bytes = Buffer.alloc(0);
    this.size = 0;
  }

  private allocate(capacity: number): Uint8Array {
    if (capacity <= SMALL_CAPACITY_BYTES) return Buffer.allocUnsafe(capacity);
    const maxByteLength = Math.max(capacity, this.maximumBytes);
    this.growing = new GrowingBufferConstructor(capacity, { maxByteLength });
    // A view without a length follows the length of its buffer.
    return new Uint8Array(this.growing);
  }
}
