/**
 * Sends a request of an organisation, and counts each call that a replica began to run.
 *
 * A plain call is taken to begin when it is sent, a stream when its head arrives, as it may queue at the
 * replica before. A call that ended otherwise counts if it was sent.
 */
import * as replicas from '../types/replica';
import type * as usageCounters from './usage-counter';

/** Counts the calls of one request. */
export class MeteredSender implements replicas.RequestSender {
  private constructor(
    private readonly sender: replicas.RequestSender,
    private readonly organisation: string,
    private readonly counter: Pick<usageCounters.UsageCounter, 'record'>,
    private readonly nowMs: () => number,
  ) {}

  static create(
    sender: replicas.RequestSender,
    organisation: string,
    counter: Pick<usageCounters.UsageCounter, 'record'>,
    nowMs: () => number,
  ): MeteredSender {
    return new MeteredSender(sender, organisation, counter, nowMs);
  }

  async call(...call: Parameters<replicas.RequestSender['call']>): Promise<replicas.CallOutcome> {
    const takeBack = this.counter.record(this.organisation, this.nowMs());
    let hasBegun = false;
    try {
      const outcome = await this.sender.call(...call);
      hasBegun = mayHaveBegun(outcome);
      return outcome;
    } finally {
      if (!hasBegun) takeBack();
    }
  }

  async stream(
    ...[replica, request, options, receiver]: Parameters<replicas.RequestSender['stream']>
  ): Promise<replicas.StreamOutcome> {
    const sentMs = this.nowMs();
    let hasBegun = false;
    const outcome = await this.sender.stream(replica, request, options, {
      begin: (head) => {
        if (!hasBegun) this.counter.record(this.organisation, this.nowMs());
        hasBegun = true;
        receiver.begin(head);
      },
      receive: (event) => receiver.receive(event),
    });
    if (!hasBegun && mayHaveBegun(outcome)) this.counter.record(this.organisation, sentMs);
    return outcome;
  }
}

/** Whether the replica has begun, or may have begun, to run the request. */
function mayHaveBegun(outcome: replicas.CallOutcome): boolean {
  if (outcome.status === replicas.CallStatus.Answered) return true;
  return !replicas.isNotRun(outcome.status) && outcome.connection !== undefined;
}
