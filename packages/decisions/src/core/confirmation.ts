/**
 * Decides whether a daemon may act on the configuration revision that it holds.
 *
 * A revision is confirmed by the store, by a peer that was itself confirmed (its age is carried
 * over), or, while the store is away, by direct contact with more than half of the known entries:
 * a change can only have been accepted elsewhere with the store, and whoever accepted it tells
 * every entry that it can reach.
 */
import type * as clock from '../types/clock';

/** Tracks the confirmations of one entry. */
export class Confirmation {
  private confirmedMs = -Infinity;

  private readonly contacts = new Map<string, number>();

  private constructor(
    private readonly time: clock.Clock,
    private readonly boundMs: number,
  ) {}

  /** @param boundMs how long a confirmation lasts, in milliseconds */
  static create(time: clock.Clock, boundMs: number): Confirmation {
    return new Confirmation(time, boundMs);
  }

  /** The store or a confirmed peer showed the same revision `ageMs` ago. */
  confirm(ageMs: number): void {
    this.confirmedMs = Math.max(this.confirmedMs, this.time.nowMs() - ageMs);
  }

  /** A peer with no higher revision answered a question that was sent `ageMs` ago. */
  noteContact(peer: string, ageMs: number): void {
    this.contacts.set(peer, this.time.nowMs() - ageMs);
  }

  /** A higher revision was taken: earlier contacts prove nothing about it. */
  reset(): void {
    this.contacts.clear();
  }

  /**
   * Age of the confirmation in milliseconds, or null when it is older than the bound.
   * @param entries the names of all known entries, this one included
   */
  getAgeMs(entries: readonly string[], self: string): number | null {
    const nowMs = this.time.nowMs();
    const ageMs = nowMs - this.confirmedMs;
    if (ageMs <= this.boundMs) return ageMs;
    const isRecent = (name: string): boolean =>
      name === self || nowMs - (this.contacts.get(name) ?? -Infinity) <= this.boundMs / 2;
    const reached = entries.filter(isRecent).length;
    const hasMajority = reached > entries.length / 2 && reached > 1;
    return hasMajority ? 0 : null;
  }
}
