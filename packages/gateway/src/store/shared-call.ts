/**
 * A call that answers everyone who asked for it before it was sent, at a bounded rate. What it answers
 * is therefore no older than the question, however many ask at the same time.
 */
import type * as environments from '../types/environment';

export interface SharedCallOptions<Value> {
  readonly clock: Pick<environments.Environment, 'nowMs' | 'pause'>;
  readonly call: () => Promise<Value>;
  /** The shortest time between two calls. */
  readonly getIntervalMs: () => number;
}

/** Joins questions to few calls. */
export class SharedCall<Value> {
  /** The call that was not sent yet. */
  private next: Promise<Value> | undefined;

  private lastSentMs = -Infinity;

  private constructor(private readonly options: SharedCallOptions<Value>) {}

  static create<Value>(options: SharedCallOptions<Value>): SharedCall<Value> {
    return new SharedCall(options);
  }

  /** The outcome of a call that is sent after this. */
  request(): Promise<Value> {
    this.next ??= this.send();
    return this.next;
  }

  private async send(): Promise<Value> {
    const { clock, call, getIntervalMs } = this.options;
    const remainingMs = this.lastSentMs + getIntervalMs() - clock.nowMs();
    await (remainingMs > 0 ? clock.pause(remainingMs) : Promise.resolve());
    this.next = undefined;
    this.lastSentMs = clock.nowMs();
    return call();
  }
}
