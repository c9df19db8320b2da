/**
 * A retry budget: retries may be at most a share of recent first attempts, so that a failing
 * service isn't drowned in retries.
 */

/** A token bucket that first attempts fill and retries drain. */
export class RetryBudget {
  private constructor(
    private share: number,
    private readonly reserve: number,
    private tokens: number,
  ) {}

  /**
   * @param share retries allowed for each first attempt, for example 0.2
   * @param reserve retries that may be saved up, so that light traffic can retry at all
   */
  static create(share: number, reserve: number): RetryBudget {
    return new RetryBudget(share, reserve, reserve);
  }

  /** Changes the share. */
  setShare(share: number): void {
    this.share = share;
  }

  /** Notes a first attempt. */
  deposit(): void {
    this.tokens = Math.min(this.reserve, this.tokens + this.share);
  }

  /** Takes one retry from the budget; false when it is spent. */
  withdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
