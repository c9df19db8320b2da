/**
 * Small facts that entries share by gossip: where each trainer stands and which weights are
 * ordered. Both only ever move forward, so that late or repeated news changes nothing.
 */
import type * as links from '@azureworks/links';
import * as topics from '../core/topic';

/** What an entry knows of trainers and weight orders. */
export class Knowledge {
  /** Published when a newer order is learned. */
  readonly newOrders = topics.Topic.create<links.WeightsOrder>();

  /** Published when a trainer is learned to have moved on. */
  readonly newPositions = topics.Topic.create<links.TrainerPosition>();

  private readonly positions = new Map<string, links.TrainerPosition>();

  private readonly orders = new Map<string, links.WeightsOrder>();

  static create(): Knowledge {
    return new Knowledge();
  }

  /** Takes a trainer's position unless a later one is known. */
  notePosition(position: links.TrainerPosition): void {
    const known = this.positions.get(position.trainer);
    if (known && known.version >= position.version) return;
    this.positions.set(position.trainer, position);
    this.newPositions.publish(position);
  }

  /** Takes an order unless a newer one for the same engine and trainer is known. */
  noteOrder(order: links.WeightsOrder): void {
    const known = this.orders.get(`${order.engine}/${order.model}`);
    if (known && !isNewer(order, known)) return;
    this.orders.set(`${order.engine}/${order.model}`, order);
    this.newOrders.publish(order);
  }

  /** The version that a trainer stands at; 0 when it never said. */
  getVersion(trainer: string): number {
    return this.positions.get(trainer)?.version ?? 0;
  }

  listPositions(): links.TrainerPosition[] {
    return [...this.positions.values()];
  }

  listOrders(): links.WeightsOrder[] {
    return [...this.orders.values()];
  }
}

function isNewer(order: links.WeightsOrder, known: links.WeightsOrder): boolean {
  if (order.fence !== known.fence) return order.fence > known.fence;
  return order.version > known.version;
}
