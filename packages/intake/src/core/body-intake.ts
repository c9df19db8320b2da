/**
 * Decides which bodies of requests are read on, and which are given up first when there is no room.
 *
 * Load pattern: many clients send large bodies at the same time, most stop short of the end and stay open,
 * some send tiny pieces, each of which costs as much as a large one. Room is therefore taken first from
 * bodies that stand still, then from inefficient ones, then, for a small arrival only, from the largest.
 * A single body of any kind within the limits is read.
 */
import type * as memories from '../types/memory';

/** Why a body is given up. */
export const BodyRefusal = {
  NoMemory: 'no-memory',
  TooSlow: 'too-slow',
  Inefficient: 'inefficient',
} as const;

export type BodyRefusal = (typeof BodyRefusal)[keyof typeof BodyRefusal];

/** A body that is being read. */
export interface IncomingBody {
  readonly reservation: memories.Reservation;
  /** Ends reading at once and gives the memory back. */
  readonly abandon: (refusal: BodyRefusal) => void;
  receivedBytes: number;
  pieceCount: number;
  /** Number of the sweep before the last byte. */
  progressSweep: number;
  /** Number of the sweep and the bytes of the last check of the rate. */
  ratedSweep: number;
  ratedBytes: number;
  isInefficient: boolean;
}

/**
 * How often `sweep` is called, in milliseconds. Time is counted in sweeps, so that a process that was
 * frozen does not take the time for its clients' delay.
 */
export const SWEEP_INTERVAL_MS = 1000;
/** Sweeps without a byte after which a body stands still; a client sends a body within one. */
const STALLED_SWEEPS = 2;
/**
 * Reservations above this size, in bytes, have to arrive at a rate that any client reaches that still
 * sends: they take memory from others.
 */
export const SMALL_BODY_BYTES = 64 * 1024;
const MINIMUM_BYTES_PER_SECOND = 16 * 1024;
/** Inefficient bodies of any size have to arrive at this rate; the process itself reads them in turns. */
const MINIMUM_INEFFICIENT_BYTES_PER_SECOND = 1024;
const RATE_INTERVAL_SWEEPS = 5;
/**
 * A body of more pieces than this, with fewer bytes in each on average, is inefficient: a piece costs as
 * much time as kilobytes in one. HTTP clients fill hundreds of bytes of each.
 */
const EFFICIENT_PIECES = 1000;
const EFFICIENT_PIECE_BYTES = 32;
/** Inefficient bodies that are read at the same time; each first takes the time of a whole read. */
const MAXIMUM_INEFFICIENT_BODIES = 4;
const MILLISECONDS_PER_SECOND = 1000;

/** The bodies of one process that are being read. */
export class BodyIntake {
  /** Ordered by the sweep of their last progress. */
  private readonly bodies = new Set<IncomingBody>();

  private readonly inefficient = new Set<IncomingBody>();

  private sweepCount = 0;

  static create(): BodyIntake {
    return new BodyIntake();
  }

  get bodyCount(): number {
    return this.bodies.size;
  }

  /** Number of inefficient bodies, which share the time for their pieces. */
  get inefficientCount(): number {
    return this.inefficient.size;
  }

  open(reservation: memories.Reservation, abandon: (refusal: BodyRefusal) => void): IncomingBody {
    const body: IncomingBody = {
      reservation,
      abandon,
      receivedBytes: 0,
      pieceCount: 0,
      progressSweep: this.sweepCount,
      ratedSweep: this.sweepCount,
      ratedBytes: 0,
      isInefficient: false,
    };
    this.bodies.add(body);
    return body;
  }

  /** Called when a body is whole, cut off or given up. */
  close(body: IncomingBody): void {
    this.bodies.delete(body);
    this.inefficient.delete(body);
  }

  /** Takes memory for a body, from worse ones if there is no room; returns false when it has to end. */
  tryGrow(body: IncomingBody, bytes: number): boolean {
    const { reservation } = body;
    if (reservation.bytes <= SMALL_BODY_BYTES && reservation.bytes + bytes > SMALL_BODY_BYTES) {
      this.startRate(body);
    }
    while (!reservation.tryGrow(bytes)) {
      const isSmall = reservation.bytes + bytes <= SMALL_BODY_BYTES;
      const victim = this.findVictim(body, isSmall);
      if (!victim) return false;
      const isStalled = this.isStalled(victim);
      this.close(victim);
      victim.abandon(isStalled ? BodyRefusal.TooSlow : BodyRefusal.NoMemory);
    }
    return true;
  }

  /** Notes a piece; returns false when the body is one inefficient body too many. */
  receive(body: IncomingBody, bytes: number): boolean {
    const entry = body;
    entry.receivedBytes += bytes;
    entry.pieceCount += 1;
    if (entry.progressSweep !== this.sweepCount) {
      entry.progressSweep = this.sweepCount;
      this.bodies.delete(entry);
      this.bodies.add(entry);
    }
    if (entry.isInefficient || !isInefficient(entry)) return true;
    if (this.inefficient.size >= MAXIMUM_INEFFICIENT_BODIES) {
      const stalled = [...this.inefficient].find((other) => this.isStalled(other));
      if (!stalled) return false;
      this.close(stalled);
      stalled.abandon(BodyRefusal.TooSlow);
    }
    entry.isInefficient = true;
    this.startRate(entry);
    this.inefficient.add(entry);
    return true;
  }

  /** Ends the bodies of which no byte came for the idle timeout, or which are below the rate. */
  sweep(idleTimeoutMs: number): void {
    this.sweepCount += 1;
    const idleSweeps = Math.ceil(idleTimeoutMs / SWEEP_INTERVAL_MS);
    const slow = [...this.bodies].filter(
      (body) => this.sweepCount - body.progressSweep > idleSweeps || this.isBelowRate(body),
    );
    slow.forEach((body) => {
      this.close(body);
      body.abandon(BodyRefusal.TooSlow);
    });
  }

  private startRate(body: IncomingBody): void {
    Object.assign(body, { ratedSweep: this.sweepCount, ratedBytes: body.receivedBytes });
  }

  private isBelowRate(body: IncomingBody): boolean {
    if (body.reservation.bytes <= SMALL_BODY_BYTES && !body.isInefficient) return false;
    const sweeps = this.sweepCount - body.ratedSweep;
    if (sweeps < RATE_INTERVAL_SWEEPS) return false;
    const seconds = (sweeps * SWEEP_INTERVAL_MS) / MILLISECONDS_PER_SECOND;
    const bytes = body.receivedBytes - body.ratedBytes;
    this.startRate(body);
    const minimum = body.isInefficient
      ? MINIMUM_INEFFICIENT_BYTES_PER_SECOND
      : MINIMUM_BYTES_PER_SECOND;
    return bytes < minimum * seconds;
  }

  private isStalled(body: IncomingBody): boolean {
    return this.sweepCount - body.progressSweep >= STALLED_SWEEPS;
  }

  /** The body that is given up first for another one. */
  private findVictim(arrival: IncomingBody, isSmall: boolean): IncomingBody | undefined {
    let inefficient: IncomingBody | undefined;
    let largest: IncomingBody | undefined;
    for (const body of this.bodies) {
      const { bytes } = body.reservation;
      const isCandidate = body !== arrival && bytes > 0;
      if (isCandidate && this.isStalled(body)) return body;
      if (isCandidate && body.isInefficient) inefficient ??= body;
      const largestBytes = Math.max(SMALL_BODY_BYTES, largest?.reservation.bytes ?? 0);
      if (isCandidate && bytes > largestBytes) largest = body;
    }
    if (arrival.isInefficient) return undefined;
    return inefficient ?? (isSmall ? largest : undefined);
  }
}

function isInefficient({ pieceCount, receivedBytes }: IncomingBody): boolean {
  return pieceCount > EFFICIENT_PIECES && receivedBytes < pieceCount * EFFICIENT_PIECE_BYTES;
}
