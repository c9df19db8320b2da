/**
 * The membership list of one entry, following SWIM (Das, Gupta and Motivala, 2002): a member is
 * suspected before it is declared dead and can refute the suspicion with a higher incarnation.
 */
import type * as clocks from '../types/clock';

/** The state of a member. Within an incarnation, a state overrides those listed before it. */
export const MemberState = {
  Alive: 'alive',
  Suspect: 'suspect',
  Leaving: 'leaving',
  Dead: 'dead',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** The part of a member record that the view uses; actual records have more fields. */
export interface MemberRecord {
  readonly name: string;
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Time in which a suspected member can refute the suspicion before it is declared dead. */
const SUSPICION_TIMEOUT_MS = 2000;

/** Number of times that an update is sent, per doubling of the number of members. */
const TRANSMISSION_MULTIPLIER = 3;

/** Members by name, with the updates that are still to be gossiped. */
export class MemberView<Member extends MemberRecord> {
  private readonly members = new Map<string, Member>();

  private readonly suspectedMs = new Map<string, number>();

  /** Number of times that the record of a member is still to be sent. */
  private readonly pendingTransmissions = new Map<string, number>();

  private constructor(
    private ownRecord: Member,
    private readonly clock: clocks.Clock,
  ) {}

  static create<Member extends MemberRecord>(
    ownRecord: Member,
    clock: clocks.Clock,
  ): MemberView<Member> {
    return new MemberView(ownRecord, clock);
  }

  /** This entry's own record. */
  get self(): Member {
    return this.ownRecord;
  }

  setOwnState(state: MemberState): void {
    this.ownRecord = { ...this.ownRecord, state };
  }

  /** All other members, except those declared dead. */
  listPeers(): Member[] {
    return [...this.members.values()].filter((member) => member.state !== MemberState.Dead);
  }

  get(name: string): Member | undefined {
    return this.members.get(name);
  }

  /** Merges a record from another entry; returns whether it changed anything. */
  merge(record: Member): boolean {
    if (record.name === this.ownRecord.name) return this.refute(record);
    const existing = this.members.get(record.name);
    if (existing && !isNewer(record, existing)) return false;
    this.put(record);
    return true;
  }

  /** Records that a member answered, which ends any suspicion of it. */
  recordAnswer(name: string): void {
    const member = this.members.get(name);
    if (member?.state === MemberState.Suspect) this.put({ ...member, state: MemberState.Alive });
  }

  /** Records that a member answered neither this entry nor others. */
  suspect(name: string): void {
    const member = this.members.get(name);
    if (member?.state !== MemberState.Alive) return;
    this.put({ ...member, state: MemberState.Suspect });
  }

  /**
   * Declares members dead that have been suspected for too long. When more than half of all members
   * are suspected at once, the fault is more likely on this side, and no member is declared dead.
   */
  expireSuspects(): Member[] {
    const suspects = this.listPeers().filter((member) => member.state === MemberState.Suspect);
    const total = this.listPeers().length + 1;
    const isMassSuspicion = suspects.length > 1 && suspects.length > total / 2;
    if (isMassSuspicion) return [];
    const nowMs = this.clock.nowMs();
    const expired = suspects.filter(
      (member) => nowMs - (this.suspectedMs.get(member.name) ?? nowMs) >= SUSPICION_TIMEOUT_MS,
    );
    expired.forEach((member) => this.put({ ...member, state: MemberState.Dead }));
    return expired;
  }

  /** Takes at most `limit` records to send in the next exchange, without this entry's own. */
  takeUpdates(limit: number): Member[] {
    const names = [...this.pendingTransmissions.keys()].slice(0, limit);
    names.forEach((name) => {
      const remaining = (this.pendingTransmissions.get(name) ?? 0) - 1;
      if (remaining <= 0) this.pendingTransmissions.delete(name);
      else this.pendingTransmissions.set(name, remaining);
    });
    return names.flatMap((name) => this.members.get(name) ?? []);
  }

  private put(record: Member): void {
    this.members.set(record.name, record);
    if (record.state === MemberState.Suspect) {
      if (!this.suspectedMs.has(record.name)) this.suspectedMs.set(record.name, this.clock.nowMs());
    } else {
      this.suspectedMs.delete(record.name);
    }
    const transmissions = TRANSMISSION_MULTIPLIER * Math.ceil(Math.log2(this.members.size + 2));
    this.pendingTransmissions.set(record.name, transmissions);
  }

  /** Raises the own incarnation when another entry reports this one as suspect or dead. */
  private refute(record: Member): boolean {
    const needsRefutation =
      record.state === MemberState.Suspect || record.state === MemberState.Dead;
    if (!needsRefutation || record.incarnation < this.ownRecord.incarnation) return false;
    this.ownRecord = { ...this.ownRecord, incarnation: record.incarnation + 1 };
    return true;
  }
}

function isNewer(record: MemberRecord, existing: MemberRecord): boolean {
  if (record.incarnation !== existing.incarnation) return record.incarnation > existing.incarnation;
  return STATE_PRECEDENCE[record.state] > STATE_PRECEDENCE[existing.state];
}
