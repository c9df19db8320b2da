/**
 * Discrete-event simulation, for experiments on decision logic that does no I/O.
 */
import * as decisions from '@azureworks/decisions';

interface ScheduledEvent {
  readonly atMs: number;
  readonly sequenceNumber: number;
  run(): void;
}

/**
 * Runs scheduled events in order of time from a binary heap. The clock jumps from one event to the
 * next; events of the same time run in the order in which they were scheduled.
 */
export class EventSimulator implements decisions.Clock {
  private readonly heap: ScheduledEvent[] = [];

  private readonly clock = decisions.ManualClock.create();

  private lastSequenceNumber = 0;

  static create(): EventSimulator {
    return new EventSimulator();
  }

  nowMs(): number {
    return this.clock.nowMs();
  }

  /** Schedules an event `delayMs` after the current simulated time. */
  schedule(delayMs: number, run: () => void): void {
    this.lastSequenceNumber += 1;
    this.push({ atMs: this.nowMs() + delayMs, sequenceNumber: this.lastSequenceNumber, run });
  }

  /** Runs all events up to and including `endMs`. */
  runUntil(endMs: number): void {
    for (;;) {
      if (this.heap.length === 0 || this.heap[0].atMs > endMs) return;
      const event = this.pop();
      this.clock.advance(event.atMs - this.nowMs());
      event.run();
    }
  }

  private push(event: ScheduledEvent): void {
    const { heap } = this;
    let position = heap.length;
    heap.push(event);
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (isBefore(heap[parent], event)) break;
      heap[position] = heap[parent];
      position = parent;
    }
    heap[position] = event;
  }

  private pop(): ScheduledEvent {
    const { heap } = this;
    const [top] = heap;
    const lastEvent = heap.pop() as ScheduledEvent;
    if (heap.length > 0) this.siftDown(lastEvent);
    return top;
  }

  private siftDown(event: ScheduledEvent): void {
    const { heap } = this;
    let position = 0;
    for (;;) {
      let child = position * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) child += 1;
      if (isBefore(event, heap[child])) break;
      heap[position] = heap[child];
      position = child;
    }
    heap[position] = event;
  }
}

function isBefore(first: ScheduledEvent, second: ScheduledEvent): boolean {
  return (
    first.atMs < second.atMs ||
    (first.atMs === second.atMs && first.sequenceNumber < second.sequenceNumber)
  );
}
