/**
 * Fencing: each order carries the fencing token of the lease under which it was issued, and a target
 * rejects tokens lower than the highest one it has seen. A target that has just started has seen
 * none; it must read the current token from the lease row before it accepts any order.
 */

/** How a target handles an order. */
export const FenceDecision = {
  Accept: 'accept',
  /** The token is lower than one seen before. */
  Stale: 'stale',
  /** The current token is not known yet. */
  Unready: 'unready',
} as const;
export type FenceDecision = (typeof FenceDecision)[keyof typeof FenceDecision];

/** The highest fencing token seen, for each resource. */
export class Fence {
  private readonly highestTokens = new Map<string, number>();

  static create(): Fence {
    return new Fence();
  }

  /** Whether a token of the resource is known. */
  hasToken(resource: string): boolean {
    return this.highestTokens.has(resource);
  }

  /** Records the token of the current lease; a lower one than seen before has no effect. */
  recordToken(resource: string, token: number): void {
    this.highestTokens.set(resource, Math.max(token, this.highestTokens.get(resource) ?? 0));
  }

  /** Checks the token of an order and records it when the order is accepted. */
  check(resource: string, token: number): FenceDecision {
    const highest = this.highestTokens.get(resource);
    if (highest === undefined) return FenceDecision.Unready;
    if (token < highest) return FenceDecision.Stale;
    this.highestTokens.set(resource, token);
    return FenceDecision.Accept;
  }
}
