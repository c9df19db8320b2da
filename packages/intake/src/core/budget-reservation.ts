/**
 * A part of the memory budget that one owner holds.
 */
import type * as memories from '../types/memory';

/** The budget as its reservations use it. */
interface Budget {
  makeRoom(bytes: number, sizeBytes: number): boolean;
  change(bytes: number): void;
}

/** One reservation. */
export class BudgetReservation implements memories.Reservation {
  private heldBytes = 0;

  private constructor(private readonly budget: Budget) {}

  static create(budget: Budget): BudgetReservation {
    return new BudgetReservation(budget);
  }

  get bytes(): number {
    return this.heldBytes;
  }

  tryGrow(bytes: number): boolean {
    if (!this.budget.makeRoom(bytes, this.heldBytes + bytes)) return false;
    this.grow(bytes);
    return true;
  }

  grow(bytes: number): void {
    this.heldBytes += bytes;
    this.budget.change(bytes);
  }

  shrink(bytes: number): void {
    this.grow(-Math.min(bytes, this.heldBytes));
  }

  release(): void {
    this.shrink(this.heldBytes);
  }
}
