/**
 * The view that one entry has of all entries, in the manner of SWIM (Das, Gupta and Motivala,
 * 2002): suspicion comes before death and can be refuted by a higher incarnation.
 */
import type * as clock from '../types/clock';

/** Where a member stands, in the order in which news wins within an incarnation. */
export const Standing = {
  Alive: 'alive',
  Suspect: 'suspect',
  Leaving: 'leaving',
  Dead: 'dead',
} as const;
export type Standing = (typeof Standing)[keyof typeof Standing];

const RANK: Readonly<Record<Standing, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/** What the view needs of a member; members carry more. */
export interface MemberRecord {
  readonly name: string;
  readonly incarnation: number;
  readonly state: Standing;
}

const SUSPICION_MS = 2000;
const TRANSMISSIONS_FACTOR = 3;

/** Members by name, with the news that remains to be spread. */
export class MemberView<M extends MemberRecord> {
  private readonly members = new Map<string, M>();

  private readonly suspectedMs = new Map<string, number>();

  private readonly news = new Map<string, number>();

  private constructor(
    private own: M,
    private readonly time: clock.Clock,
  ) {}

  static create<M extends MemberRecord>(own: M, time: clock.Clock): MemberView<M> {
    return new MemberView(own, time);
  }

  /** This entry's own record. */
  get self(): M {
    return this.own;
  }

  /** Changes this entry's own state. */
  setOwnState(state: Standing): void {
    this.own = { ...this.own, state };
  }

  /** All other members that are not known to be dead. */
  listPeers(): M[] {
    return [...this.members.values()].filter((member) => member.state !== Standing.Dead);
  }

  get(name: string): M | undefined {
    return this.members.get(name);
  }

  /** Takes a record from another entry; returns whether it was news. */
  merge(record: M): boolean {
    if (record.name === this.own.name) return this.refute(record);
    const known = this.members.get(record.name);
    if (known && !isNewer(record, known)) return false;
    this.put(record);
    return true;
  }

  /** Notes that a member answered: a suspicion of it ends here. */
  noteAnswer(name: string): void {
    const member = this.members.get(name);
    if (member?.state === Standing.Suspect) this.put({ ...member, state: Standing.Alive });
  }

  /** Notes that a member did not answer, not even to others. */
  suspect(name: string): void {
    const member = this.members.get(name);
    if (member?.state !== Standing.Alive) return;
    this.put({ ...member, state: Standing.Suspect });
  }

  /**
   * Declares members dead whose suspicion lasted too long. When more than half of all members are
   * suspected at once, the fault is more likely here, and nobody is declared dead.
   */
  expireSuspects(): M[] {
    const suspects = this.listPeers().filter((member) => member.state === Standing.Suspect);
    const total = this.listPeers().length + 1;
    const isMass = suspects.length > 1 && suspects.length > total / 2;
    if (isMass) return [];
    const nowMs = this.time.nowMs();
    const expired = suspects.filter(
      (member) => nowMs - (this.suspectedMs.get(member.name) ?? nowMs) >= SUSPICION_MS,
    );
    expired.forEach((member) => this.put({ ...member, state: Standing.Dead }));
    return expired;
  }

  /** The records to send in the next exchange: own record and unspread news. */
  takeNews(limit: number): M[] {
    const names = [...this.news.keys()].slice(0, limit);
    names.forEach((name) => {
      const left = (this.news.get(name) ?? 0) - 1;
      if (left <= 0) this.news.delete(name);
      else this.news.set(name, left);
    });
    return names.flatMap((name) => this.members.get(name) ?? []);
  }

  private put(record: M): void {
    this.members.set(record.name, record);
    if (record.state === Standing.Suspect) {
      if (!this.suspectedMs.has(record.name)) this.suspectedMs.set(record.name, this.time.nowMs());
    } else {
      this.suspectedMs.delete(record.name);
    }
    const transmissions = TRANSMISSIONS_FACTOR * Math.ceil(Math.log2(this.members.size + 2));
    this.news.set(record.name, transmissions);
  }

  private refute(record: M): boolean {
    const isWrong = record.state === Standing.Suspect || record.state === Standing.Dead;
    if (!isWrong || record.incarnation < this.own.incarnation) return false;
    this.own = { ...this.own, incarnation: record.incarnation + 1 };
    return true;
  }
}

function isNewer(record: MemberRecord, known: MemberRecord): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation;
  return RANK[record.state] > RANK[known.state];
}
