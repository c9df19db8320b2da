/**
 * A topic carries messages from the task that owns some state to the tasks that keep a view of it.
 */

/** Receives the messages of a topic. */
export type Subscriber<Message> = (message: Message) => void;

/** One publisher, any number of subscribers, delivered at once and in order. */
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
