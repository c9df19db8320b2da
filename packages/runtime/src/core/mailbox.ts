/**
 * An actor-style mailbox: delivers messages to its owner one at a time, in the order of posting.
 */

/** Handles one message; the next one is delivered after the returned promise has settled. */
export type MessageHandler<Message> = (message: Message) => void | Promise<void>;

/** The message queue of one task. */
export class Mailbox<Message> {
  private readonly messages: Message[] = [];

  private isDelivering = false;

  private isClosed = false;

  private constructor(
    private readonly handleMessage: MessageHandler<Message>,
    private readonly onError: (error: unknown) => void,
  ) {}

  /** @param onError called with each error of `handleMessage`; the next message is delivered anyway */
  static create<Message>(
    handleMessage: MessageHandler<Message>,
    onError: (error: unknown) => void,
  ): Mailbox<Message> {
    return new Mailbox(handleMessage, onError);
  }

  /** The number of messages waiting for delivery. */
  get size(): number {
    return this.messages.length;
  }

  /** Adds a message; a closed mailbox drops it. */
  post(message: Message): void {
    if (this.isClosed) return;
    this.messages.push(message);
    if (!this.isDelivering) this.deliver();
  }

  /** Drops all waiting messages and all that are posted later. */
  close(): void {
    this.isClosed = true;
    this.messages.length = 0;
  }

  private async deliver(): Promise<void> {
    this.isDelivering = true;
    while (this.messages.length > 0) {
      const message = this.messages.shift() as Message;
      try {
        await this.handleMessage(message);
      } catch (error) {
        this.onError(error);
      }
    }
    this.isDelivering = false;
  }
}
