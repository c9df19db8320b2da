/**
 * Which gateways live, as one of them sees it from the rows that they renew in the store.
 *
 * A member is gone when its row did not change for the lapse time while this process could read
 * the store all along, when its row was removed, or when its VM runs a later process. Time in
 * which the store could not be read counts for nobody, so an outage removes no member.
 */

/** A member's row. */
export interface MemberRecord {
  readonly vm: string;
  readonly incarnation: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Processor time that its VM has, in cores of an ordinary machine. */
  readonly capacity: number;
  /** Whether it is about to stop, and takes no new work. */
  readonly isStopping: boolean;
  /** The revision of the row. */
  readonly revision: number;
}

/** How often a row is renewed and the others are read, in milliseconds. */
const INTERVAL_MS = 500;
/** Each member adds this to the interval, so that many of them stay within the store's rates. */
const INTERVAL_A_MEMBER_MS = 8;
/** Intervals after which an unchanged row has lapsed: two renewals may be lost. */
const LAPSE_INTERVALS = 3.2;
/** Intervals for which a member trusts its own renewal, counted from before it was sent. */
const TRUSTED_INTERVALS = 2;
/** Two reads further apart than so many intervals leave a gap that counts for nobody. */
const GAP_INTERVALS = 2.5;

interface Seen {
  readonly record: MemberRecord;
  readonly changedMs: number;
}

/** The view of one process. */
export class Membership {
  private readonly members = new Map<string, Seen>();

  private lastReadMs = -Infinity;

  static create(): Membership {
    return new Membership();
  }

  /** How often this member should renew its row. */
  get intervalMs(): number {
    return INTERVAL_MS + INTERVAL_A_MEMBER_MS * this.members.size;
  }

  /** For how long this member may trust a renewal. */
  get trustedMs(): number {
    return this.intervalMs * TRUSTED_INTERVALS;
  }

  private get lapseMs(): number {
    return this.intervalMs * LAPSE_INTERVALS;
  }

  /** Takes in all rows, as read at `nowMs`. */
  update(records: readonly MemberRecord[], nowMs: number): void {
    const hasGap = nowMs - this.lastReadMs > this.intervalMs * GAP_INTERVALS;
    this.lastReadMs = nowMs;
    const former = new Map(this.members);
    this.members.clear();
    records.forEach((record) => {
      const seen = former.get(record.vm);
      const isSame = seen?.record.revision === record.revision;
      const changedMs = isSame && seen && !hasGap ? seen.changedMs : nowMs;
      this.members.set(record.vm, { record, changedMs });
    });
  }

  /** The members that live, as of the last read. */
  listLive(): MemberRecord[] {
    return [...this.members.values()]
      .filter((seen) => this.lastReadMs - seen.changedMs < this.lapseMs)
      .map((seen) => seen.record);
  }

  /** Whether a process is certain to be gone or to have lost its rights. */
  isGone(vm: string, incarnation: string): boolean {
    if (this.lastReadMs === -Infinity) return false;
    const seen = this.members.get(vm);
    if (!seen || seen.record.incarnation !== incarnation) return true;
    return this.lastReadMs - seen.changedMs >= this.lapseMs;
  }
}
