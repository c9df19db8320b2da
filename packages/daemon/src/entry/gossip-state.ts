/**
 * State that entries share by gossip: the current weight version of each trainer and the weight
 * orders. Values only increase, so that a late or repeated update has no effect.
 */
import type * as links from '@azureworks/links';
import * as topics from '../core/topic';

/** The trainer positions and weight orders that an entry has received. */
export class GossipState {
  /** Published when a newer order is received. */
  readonly orderUpdates = topics.Topic.create<links.WeightsOrder>();

  /** Published when a trainer reaches a higher version. */
  readonly positionUpdates = topics.Topic.create<links.TrainerPosition>();

  private readonly positions = new Map<string, links.TrainerPosition>();

  private readonly orders = new Map<string, links.WeightsOrder>();

  static create(): GossipState {
    return new GossipState();
  }

  /** Updates the position of a trainer, which is its current weight version, if it is higher. */
  updatePosition(position: links.TrainerPosition): void {
    const current = this.positions.get(position.trainer);
    if (current && current.version >= position.version) return;
    this.positions.set(position.trainer, position);
    this.positionUpdates.publish(position);
  }

  /** Updates the order for an engine and model if it is newer. */
  updateOrder(order: links.WeightsOrder): void {
    const current = this.orders.get(`${order.engine}/${order.model}`);
    if (current && !isNewer(order, current)) return;
    this.orders.set(`${order.engine}/${order.model}`, order);
    this.orderUpdates.publish(order);
  }

  /** The current weight version of a trainer; 0 before it reported one. */
  getTrainerVersion(trainer: string): number {
    return this.positions.get(trainer)?.version ?? 0;
  }

  listPositions(): links.TrainerPosition[] {
    return [...this.positions.values()];
  }

  listOrders(): links.WeightsOrder[] {
    return [...this.orders.values()];
  }
}

function isNewer(order: links.WeightsOrder, current: links.WeightsOrder): boolean {
  if (order.fence !== current.fence) return order.fence > current.fence;
  return order.version > current.version;
}
