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
  /** The revision of the row. */
  readonly revision: number;
}

/** How long a row may stay unchanged, in milliseconds; three renewals. */
export const LAPSE_MS = 3000;
/** Two reads further apart than this leave a gap that counts for nobody, in milliseconds. */
const LONGEST_GAP_MS = 2000;

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

  /** Takes in all rows, as read at `nowMs`. */
  update(records: readonly MemberRecord[], nowMs: number): void {
    const hasGap = nowMs - this.lastReadMs > LONGEST_GAP_MS;
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
      .filter((seen) => this.lastReadMs - seen.changedMs < LAPSE_MS)
      .map((seen) => seen.record);
  }

  /** Whether a process is certain to be gone or to have lost its rights. */
  isGone(vm: string, incarnation: string): boolean {
    if (this.lastReadMs === -Infinity) return false;
    const seen = this.members.get(vm);
    if (!seen || seen.record.incarnation !== incarnation) return true;
    return this.lastReadMs - seen.changedMs >= LAPSE_MS;
  }
}
