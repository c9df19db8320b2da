/**
 * Leases stored as rows in a table service, without synchronised clocks.
 *
 * A row consists of the holder, a fencing token and a renewal count. The holder considers its lease
 * valid for a share of the duration, counted on its own monotonic clock from just before it sent the
 * renewal. Another process may take over the lease, and increments the fencing token, only after it
 * has observed an unchanged row for the whole duration, on its own clock.
 */
import type * as clocks from '../types/clock';

/** The stored row of a lease. */
export interface LeaseRow {
  readonly holder: string;
  /** The fencing token: increases by one whenever the holder changes. */
  readonly fence: number;
  /** Increases by one with every renewal. */
  readonly renewal: number;
}

/** What a process does next about a lease. */
export type LeaseAction =
  /** Write `row` if the stored row is unchanged since it was read. */
  | { readonly kind: 'write'; readonly row: LeaseRow }
  /** Another process holds the lease. */
  | { readonly kind: 'wait' };

/** Share of the duration for which a holder considers its lease valid. */
const VALIDITY_SHARE = 0.75;

/** A lease from the point of view of one process, as its holder or as a contender. */
export class Lease {
  private observedRow: LeaseRow | undefined;

  private observedSinceMs = -Infinity;

  private validUntilMs = -Infinity;

  private heldFence = 0;

  private constructor(
    private readonly holder: string,
    private readonly durationMs: number,
    private readonly clock: clocks.Clock,
  ) {}

  /**
   * @param holder the name and incarnation of this process
   * @param durationMs how long a lease lasts without renewal, in milliseconds
   */
  static create(holder: string, durationMs: number, clock: clocks.Clock): Lease {
    return new Lease(holder, durationMs, clock);
  }

  /** The fencing token of the lease while it is valid; undefined when it may have expired. */
  get fence(): number | undefined {
    return this.clock.nowMs() < this.validUntilMs ? this.heldFence : undefined;
  }

  /** Decides what to do after reading `row` from the store. */
  plan(row: LeaseRow | undefined): LeaseAction {
    if (!row) return { kind: 'write', row: { holder: this.holder, fence: 1, renewal: 0 } };
    if (row.holder === this.holder) {
      return { kind: 'write', row: { ...row, renewal: row.renewal + 1 } };
    }
    this.validUntilMs = -Infinity;
    if (!this.hasExpired(row)) return { kind: 'wait' };
    return { kind: 'write', row: { holder: this.holder, fence: row.fence + 1, renewal: 0 } };
  }

  /**
   * Records that a write of `row` succeeded.
   * @param sentMs when the write was sent, on the monotonic clock
   */
  recordWrite(row: LeaseRow, sentMs: number): void {
    this.heldFence = row.fence;
    this.validUntilMs = sentMs + this.durationMs * VALIDITY_SHARE;
  }

  /** Stops using the lease at once; the stored row does not change. */
  drop(): void {
    this.validUntilMs = -Infinity;
  }

  private hasExpired(row: LeaseRow): boolean {
    const nowMs = this.clock.nowMs();
    const isSame =
      this.observedRow?.holder === row.holder &&
      this.observedRow.fence === row.fence &&
      this.observedRow.renewal === row.renewal;
    if (!isSame) {
      this.observedRow = row;
      this.observedSinceMs = nowMs;
      return false;
    }
    return nowMs - this.observedSinceMs >= this.durationMs;
  }
}
