/**
 * Decides whether an entry may still act on the configuration revision that it holds.
 *
 * A revision is confirmed by the store, by a peer whose own confirmation is recent (its age is
 * added), or, while the store is unavailable, by recent direct contact with more than half of the
 * known entries. Such contact suffices because an entry can only accept a newer change through the
 * store, and then pushes it to every entry that it can reach.
 */
import type * as clocks from '../types/clock';

/** Tracks the confirmations of the revision that one entry holds. */
export class RevisionConfirmation {
  private confirmedMs = -Infinity;

  private readonly lastContactMs = new Map<string, number>();

  private constructor(
    private readonly clock: clocks.Clock,
    private readonly validityMs: number,
  ) {}

  /** @param validityMs how long a confirmation is valid, in milliseconds */
  static create(clock: clocks.Clock, validityMs: number): RevisionConfirmation {
    return new RevisionConfirmation(clock, validityMs);
  }

  /** Records that the store or a confirmed peer had the same revision `ageMs` ago. */
  confirm(ageMs: number): void {
    this.confirmedMs = Math.max(this.confirmedMs, this.clock.nowMs() - ageMs);
  }

  /** Records that a peer without a newer revision answered a request that was sent `ageMs` ago. */
  recordContact(peer: string, ageMs: number): void {
    this.lastContactMs.set(peer, this.clock.nowMs() - ageMs);
  }

  /** Forgets all contacts after a newer revision was adopted, as they say nothing about it. */
  clearContacts(): void {
    this.lastContactMs.clear();
  }

  /**
   * Age of the confirmation in milliseconds, 0 when contacts confirm the revision, or null when it
   * is not confirmed.
   * @param entries the names of all known entries, including `self`
   */
  getAgeMs(entries: readonly string[], self: string): number | null {
    const nowMs = this.clock.nowMs();
    const ageMs = nowMs - this.confirmedMs;
    if (ageMs <= this.validityMs) return ageMs;
    const isRecentlyContacted = (name: string): boolean =>
      name === self || nowMs - (this.lastContactMs.get(name) ?? -Infinity) <= this.validityMs / 2;
    const contactCount = entries.filter(isRecentlyContacted).length;
    const hasMajority = contactCount > entries.length / 2 && contactCount > 1;
    return hasMajority ? 0 : null;
  }
}
