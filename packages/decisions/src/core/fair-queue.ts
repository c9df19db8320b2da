/**
 * The queue of an entry for one service: strict priority between classes, weighted fair shares
 * between the tenants of a class (start-time fair queueing).
 */

/** A request that waits for admission. */
export interface Ticket {
  /** 0 is served first. */
  readonly priority: number;
  readonly tenant: string;
  /** The weight of the tenant among the tenants of its class. */
  readonly share: number;
  /** When waiting becomes pointless, in milliseconds on the owner's clock. */
  readonly deadlineMs: number;
}

interface TenantQueue<T extends Ticket> {
  readonly tickets: T[];
  /** Virtual time at which the tenant's next ticket starts. */
  start: number;
}

interface ClassQueue<T extends Ticket> {
  readonly priority: number;
  readonly tenants: Map<string, TenantQueue<T>>;
  virtualTime: number;
}

/** A queue with classes and tenants. */
export class FairQueue<T extends Ticket> {
  private readonly classes: ClassQueue<T>[] = [];

  private count = 0;

  static create<T extends Ticket>(): FairQueue<T> {
    return new FairQueue();
  }

  get size(): number {
    return this.count;
  }

  add(ticket: T): void {
    const queue = this.openClass(ticket.priority);
    const tenant = queue.tenants.get(ticket.tenant) ?? { tickets: [], start: queue.virtualTime };
    tenant.start = Math.max(tenant.start, queue.virtualTime);
    tenant.tickets.push(ticket);
    queue.tenants.set(ticket.tenant, tenant);
    this.count += 1;
  }

  /** Takes the next ticket in the order of class, then of fair shares. */
  next(): T | undefined {
    const queue = this.classes.find((candidate) => candidate.tenants.size > 0);
    if (!queue) return undefined;
    const [name, tenant] = findEarliest(queue);
    const ticket = tenant.tickets.shift() as T;
    queue.virtualTime = tenant.start;
    tenant.start += 1 / ticket.share;
    if (tenant.tickets.length === 0) queue.tenants.delete(name);
    this.count -= 1;
    return ticket;
  }

  /** Removes a ticket; false when it does not wait. */
  remove(ticket: T): boolean {
    const queue = this.classes.find((candidate) => candidate.priority === ticket.priority);
    const tenant = queue?.tenants.get(ticket.tenant);
    const position = tenant?.tickets.indexOf(ticket) ?? -1;
    if (!queue || !tenant || position === -1) return false;
    tenant.tickets.splice(position, 1);
    if (tenant.tickets.length === 0) queue.tenants.delete(ticket.tenant);
    this.count -= 1;
    return true;
  }

  /** Tickets that are served before a new one of this priority. */
  countAhead(priority: number): number {
    return this.classes
      .filter((queue) => queue.priority <= priority)
      .reduce((sum, queue) => sum + countTickets(queue), 0);
  }

  /** The waiting ticket of the lowest class that came last; undefined when the queue is empty. */
  findLast(): T | undefined {
    const queue = this.classes.findLast((candidate) => candidate.tenants.size > 0);
    if (!queue) return undefined;
    const longest = [...queue.tenants.values()].reduce((best, tenant) =>
      tenant.tickets.length > best.tickets.length ? tenant : best,
    );
    return longest.tickets[longest.tickets.length - 1];
  }

  /** Every waiting ticket. */
  list(): T[] {
    return this.classes.flatMap((queue) =>
      [...queue.tenants.values()].flatMap((tenant) => tenant.tickets),
    );
  }

  private openClass(priority: number): ClassQueue<T> {
    const existing = this.classes.find((queue) => queue.priority === priority);
    if (existing) return existing;
    const queue: ClassQueue<T> = { priority, tenants: new Map(), virtualTime: 0 };
    this.classes.push(queue);
    this.classes.sort((first, second) => first.priority - second.priority);
    return queue;
  }
}

function findEarliest<T extends Ticket>(queue: ClassQueue<T>): [string, TenantQueue<T>] {
  return [...queue.tenants].reduce((best, candidate) =>
    candidate[1].start < best[1].start ? candidate : best,
  );
}

function countTickets<T extends Ticket>(queue: ClassQueue<T>): number {
  let sum = 0;
  queue.tenants.forEach((tenant) => {
    sum += tenant.tickets.length;
  });
  return sum;
}
