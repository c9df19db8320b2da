/**
 * Keeps an unexpected error from ending what runs for the life of the process, or from keeping others
 * from their turn. Such an error is a fault of this program: it is logged with its stack.
 */
import type * as runtime from '@azureworks/runtime';
import * as boundedMaps from '../jobs/bounded-map';

/** What the guard writes to. */
export interface GuardOutputs {
  readonly log: runtime.Log;
  readonly metrics?: runtime.Metrics;
}

/** Errors that are remembered, so that each is logged once. */
const MAXIMUM_REMEMBERED_ERRORS = 64;
/** How much of a stack is logged, in characters. */
const MAXIMUM_STACK_LENGTH = 2000;

/** Runs the steps of one task. */
export class ErrorGuard {
  private readonly logged = boundedMaps.BoundedMap.create<true>(MAXIMUM_REMEMBERED_ERRORS);

  private constructor(
    private readonly outputs: GuardOutputs,
    private readonly task: string,
  ) {}

  /** @param task names the task in logs and metrics */
  static create(outputs: GuardOutputs, task: string): ErrorGuard {
    return new ErrorGuard(outputs, task);
  }

  /** Runs a step; returns whether it ended without an error. */
  run(step: () => void): boolean {
    try {
      step();
      return true;
    } catch (error) {
      this.report(error);
      return false;
    }
  }

  /** Handles all entries; an error with one of them does not keep the others from their turn. */
  forEach<Entry>(entries: Iterable<Entry>, handle: (entry: Entry) => void): void {
    for (const entry of entries) this.run(() => handle(entry));
  }

  /** Runs an asynchronous step; resolves to `fallback` after an error. */
  async settle<Value>(step: () => Promise<Value>, fallback: Value): Promise<Value> {
    try {
      return await step();
    } catch (error) {
      this.report(error);
      return fallback;
    }
  }

  /** Logs an error unless the same one was logged before, and counts it. */
  report(error: unknown): void {
    if (error instanceof AggregateError) {
      error.errors.forEach((single) => this.report(single));
      return;
    }
    const { task, outputs } = this;
    outputs.metrics?.count('unexpected_errors', { task });
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    const stack = text.slice(0, MAXIMUM_STACK_LENGTH);
    if (this.logged.get(stack)) return;
    this.logged.set(stack, true);
    outputs.log.warn('unexpected error', { task, error: stack });
  }
}
