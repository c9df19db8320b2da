/**
 * Decides whose received bytes are parsed next, and how many of them.
 *
 * Load pattern: hundreds of clients send bodies in pieces of one byte, or requests without reading the
 * responses, and come back at once when they are closed. What one read of a socket returns may then take
 * tens of milliseconds to parse. Every connection therefore has its bytes parsed in slices that take about
 * the same time, bytes that have just arrived before what is left of earlier ones: a request that arrives
 * in one piece waits for one slice of each of the others at most.
 */

/** The bytes that were received on one connection. */
export interface Input {
  /** How many bytes are parsed in its next turn at most. */
  sliceBytes: number;
  /** Bytes that were read from the socket and are not parsed yet. */
  heldBytes: number;
  /** Whether a part of the bytes was parsed already. */
  isBegun: boolean;
}

/** Holds the head of an ordinary request. */
const INITIAL_SLICE_BYTES = 2048;
const MINIMUM_SLICE_BYTES = 512;
/** The most that one read of a socket returns. */
const MAXIMUM_SLICE_BYTES = 65_536;
/** A slice that took longer is followed by a smaller one; one that took a quarter, by a larger one. */
const SLICE_TIME_MS = 1;
/** How many turns new bytes have before what is left of others has one. */
const NEW_TURNS_IN_A_ROW = 4;
/** Bytes of all inputs together beyond which no further ones are read from sockets. */
const FULL_BYTES = 4 * 1024 * 1024;
/** Bytes of all inputs together; a connection that would exceed them is closed unless it sent a few only. */
const MAXIMUM_BYTES = 16 * 1024 * 1024;
const FEW_BYTES = 4096;

/** The inputs of all connections of a process. */
export class InputTurns<Owner extends Input> {
  private readonly arrived = new Set<Owner>();

  private readonly begun = new Set<Owner>();

  private newTurns = 0;

  private totalBytes = 0;

  static create<Owner extends Input>(): InputTurns<Owner> {
    return new InputTurns();
  }

  /** The state of a connection on which nothing was received yet. */
  static createInput(): Input {
    return { sliceBytes: INITIAL_SLICE_BYTES, heldBytes: 0, isBegun: false };
  }

  /** Bytes that wait for their turns. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  get hasWaiting(): boolean {
    return this.arrived.size + this.begun.size > 0;
  }

  /** Whether nothing more should be read from sockets. */
  get isFull(): boolean {
    return this.totalBytes >= FULL_BYTES;
  }

  /** Takes bytes that were read from a socket; returns false when the connection has to be closed. */
  receive(input: Owner, bytes: number): boolean {
    if (bytes > FEW_BYTES && this.totalBytes + bytes > MAXIMUM_BYTES) return false;
    const entry = input;
    entry.heldBytes += bytes;
    entry.isBegun = false;
    this.totalBytes += bytes;
    return true;
  }

  /** Lets an input that holds bytes wait for its turn. */
  wait(input: Owner): void {
    (input.isBegun ? this.begun : this.arrived).add(input);
  }

  /** The input that has the next turn. */
  next(): Owner | undefined {
    const [arrived] = this.arrived;
    const [begun] = this.begun;
    const isNew = arrived && (!begun || this.newTurns < NEW_TURNS_IN_A_ROW);
    this.newTurns = isNew ? this.newTurns + 1 : 0;
    const input = isNew ? arrived : begun;
    if (input) this.leave(input);
    return input;
  }

  /** Notes a slice that is about to be parsed. */
  beginSlice(input: Owner): number {
    const entry = input;
    const bytes = Math.min(entry.sliceBytes, entry.heldBytes);
    entry.heldBytes -= bytes;
    entry.isBegun = true;
    this.totalBytes -= bytes;
    return bytes;
  }

  /** Forgets an input whose connection was closed. */
  remove(input: Owner): void {
    this.leave(input);
    this.totalBytes -= input.heldBytes;
    Object.assign(input, { heldBytes: 0 });
  }

  private leave(input: Owner): void {
    this.arrived.delete(input);
    this.begun.delete(input);
  }
}

/** Chooses the size of an input's next slice from how long the last one took. */
export function adaptSlice(input: Input, bytes: number, tookMs: number): void {
  const entry = input;
  if (tookMs > SLICE_TIME_MS) {
    entry.sliceBytes = Math.max(MINIMUM_SLICE_BYTES, Math.floor(bytes / 2));
  } else if (tookMs < SLICE_TIME_MS / 4 && bytes === entry.sliceBytes) {
    entry.sliceBytes = Math.min(MAXIMUM_SLICE_BYTES, bytes * 2);
  }
}
