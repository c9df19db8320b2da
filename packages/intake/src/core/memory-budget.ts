/**
 * The memory that open work may hold, in bytes: bodies of requests and responses, submissions, the items
 * and texts of batch jobs that run here, and results held for readers. It is taken before the bytes are
 * read and given back when they are no longer held, so that a process never ends for want of memory; what
 * does not fit is refused, or waits in the store.
 *
 * Load pattern: one caller sends as much as a request may have, others go on with small requests. A part of
 * the budget is therefore kept for small reservations. What is only cached gives way to open work.
 */
import type * as memories from '../types/memory';
import * as budgetReservations from './budget-reservation';

/** Reservations up to this size may use the whole budget, in bytes. */
const SMALL_RESERVATION_BYTES = 64 * 1024;
/** Share of the budget that only small reservations may use. */
const SMALL_SHARE = 1 / 12;

/** The budget of one process. */
export class MemoryBudget implements memories.Memory {
  private reservedBytes = 0;

  private readonly caches: memories.Cache[] = [];

  private constructor(private readonly totalBytes: number) {}

  static create(totalBytes: number): MemoryBudget {
    return new MemoryBudget(totalBytes);
  }

  get heldBytes(): number {
    return this.reservedBytes;
  }

  /** The largest reservation while nothing else is held, in bytes. */
  get largestBytes(): number {
    return Math.floor(this.totalBytes * (1 - SMALL_SHARE));
  }

  open(): memories.Reservation {
    return budgetReservations.BudgetReservation.create(this);
  }

  tryTake(bytes: number): memories.Reservation | undefined {
    const reservation = this.open();
    return reservation.tryGrow(bytes) ? reservation : undefined;
  }

  /**
   * Drops what is cached, as far as that is needed for a reservation; returns whether it fits.
   * @param sizeBytes the size of the reservation once it has grown by `bytes`
   */
  makeRoom(bytes: number, sizeBytes: number): boolean {
    const share = sizeBytes <= SMALL_RESERVATION_BYTES ? 1 : 1 - SMALL_SHARE;
    const mostReservedBytes = this.totalBytes * share - bytes;
    const cachedBytes = this.caches.reduce((sum, cache) => sum + cache.bytes, 0);
    if (this.reservedBytes - cachedBytes > mostReservedBytes) return false;
    while (this.reservedBytes > mostReservedBytes) {
      this.caches.find((cache) => cache.bytes > 0)?.dropOldest();
    }
    return true;
  }

  addCache(cache: memories.Cache): void {
    this.caches.push(cache);
  }

  /** Called by the reservations only. */
  change(bytes: number): void {
    this.reservedBytes += bytes;
  }
}
