/**
 * The queue of an entry for one service: strict order of priority classes, and weighted fair
 * queueing between the organisations of a class (start-time fair queueing).
 */

/** A request waiting for admission. */
export interface Ticket {
  /** The priority class; 0 is served first. */
  readonly priority: number;
  readonly organisation: string;
  /** The weight of the organisation within its class. */
  readonly share: number;
  /** When the request must be answered, in milliseconds on the clock of the queue's owner. */
  readonly deadlineMs: number;
}

interface OrganisationQueue<T extends Ticket> {
  readonly tickets: T[];
  /** Virtual start time of the organisation's next ticket. */
  virtualStart: number;
}

interface PriorityClassQueue<T extends Ticket> {
  readonly priority: number;
  readonly organisations: Map<string, OrganisationQueue<T>>;
  virtualTime: number;
}

/** A queue with priority classes and organisations. */
export class FairQueue<T extends Ticket> {
  private readonly classes: PriorityClassQueue<T>[] = [];

  private count = 0;

  static create<T extends Ticket>(): FairQueue<T> {
    return new FairQueue();
  }

  get size(): number {
    return this.count;
  }

  add(ticket: T): void {
    const queue = this.getOrCreateQueue(ticket.priority);
    const organisation = queue.organisations.get(ticket.organisation) ?? {
      tickets: [],
      virtualStart: queue.virtualTime,
    };
    organisation.virtualStart = Math.max(organisation.virtualStart, queue.virtualTime);
    organisation.tickets.push(ticket);
    queue.organisations.set(ticket.organisation, organisation);
    this.count += 1;
  }

  /** Takes the next ticket: from the highest class, then according to fair shares. */
  next(): T | undefined {
    const queue = this.classes.find((candidate) => candidate.organisations.size > 0);
    if (!queue) return undefined;
    const [name, organisation] = findNextOrganisation(queue);
    const ticket = organisation.tickets.shift() as T;
    queue.virtualTime = organisation.virtualStart;
    organisation.virtualStart += 1 / ticket.share;
    if (organisation.tickets.length === 0) queue.organisations.delete(name);
    this.count -= 1;
    return ticket;
  }

  /** Removes a ticket; returns false when it is not in the queue. */
  remove(ticket: T): boolean {
    const queue = this.classes.find((candidate) => candidate.priority === ticket.priority);
    const organisation = queue?.organisations.get(ticket.organisation);
    const position = organisation?.tickets.indexOf(ticket) ?? -1;
    if (!queue || !organisation || position === -1) return false;
    organisation.tickets.splice(position, 1);
    if (organisation.tickets.length === 0) queue.organisations.delete(ticket.organisation);
    this.count -= 1;
    return true;
  }

  /** Number of tickets that are served before a new one of this priority. */
  countAhead(priority: number): number {
    return this.classes
      .filter((queue) => queue.priority <= priority)
      .reduce((sum, queue) => sum + countTickets(queue), 0);
  }

  /**
   * The ticket to evict from a full queue: in the lowest class, the last one of the organisation
   * with the most tickets. Undefined when the queue is empty.
   */
  findEvictionCandidate(): T | undefined {
    const queue = this.classes.findLast((candidate) => candidate.organisations.size > 0);
    if (!queue) return undefined;
    const longest = [...queue.organisations.values()].reduce((best, organisation) =>
      organisation.tickets.length > best.tickets.length ? organisation : best,
    );
    return longest.tickets[longest.tickets.length - 1];
  }

  /** All tickets in the queue. */
  list(): T[] {
    return this.classes.flatMap((queue) =>
      [...queue.organisations.values()].flatMap((organisation) => organisation.tickets),
    );
  }

  private getOrCreateQueue(priority: number): PriorityClassQueue<T> {
    const existing = this.classes.find((queue) => queue.priority === priority);
    if (existing) return existing;
    const queue: PriorityClassQueue<T> = { priority, organisations: new Map(), virtualTime: 0 };
    this.classes.push(queue);
    this.classes.sort((first, second) => first.priority - second.priority);
    return queue;
  }
}

function findNextOrganisation<T extends Ticket>(
  queue: PriorityClassQueue<T>,
): [string, OrganisationQueue<T>] {
  return [...queue.organisations].reduce((best, candidate) =>
    candidate[1].virtualStart < best[1].virtualStart ? candidate : best,
  );
}

function countTickets<T extends Ticket>(queue: PriorityClassQueue<T>): number {
  let sum = 0;
  queue.organisations.forEach((organisation) => {
    sum += organisation.tickets.length;
  });
  return sum;
}
