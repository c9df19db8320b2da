/**
 * Gives the inputs of connections their turns: at once while the event loop has done little parsing, and
 * after a few milliseconds in its next iterations, so that everything else that a process does goes on
 * between them.
 */
import * as perfHooks from 'node:perf_hooks';
import * as inputTurns from '../core/input-turns';

/** The input of one connection, with its bytes. */
export interface ScheduledInput extends inputTurns.Input {
  /** Parses the next bytes. */
  parse(bytes: number): void;
  /** Reads from the socket again. */
  readOn(): void;
}

/** How long inputs are parsed before everything else has its turn, in milliseconds. */
const ITERATION_TIME_MS = 4;

/** The turns of all connections of a server. */
export class InputScheduler {
  private readonly turns = inputTurns.InputTurns.create<ScheduledInput>();

  /** Inputs that read on when there is room. */
  private readonly unread = new Set<ScheduledInput>();

  /** Time taken by turns since everything else had its turn. */
  private usedMs = 0;

  private isRunning = false;

  private immediate: NodeJS.Immediate | undefined;

  static create(): InputScheduler {
    return new InputScheduler();
  }

  /** Bytes that wait for their turns. */
  get heldBytes(): number {
    return this.turns.heldBytes;
  }

  /** Takes bytes that were read; returns false when the connection has to be closed. */
  receive(input: ScheduledInput, bytes: number): boolean {
    return this.turns.receive(input, bytes);
  }

  /** Reads on, as soon as there is room for what is read. */
  requestRead(input: ScheduledInput): void {
    if (this.turns.isFull) this.unread.add(input);
    else input.readOn();
  }

  /** Asks for a turn, which may come before this returns. */
  requestTurn(input: ScheduledInput): void {
    this.turns.wait(input);
    if (!this.isRunning) this.runOrPause();
  }

  remove(input: ScheduledInput): void {
    this.turns.remove(input);
    this.unread.delete(input);
    this.admitReads();
  }

  private runOrPause(): void {
    if (this.immediate || !this.turns.hasWaiting) return;
    if (this.usedMs < ITERATION_TIME_MS) this.run();
    else this.immediate = setImmediate(() => this.beginIteration());
  }

  private run(): void {
    const input = this.turns.next();
    if (!input) return;
    this.isRunning = true;
    const bytes = this.turns.beginSlice(input);
    const startMs = perfHooks.performance.now();
    input.parse(bytes);
    // What the slice set off counts for it, too.
    queueMicrotask(() => this.endSlice(input, bytes, startMs));
  }

  private endSlice(input: ScheduledInput, bytes: number, startMs: number): void {
    const tookMs = perfHooks.performance.now() - startMs;
    this.usedMs += tookMs;
    inputTurns.adaptSlice(input, bytes, tookMs);
    this.isRunning = false;
    this.admitReads();
    this.runOrPause();
  }

  private beginIteration(): void {
    this.immediate = undefined;
    this.usedMs = 0;
    this.runOrPause();
  }

  private admitReads(): void {
    for (const input of this.unread) {
      if (this.turns.isFull) return;
      this.unread.delete(input);
      input.readOn();
    }
  }
}
