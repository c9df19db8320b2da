/**
 * Leases at the table service, without synchronised clocks.
 *
 * The row holds a holder, a fencing number and a renewal count. The holder trusts its lease for a
 * part of the duration from the moment before it sent the renewal, on its own monotonic clock.
 * Anybody else may take the lease over only after it watched the row unchanged for the whole
 * duration, on its own clock, and thereby raises the fencing number.
 */
import type * as clock from '../types/clock';

/** The row of a lease. */
export interface LeaseRow {
  readonly holder: string;
  /** Grows by one whenever the holder changes. */
  readonly fence: number;
  /** Grows by one with every renewal. */
  readonly renewal: number;
}

/** What to do about a lease next. */
export type LeaseStep =
  /** Write `row` on the condition that the row read last is unchanged. */
  | { readonly kind: 'write'; readonly row: LeaseRow }
  /** Somebody else holds the lease. */
  | { readonly kind: 'wait' };

/** Share of the duration for which a holder trusts its lease. */
const TRUSTED_SHARE = 0.75;

/** One process's part in a lease. */
export class Lease {
  private watched: LeaseRow | undefined;

  private watchedSinceMs = -Infinity;

  private trustedUntilMs = -Infinity;

  private heldFence = 0;

  private constructor(
    private readonly holder: string,
    private readonly durationMs: number,
    private readonly time: clock.Clock,
  ) {}

  /**
   * @param holder the name and incarnation of this process
   * @param durationMs how long a lease lasts without renewal, in milliseconds
   */
  static create(holder: string, durationMs: number, time: clock.Clock): Lease {
    return new Lease(holder, durationMs, time);
  }

  /** The fencing number to act under, or undefined when the lease may have lapsed. */
  get fence(): number | undefined {
    return this.time.nowMs() < this.trustedUntilMs ? this.heldFence : undefined;
  }

  /** Decides what to do after the row was read. */
  plan(row: LeaseRow | undefined): LeaseStep {
    if (!row) return { kind: 'write', row: { holder: this.holder, fence: 1, renewal: 0 } };
    if (row.holder === this.holder) {
      return { kind: 'write', row: { ...row, renewal: row.renewal + 1 } };
    }
    this.trustedUntilMs = -Infinity;
    if (!this.hasLapsed(row)) return { kind: 'wait' };
    return { kind: 'write', row: { holder: this.holder, fence: row.fence + 1, renewal: 0 } };
  }

  /**
   * Notes that a write of `row` succeeded.
   * @param sentMs when the write was sent, on the monotonic clock
   */
  noteWritten(row: LeaseRow, sentMs: number): void {
    this.heldFence = row.fence;
    this.trustedUntilMs = sentMs + this.durationMs * TRUSTED_SHARE;
  }

  /** Gives the lease up at once. */
  drop(): void {
    this.trustedUntilMs = -Infinity;
  }

  private hasLapsed(row: LeaseRow): boolean {
    const nowMs = this.time.nowMs();
    const isSame =
      this.watched?.holder === row.holder &&
      this.watched.fence === row.fence &&
      this.watched.renewal === row.renewal;
    if (!isSame) {
      this.watched = row;
      this.watchedSinceMs = nowMs;
      return false;
    }
    return nowMs - this.watchedSinceMs >= this.durationMs;
  }
}
