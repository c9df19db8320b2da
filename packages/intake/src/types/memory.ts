/**
 * Interface of the memory budget: what open work may hold, in bytes.
 */

/** What an owner of a reservation holds. */
export interface Reservation {
  /** The bytes held now. */
  readonly bytes: number;
  /** Takes further bytes; returns false, and takes none, when they do not fit. */
  tryGrow(bytes: number): boolean;
  /** Takes further bytes that are held already, even when they do not fit. */
  grow(bytes: number): void;
  /** Gives bytes back. */
  shrink(bytes: number): void;
  /** Gives everything back. */
  release(): void;
}

/** The budget of one process. */
export interface Memory {
  /** The bytes of all reservations. */
  readonly heldBytes: number;
  /** Creates a reservation that holds nothing yet. */
  open(): Reservation;
  /** Creates a reservation of so many bytes; undefined when they do not fit. */
  tryTake(bytes: number): Reservation | undefined;
}
