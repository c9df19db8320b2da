/**
 * A mailbox delivers messages to its owner one at a time, in the order in which they were posted.
 */

/** Handles one message; the next is delivered when the returned promise has settled. */
export type Receive<Message> = (message: Message) => void | Promise<void>;

/** The receiving end of a task. */
export class Mailbox<Message> {
  private readonly messages: Message[] = [];

  private isDelivering = false;

  private isClosed = false;

  private constructor(
    private readonly receive: Receive<Message>,
    private readonly fail: (error: unknown) => void,
  ) {}

  /** @param fail told of errors that `receive` throws; the mailbox goes on with the next message */
  static create<Message>(
    receive: Receive<Message>,
    fail: (error: unknown) => void,
  ): Mailbox<Message> {
    return new Mailbox(receive, fail);
  }

  /** The number of messages that wait. */
  get size(): number {
    return this.messages.length;
  }

  /** Adds a message; dropped when the mailbox is closed. */
  post(message: Message): void {
    if (this.isClosed) return;
    this.messages.push(message);
    if (!this.isDelivering) this.deliver();
  }

  /** Drops what waits and everything that is posted later. */
  close(): void {
    this.isClosed = true;
    this.messages.length = 0;
  }

  private async deliver(): Promise<void> {
    this.isDelivering = true;
    while (this.messages.length > 0) {
      const message = this.messages.shift() as Message;
      try {
        await this.receive(message);
      } catch (error) {
        this.fail(error);
      }
    }
    this.isDelivering = false;
  }
}
