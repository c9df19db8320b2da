/**
 * The list of results of a job that runs here. Readers mostly ask for the newest ones, so only these are
 * held in memory; earlier ones are read from the store.
 */
import type * as intake from '@azureworks/intake';
import type * as jobs from '../types/batch-job';

/** Results that are held for readers of one job, in bytes. */
const MAXIMUM_HELD_BYTES = 1024 * 1024;
/** Memory of a result without its text, in bytes. */
const RESULT_BYTES = 300;
/** Each character of a text takes up to two bytes. */
const CHARACTER_BYTES = 2;

/** The results of one job. */
export class ListedResults {
  private held: jobs.ItemResult[] = [];

  private listedCount = 0;

  private constructor(private readonly reservation: intake.Reservation) {}

  static create(reservation: intake.Reservation): ListedResults {
    return new ListedResults(reservation);
  }

  /** The length of the list. */
  get count(): number {
    return this.listedCount;
  }

  /** Appends results that are in the store. */
  append(results: readonly jobs.ItemResult[]): void {
    this.listedCount += results.length;
    results.forEach((result) => {
      this.held.push(result);
      this.reservation.grow(estimateBytes(result));
    });
    let excess = 0;
    let { bytes } = this.reservation;
    while (bytes > MAXIMUM_HELD_BYTES && excess < this.held.length - 1) {
      bytes -= estimateBytes(this.held[excess]);
      excess += 1;
    }
    this.drop(excess);
  }

  /** The results from a position onwards; undefined when the store has to be read for them. */
  list(position: number): readonly jobs.ItemResult[] | undefined {
    const firstHeld = this.listedCount - this.held.length;
    return position < firstHeld ? undefined : this.held.slice(position - firstHeld);
  }

  /** Gives the memory of the results back. */
  release(): void {
    this.drop(this.held.length);
  }

  private drop(count: number): void {
    this.held.splice(0, count).forEach((result) => this.reservation.shrink(estimateBytes(result)));
  }
}

function estimateBytes(result: jobs.ItemResult): number {
  return RESULT_BYTES + result.text.length * CHARACTER_BYTES;
}
