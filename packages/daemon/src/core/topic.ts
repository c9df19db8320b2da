/**
 * Publish/subscribe inside the process: the task that owns a state publishes its changes to the
 * tasks that depend on it.
 */

/** Receives the messages of a topic. */
export type Subscriber<Message> = (message: Message) => void;

/** Delivers each message synchronously to all subscribers, in the order of subscription. */
export class Topic<Message> {
  private readonly subscribers: Subscriber<Message>[] = [];

  static create<Message>(): Topic<Message> {
    return new Topic();
  }

  subscribe(subscriber: Subscriber<Message>): void {
    this.subscribers.push(subscriber);
  }

  publish(message: Message): void {
    this.subscribers.forEach((subscriber) => subscriber(message));
  }
}
