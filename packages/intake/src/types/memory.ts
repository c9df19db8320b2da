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

/** What is kept in case it is needed again, as long as nothing else needs its memory. */
export interface Cache {
  /** The bytes that its entries hold. */
  readonly bytes: number;
  /** Gives back the memory of the entry that was added longest ago. */
  dropOldest(): void;
}

/** The budget of one process. */
export interface Memory {
  /** The bytes of all reservations. */
  readonly heldBytes: number;
  /** Creates a reservation that holds nothing yet. */
  open(): Reservation;
  /** Creates a reservation of so many bytes; undefined when they do not fit. */
  tryTake(bytes: number): Reservation | undefined;
  /** Drops entries of the cache for reservations that would not fit otherwise. */
  addCache(cache: Cache): void;
}
