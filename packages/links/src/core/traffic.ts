/**
 * Counters of the control messages of this process and of their bytes before HTTP/2 framing.
 */

/** Messages and bytes in each direction. */
export class TrafficCounters {
  sentMessages = 0;

  sentBytes = 0;

  receivedMessages = 0;

  receivedBytes = 0;

  static create(): TrafficCounters {
    return new TrafficCounters();
  }

  recordSent(bytes: number): void {
    this.sentMessages += 1;
    this.sentBytes += bytes;
  }

  recordReceived(bytes: number): void {
    this.receivedMessages += 1;
    this.receivedBytes += bytes;
  }
}

/** The control traffic of this process. */
export const CONTROL_TRAFFIC = TrafficCounters.create();
