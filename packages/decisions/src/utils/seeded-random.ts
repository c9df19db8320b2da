/**
 * A small pseudo-random number generator (mulberry32). A seed gives the same sequence in every
 * process.
 */
/* eslint-disable no-bitwise -- the generator mixes bits */
import type * as random from '../types/random';

const MULBERRY32_INCREMENT = 0x6d2b79f5;
const TWO_TO_THE_32 = 4294967296;

/** Pseudo-random numbers from a seed. */
export class SeededRandom implements random.Random {
  private constructor(private state: number) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(Math.trunc(seed));
  }

  /** Creates a generator with a random seed, for production use. */
  static createWithRandomSeed(): SeededRandom {
    return new SeededRandom(Math.floor(Math.random() * TWO_TO_THE_32));
  }

  next(): number {
    this.state = (this.state + MULBERRY32_INCREMENT) % TWO_TO_THE_32;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_TO_THE_32;
  }
}
