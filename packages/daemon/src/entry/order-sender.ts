/**
 * Sends weight orders to the targets of an entry in waves, so that only a limited share of the
 * replicas of a service loads weights at the same time.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import type * as directories from './target-directory';

/** Sends an order on the link of a target. */
export type SendOrder = (target: string, order: links.WeightsOrder) => void;

interface SentOrder {
  readonly order: links.WeightsOrder;
  readonly sentAtMs: number;
  /** Incarnation of the target daemon that received the order. */
  readonly incarnation: number;
}

/** Tracks the orders that were sent and decides which are sent next. */
export class OrderSender {
  private readonly sent = new Map<string, SentOrder>();

  private constructor(
    private readonly directory: directories.TargetDirectory,
    private readonly clock: decisions.Clock,
    private readonly send: SendOrder,
  ) {}

  static create(
    directory: directories.TargetDirectory,
    clock: decisions.Clock,
    send: SendOrder,
  ): OrderSender {
    return new OrderSender(directory, clock, send);
  }

  /** Sends an order to the replicas of the next wave. */
  sendDue(order: links.WeightsOrder, engine: configuration.Engine | undefined): void {
    const targets = this.directory.list(order.engine);
    const replicas = targets.map((target) => ({
      name: target.hello.name,
      version: target.weightVersions[order.model],
      orderedAgoMs: this.getOrderAgeMs(target, order),
    }));
    const share = engine?.swap_share ?? 1;
    const chosen = new Set(decisions.chooseReplicasToLoad(replicas, order.version, share));
    targets
      .filter((target) => chosen.has(target.hello.name))
      .filter((target) => this.getOrderAgeMs(target, order) === undefined)
      .forEach((target) => this.sendTo(target, order));
  }

  private sendTo(target: directories.TrackedTarget, order: links.WeightsOrder): void {
    const { name, incarnation } = target.hello;
    const key = `${name}/${order.model}`;
    this.sent.set(key, { order, sentAtMs: this.clock.nowMs(), incarnation });
    this.send(name, order);
  }

  /**
   * Time since this order was sent to this incarnation of the target daemon; undefined if never.
   */
  private getOrderAgeMs(
    target: directories.TrackedTarget,
    order: links.WeightsOrder,
  ): number | undefined {
    const sent = this.sent.get(`${target.hello.name}/${order.model}`);
    if (!sent || sent.incarnation !== target.hello.incarnation) return undefined;
    const isSame = sent.order.version === order.version && sent.order.fence === order.fence;
    return isSame ? this.clock.nowMs() - sent.sentAtMs : undefined;
  }
}
