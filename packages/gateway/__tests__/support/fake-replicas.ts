/**
 * Replicas in the test's own process. Streams make one event each few milliseconds and may be told
 * to fall silent, break off, refuse or answer with a failure.
 */
import * as gateway from '@azureworks/gateway';
import * as time from './virtual-time';

const { CallStatus, OrderStatus } = gateway;

/** What a replica does with the next requests. */
export interface ReplicaBehaviour {
  /** Milliseconds an event takes. */
  eventMs: number;
  /** Requests that are refused as not run. */
  refusals: number;
  /** Streams that break off after so many events. */
  breakAfter: number | undefined;
  /** Whether it begins each text anew instead of going on after an event. */
  isForgetful: boolean;
  /** Whether it gives no sign of life. */
  isSilent: boolean;
  /** Status of plain answers. */
  status: number;
  /** Milliseconds a plain answer takes. */
  answerMs: number;
}

/** A run as the replica saw it. */
export interface SeenRun {
  readonly replica: string;
  readonly itemId: string;
  readonly afterEvent: number | undefined;
  readonly startedMs: number;
}

/** The whole text of an item: the data of each event is its item and number. */
export function createText(itemId: string, events: number): string {
  return Array.from({ length: events }, (_unused, index) => `${itemId}:${index}`).join('\n');
}

/** All replicas of a test. */
export class FakeReplicas implements gateway.ReplicaCaller {
  readonly behaviours = new Map<string, ReplicaBehaviour>();

  /** Events of an item; 10 where nothing is said. */
  readonly lengths = new Map<string, number>();

  readonly versions = new Map<string, number>();

  readonly runs: SeenRun[] = [];

  readonly calls: { readonly replica: string; readonly id: string }[] = [];

  readonly orders: (gateway.WeightsOrder & { readonly replica: string; readonly atMs: number })[] =
    [];

  static create(): FakeReplicas {
    return new FakeReplicas();
  }

  behaviourOf(id: string): ReplicaBehaviour {
    let behaviour = this.behaviours.get(id);
    if (!behaviour) {
      behaviour = {
        eventMs: 20,
        refusals: 0,
        breakAfter: undefined,
        isForgetful: false,
        isSilent: false,
        status: 200,
        answerMs: 10,
      };
      this.behaviours.set(id, behaviour);
    }
    return behaviour;
  }

  async call(
    replica: gateway.Replica,
    request: gateway.ReplicaRequest,
    options: gateway.CallOptions,
  ): Promise<gateway.CallOutcome> {
    this.calls.push({ replica: replica.id, id: request.id });
    const behaviour = this.behaviourOf(replica.id);
    if (behaviour.refusals > 0) {
      behaviour.refusals -= 1;
      return { status: CallStatus.NotRun, reason: 'status 503' };
    }
    if (behaviour.isSilent) {
      const isAborted = await pauseUnless(options.deadlineMs, options.signal);
      if (isAborted) return { status: CallStatus.Cancelled, reason: 'aborted' };
      return { status: CallStatus.Broken, reason: 'no whole answer in time' };
    }
    if (await pauseUnless(behaviour.answerMs, options.signal)) {
      return { status: CallStatus.Cancelled, reason: 'aborted' };
    }
    const { status } = behaviour;
    const signature = status === 200 ? `signature of ${request.id}` : undefined;
    const answer = { status, headers: [], body: Buffer.from('body'), signature };
    return { status: CallStatus.Answered, answer, load: undefined };
  }

  async stream(
    replica: gateway.Replica,
    request: gateway.ReplicaRequest,
    options: gateway.StreamOptions,
    receiver: gateway.StreamReceiver,
  ): Promise<gateway.StreamOutcome> {
    const behaviour = this.behaviourOf(replica.id);
    const { afterEvent } = options;
    if (behaviour.refusals > 0) {
      behaviour.refusals -= 1;
      return { status: CallStatus.NotRun, reason: 'status 503' };
    }
    const startedMs = time.nowMs();
    this.runs.push({ replica: replica.id, itemId: request.id, afterEvent, startedMs });
    if (behaviour.isSilent) {
      const isAborted = await pauseUnless(options.firstEventMs, options.signal);
      if (isAborted) return { status: CallStatus.Cancelled, reason: 'aborted' };
      return { status: CallStatus.Broken, reason: 'silent for too long', isSilent: true };
    }
    const weightVersion = this.versions.get(replica.id) ?? 1;
    receiver.begin({
      status: 200,
      headers: [],
      signature: 'stamp',
      weightVersion,
      load: undefined,
    });
    const length = this.lengths.get(request.id) ?? 10;
    const first = behaviour.isForgetful ? 0 : (afterEvent ?? -1) + 1;
    for (let id = first; id < length; id += 1) {
      if (await pauseUnless(behaviour.eventMs, options.signal)) {
        return { status: CallStatus.Cancelled, reason: 'aborted' };
      }
      const isSilentNow = this.behaviourOf(replica.id).isSilent;
      if (isSilentNow) {
        await pauseUnless(options.silenceMs, options.signal);
        return { status: CallStatus.Broken, reason: 'silent for too long', isSilent: true };
      }
      const data = `${request.id}:${id}`;
      receiver.receive({ id, data, raw: Buffer.from(data), weightVersion: undefined });
      if (behaviour.breakAfter !== undefined && id + 1 >= behaviour.breakAfter) {
        return { status: CallStatus.Broken, reason: 'ECONNRESET' };
      }
    }
    const answer = { status: 200, headers: [], body: Buffer.alloc(0), signature: 'stamp' };
    return { status: CallStatus.Answered, answer, load: undefined };
  }

  order(replica: gateway.Replica, order: gateway.WeightsOrder): Promise<gateway.OrderStatus> {
    this.orders.push({ ...order, replica: replica.id, atMs: time.nowMs() });
    setTimeout(() => this.versions.set(replica.id, order.version), 900);
    return Promise.resolve(OrderStatus.Accepted);
  }

  report(replica: gateway.Replica): Promise<gateway.ReplicaReport | undefined> {
    const versions = new Map([['model', this.versions.get(replica.id) ?? 1]]);
    return Promise.resolve({ versions, isBusy: false, acceptedOrders: 0 });
  }

  forget(): void {}

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Waits; returns whether the signal came first. */
function pauseUnless(durationMs: number, signal: AbortSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(true);
  return new Promise((resolve) => {
    const timer = setTimeout(() => finish(false), durationMs);
    const abort = (): void => finish(true);
    function finish(isAborted: boolean): void {
      clearTimeout(timer);
      signal.removeEventListener('abort', abort);
      resolve(isAborted);
    }
    signal.addEventListener('abort', abort, { once: true });
  });
}
