/**
 * Events in simulated time, for experiments on pure decisions.
 */
import * as decisions from '@azureworks/decisions';

interface Event {
  readonly atMs: number;
  readonly order: number;
  act(): void;
}

/** Runs events in the order of their times; a binary heap on a clock that stands still between. */
export class EventLoop implements decisions.Clock {
  private readonly heap: Event[] = [];

  private readonly clock = decisions.ManualClock.create();

  private order = 0;

  static create(): EventLoop {
    return new EventLoop();
  }

  nowMs(): number {
    return this.clock.nowMs();
  }

  /** Schedules an event `delayMs` from now. */
  schedule(delayMs: number, act: () => void): void {
    this.order += 1;
    this.push({ atMs: this.nowMs() + delayMs, order: this.order, act });
  }

  /** Runs until no event is left before `endMs`. */
  runUntil(endMs: number): void {
    for (;;) {
      if (this.heap.length === 0 || this.heap[0].atMs > endMs) return;
      const event = this.pop();
      this.clock.advance(event.atMs - this.nowMs());
      event.act();
    }
  }

  private push(event: Event): void {
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

  private pop(): Event {
    const { heap } = this;
    const [top] = heap;
    const last = heap.pop() as Event;
    if (heap.length > 0) this.sink(last);
    return top;
  }

  private sink(event: Event): void {
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

function isBefore(first: Event, second: Event): boolean {
  return first.atMs < second.atMs || (first.atMs === second.atMs && first.order < second.order);
}
