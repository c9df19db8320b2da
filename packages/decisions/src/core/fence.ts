/**
 * Fencing: an order carries the number of the lease under which it is given, and a target refuses
 * numbers lower than the highest it has seen. A target that has just started knows none and must
 * learn a floor from the lease row before it obeys anybody.
 */

/** What becomes of an order. */
export const FenceDecision = {
  Accept: 'accept',
  /** The number is lower than one seen before. */
  Stale: 'stale',
  /** The floor is not known yet. */
  Unready: 'unready',
} as const;
export type FenceDecision = (typeof FenceDecision)[keyof typeof FenceDecision];

/** The highest fencing number seen, for each resource. */
export class Fence {
  private readonly highest = new Map<string, number>();

  static create(): Fence {
    return new Fence();
  }

  /** Whether the floor of a resource is known. */
  hasFloor(resource: string): boolean {
    return this.highest.has(resource);
  }

  /** Learns the number of the current lease; never lowers what was seen. */
  setFloor(resource: string, number: number): void {
    this.highest.set(resource, Math.max(number, this.highest.get(resource) ?? 0));
  }

  /** Decides on an order and remembers its number when it is accepted. */
  check(resource: string, number: number): FenceDecision {
    const highest = this.highest.get(resource);
    if (highest === undefined) return FenceDecision.Unready;
    if (number < highest) return FenceDecision.Stale;
    this.highest.set(resource, number);
    return FenceDecision.Accept;
  }
}
