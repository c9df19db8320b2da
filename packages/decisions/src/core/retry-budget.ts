/**
 * A retry budget: limits retries to a share of recent first attempts, so that retries don't
 * overload a failing service.
 */

/** A token bucket: first attempts add tokens, and each retry takes one. */
export class RetryBudget {
  private constructor(
    private share: number,
    private readonly capacity: number,
    private tokens: number,
  ) {}

  /**
   * @param share retries allowed per first attempt, for example 0.2
   * @param capacity unused retries that are kept, so that retries are possible under light traffic
   * @param initial retries that are possible before the first attempts were recorded
   */
  static create(share: number, capacity: number, initial = capacity): RetryBudget {
    return new RetryBudget(share, capacity, initial);
  }

  setShare(share: number): void {
    this.share = share;
  }

  /** Records a first attempt. */
  deposit(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.share);
  }

  /** Takes one retry from the budget; returns false when the budget is used up. */
  withdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Returns a retry that was taken and not made. */
  giveBack(): void {
    this.tokens = Math.min(this.capacity, this.tokens + 1);
  }
}
