/**
 * The number of orders that each replica has accepted, as far as this gateway knows it. An order is only valid
 * at that number, so that one which is carried out late has no effect after a newer one.
 *
 * Load pattern: every replica gets an order for each model every few seconds. What it has accepted is known
 * from the last report and from the orders since, while this gateway alone sends orders; a wrong number makes
 * the replica refuse the order, and the next one is preceded by a report.
 */
import * as replicas from '../types/replica';

interface KnownCount {
  /** The fence of the tenure in which the number was learned. */
  readonly fence: number;
  readonly acceptedOrders: number;
}

/** The outcome of an order. */
export interface OrderOutcome {
  /** The number for which the order was valid. */
  readonly acceptedOrders: number;
  readonly status: replicas.OrderStatus;
}

/** Incarnations of replicas that are remembered; the one without an order for longest is forgotten first. */
const MAXIMUM_REPLICAS = 20_000;

/** What the replicas have accepted. */
export class OrderCounts {
  private readonly counts = new Map<string, KnownCount>();

  static create(): OrderCounts {
    return new OrderCounts();
  }

  /** The number of orders that a replica has accepted; undefined when a report has to tell. */
  find(replica: string, fence: number): number | undefined {
    const known = this.counts.get(replica);
    return known?.fence === fence ? known.acceptedOrders : undefined;
  }

  recordReport(replica: string, fence: number, acceptedOrders: number): void {
    this.counts.delete(replica);
    this.counts.set(replica, { fence, acceptedOrders });
    const [oldest] = this.counts.keys();
    if (this.counts.size > MAXIMUM_REPLICAS && oldest !== undefined) this.counts.delete(oldest);
  }

  recordOrder(replica: string, fence: number, { acceptedOrders, status }: OrderOutcome): void {
    const { OrderStatus } = replicas;
    if (status === OrderStatus.Accepted) {
      this.recordReport(replica, fence, acceptedOrders + 1);
    } else if (status !== OrderStatus.AlreadyHolds) {
      this.counts.delete(replica);
    }
  }
}
