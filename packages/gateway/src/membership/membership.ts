/**
 * Failure detector for gateways: decides which of them are alive from the rows that they renew in
 * the store.
 *
 * A member is gone when its row stayed unchanged for the expiry time while this process could read
 * the store, when its row was removed, or when its VM runs a newer process. Time in which the
 * store could not be read does not count towards expiry, so an outage removes no member. A read shows
 * the rows as they were at some time between its start and its end.
 *
 * Load pattern: the store answers every call, but so slowly that renewals and reads are several
 * intervals apart, while some members are cut off and their jobs wait for a new owner. Such a gap
 * counts, unlike one in which calls failed; but no single read counts for more than half of the
 * expiry time, because the renewals of live members are as far apart as the reads.
 */

/** A member's row. */
export interface MemberRecord {
  readonly vm: string;
  readonly incarnation: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Processor time of its VM, in cores of a standard machine. */
  readonly capacity: number;
  /** Whether it is about to stop and takes no new work. */
  readonly isStopping: boolean;
  /** Whether it can issue permits for replicas that limit their rate. */
  readonly issuesPermits: boolean;
  /** How far its wall clock is ahead of the store's clock; only where the deployment needs it. */
  readonly clockOffsetMs?: number | undefined;
  /** Revision of the row; it changes with every renewal. */
  readonly revision: number;
}

/** Interval at which a member renews its row and reads the others. */
const BASE_INTERVAL_MS = 500;
/** Each member adds this to the interval, to keep large groups within the store's rate limits. */
const INTERVAL_PER_MEMBER_MS = 8;
/** An unchanged row expires after this many intervals: two renewals may be lost. */
const EXPIRY_INTERVALS = 3.2;
/** A member relies on its own renewal for this many intervals, counted from before it was sent. */
const VALIDITY_INTERVALS = 2;
/** If two reads are more intervals apart than this, the expiry time of every row starts anew. */
const MAXIMUM_GAP_INTERVALS = 2.5;
/** Two reads may be this much further apart if all calls between them succeeded, in milliseconds. */
const MAXIMUM_CALLS_MS = 2400;

interface ObservedMember {
  readonly record: MemberRecord;
  /** The end of the read that first showed this revision, put off by time that does not count. */
  readonly changedMs: number;
}

/** The members as one process sees them. */
export class Membership {
  private readonly members = new Map<string, ObservedMember>();

  /** The start and the end of the last read. */
  private readFromMs = -Infinity;

  private lastReadMs = -Infinity;

  /** Whether a renewal or a read of this process has failed since the last read. */
  private hasFailedCall = false;

  static create(): Membership {
    return new Membership();
  }

  /** The interval at which this member should renew its row. */
  get intervalMs(): number {
    return BASE_INTERVAL_MS + INTERVAL_PER_MEMBER_MS * this.members.size;
  }

  /** How long this member may rely on a renewal, from before it was sent. */
  get validityMs(): number {
    return this.intervalMs * VALIDITY_INTERVALS;
  }

  private get expiryMs(): number {
    return this.intervalMs * EXPIRY_INTERVALS;
  }

  private get maximumGapMs(): number {
    const slowCallsMs = this.hasFailedCall ? 0 : MAXIMUM_CALLS_MS;
    return this.intervalMs * MAXIMUM_GAP_INTERVALS + slowCallsMs;
  }

  /** Records that a renewal or a read of this process failed. */
  recordFailedCall(): void {
    this.hasFailedCall = true;
  }

  /**
   * Replaces the view with the rows that were read.
   * @param nowMs the end of the read
   * @param sentMs its start
   */
  update(records: readonly MemberRecord[], nowMs: number, sentMs = nowMs): void {
    const sinceLastReadMs = nowMs - this.lastReadMs;
    const hasGap = sinceLastReadMs > this.maximumGapMs;
    const uncountedMs = Math.max(0, sinceLastReadMs - this.expiryMs / 2);
    this.lastReadMs = nowMs;
    this.readFromMs = sentMs;
    this.hasFailedCall = false;
    const former = new Map(this.members);
    this.members.clear();
    records.forEach((record) => {
      const observed = former.get(record.vm);
      const isUnchanged = observed?.record.revision === record.revision;
      const isCounted = isUnchanged && observed && !hasGap;
      const changedMs = isCounted ? observed.changedMs + uncountedMs : nowMs;
      this.members.set(record.vm, { record, changedMs });
    });
  }

  /** The record of a VM as of the last read, whether it is live or not. */
  find(vm: string): MemberRecord | undefined {
    return this.members.get(vm)?.record;
  }

  /** The live members, as of the last read. */
  listLive(): MemberRecord[] {
    return [...this.members.values()]
      .filter((observed) => !this.hasExpired(observed))
      .map((observed) => observed.record);
  }

  /** Whether a process is certainly gone, or may no longer act as a member. */
  isGone(vm: string, incarnation: string): boolean {
    if (this.lastReadMs === -Infinity) return false;
    const observed = this.members.get(vm);
    if (!observed || observed.record.incarnation !== incarnation) return true;
    return this.hasExpired(observed);
  }

  private hasExpired({ changedMs }: ObservedMember): boolean {
    return this.readFromMs - changedMs >= this.expiryMs;
  }
}
