/**
 * Exponentially weighted moving average.
 */

/** Smooths a series of values. */
export class MovingAverage {
  private constructor(
    private readonly weight: number,
    private current: number,
  ) {}

  /**
   * @param weight the weight of a new value, in (0, 1]
   * @param initial the average before the first value is added
   */
  static create(weight: number, initial: number): MovingAverage {
    return new MovingAverage(weight, initial);
  }

  get value(): number {
    return this.current;
  }

  add(value: number): void {
    this.current += this.weight * (value - this.current);
  }
}
