/**
 * A small pseudo-random generator (mulberry32). The same seed gives the same sequence everywhere.
 */
/* eslint-disable no-bitwise -- hashing mixes bits */
import type * as random from '../types/random';

const INCREMENT = 0x6d2b79f5;
const TWO_TO_THE_32 = 4294967296;

/** Pseudo-random numbers from a seed. */
export class SeededRandom implements random.Random {
  private constructor(private state: number) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(Math.trunc(seed));
  }

  /** A generator seeded from the system's own randomness, for production use. */
  static createUnseeded(): SeededRandom {
    return new SeededRandom(Math.floor(Math.random() * TWO_TO_THE_32));
  }

  next(): number {
    this.state = (this.state + INCREMENT) % TWO_TO_THE_32;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_TO_THE_32;
  }
}
