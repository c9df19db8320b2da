/**
 * Counts the control messages of this process and their bytes, before HTTP/2 framing.
 */

/** Messages and bytes in both directions. */
export class Traffic {
  sentMessages = 0;

  sentBytes = 0;

  receivedMessages = 0;

  receivedBytes = 0;

  static create(): Traffic {
    return new Traffic();
  }

  noteSent(bytes: number): void {
    this.sentMessages += 1;
    this.sentBytes += bytes;
  }

  noteReceived(bytes: number): void {
    this.receivedMessages += 1;
    this.receivedBytes += bytes;
  }
}

/** The control traffic of this process. */
export const CONTROL_TRAFFIC = Traffic.create();
