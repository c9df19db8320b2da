/**
 * Reads the body of a client's request. Memory for it is taken before its bytes are read: at once where
 * the request tells its length, as it grows otherwise. The intake decides which bodies are given up; the
 * rest of such a body is not read here.
 */
import type * as http from 'node:http';
import type * as bodyIntakes from '../core/body-intake';
import type * as memories from '../types/memory';
import * as bodyBuffers from './body-buffer';

/** What came of a body. */
export type BodyEnd =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' | 'cut-off' | bodyIntakes.BodyRefusal };

export interface BodyOptions {
  readonly maximumBytes: number;
  /** For the memory of the body. */
  readonly reservation: memories.Reservation;
  readonly intake: bodyIntakes.BodyIntake;
}

const INITIAL_CAPACITY_BYTES = 4096;
/** By how much a large body without a declared length grows at once, in bytes. */
const GROWTH_BYTES = 256 * 1024;
/**
 * Pieces of all inefficient bodies together that are read in one turn, and the pause until the next, in
 * milliseconds. A piece takes 2 to 3 microseconds with its garbage, so that they take a third of a core.
 */
const PIECES_PER_TURN = 2000;
const TURN_INTERVAL_MS = 10;

/** Reads a body. */
export function readBody(request: http.IncomingMessage, options: BodyOptions): Promise<BodyEnd> {
  return new Promise((resolve) => {
    new BodyReader(request, options, resolve).start();
  });
}

class BodyReader {
  private readonly buffer: bodyBuffers.BodyBuffer;

  private readonly entry: bodyIntakes.IncomingBody;

  private turnTimer: NodeJS.Timeout | undefined;

  private turnPieces = 0;

  private isFinished = false;

  constructor(
    private readonly request: http.IncomingMessage,
    private readonly options: BodyOptions,
    private readonly onEnd: (end: BodyEnd) => void,
  ) {
    this.buffer = bodyBuffers.BodyBuffer.create(options.maximumBytes);
    this.entry = options.intake.open(options.reservation, (kind) => this.finish({ kind }));
  }

  start(): void {
    const declaredBytes = Number(this.request.headers['content-length'] ?? Number.NaN);
    if (declaredBytes > this.options.maximumBytes) {
      this.finish({ kind: 'too-large' });
      return;
    }
    if (declaredBytes > 0 && !this.grow(declaredBytes)) {
      this.finish({ kind: 'no-memory' });
      return;
    }
    this.request.on('data', this.onData);
    this.request.on('end', this.onWhole);
    this.request.on('error', this.onCutOff);
    this.request.on('close', this.onCutOff);
  }

  private readonly onData = (bytes: Buffer): void => {
    // Pieces that were parsed together go on to arrive after the body was given up.
    if (this.isFinished) return;
    const size = this.buffer.length + bytes.length;
    if (size > this.options.maximumBytes) {
      this.finish({ kind: 'too-large' });
      return;
    }
    if (!this.options.intake.receive(this.entry, bytes.length)) {
      this.finish({ kind: 'inefficient' });
      return;
    }
    if (size > this.buffer.capacity && !this.grow(this.chooseCapacity(size))) {
      this.finish({ kind: 'no-memory' });
      return;
    }
    this.buffer.add(bytes);
    if (this.entry.isInefficient) this.countPiece();
  };

  private readonly onWhole = (): void => {
    if (!this.isFinished) this.finish({ kind: 'whole', body: this.buffer.take() });
  };

  private readonly onCutOff = (): void => this.finish({ kind: 'cut-off' });

  private chooseCapacity(size: number): number {
    const { capacity } = this.buffer;
    const growth = Math.min(Math.max(capacity, INITIAL_CAPACITY_BYTES), GROWTH_BYTES);
    return Math.min(Math.max(size, capacity + growth), this.options.maximumBytes);
  }

  private grow(capacity: number): boolean {
    if (!this.options.intake.tryGrow(this.entry, capacity - this.buffer.capacity)) return false;
    this.buffer.grow(capacity);
    return true;
  }

  /** Ends the turn of an inefficient body after its share of the pieces, so that others get theirs. */
  private countPiece(): void {
    this.turnPieces += 1;
    if (this.turnPieces < PIECES_PER_TURN / this.options.intake.inefficientCount) return;
    if (this.turnTimer) return;
    this.turnPieces = 0;
    this.request.pause();
    this.turnTimer = setTimeout(() => {
      this.turnTimer = undefined;
      this.request.resume();
    }, TURN_INTERVAL_MS);
  }

  private finish(end: BodyEnd): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.turnTimer);
    this.options.intake.close(this.entry);
    this.request.off('data', this.onData);
    this.request.off('end', this.onWhole);
    this.request.off('close', this.onCutOff);
    if (end.kind !== 'whole') {
      // What was parsed with the last piece is dropped rather than kept.
      this.request.resume();
      this.buffer.abandon();
      this.options.reservation.release();
    }
    this.onEnd(end);
  }
}
