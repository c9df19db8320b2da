/**
 * Issues permits for the requests to one target that names a rate limit for all senders together.
 *
 * Load pattern: a target in need takes one request a second, and hundreds of senders have requests
 * for it. Each sender's share would be far below one request, so permits are issued one by one, to
 * the senders that have something to send. A sender that is refused is told when to ask again, in
 * line with how many others wait, so that asking costs little however many senders there are. A
 * permit is not issued to a less urgent sender when a more urgent one is about to return for it.
 *
 * The budget starts without permits and keeps few unused ones: a restarted issuer does not know what
 * was issued before, and senders that saved up permits would use them all at once.
 */
import type * as clocks from '../types/clock';
import type * as randoms from '../types/random';

/** A sender asks for permits. */
export interface PermitRequest {
  readonly sender: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly count: number;
}

/** The answer to a sender. */
export interface PermitDecision {
  readonly granted: number;
  /** When to ask again for the rest; 0 when everything was granted. */
  readonly retryAfterMs: number;
}

interface WaitingSender {
  readonly priority: number;
  readonly count: number;
  /** When it was told to ask again. */
  readonly returnsMs: number;
}

/** Unused permits that are kept. */
const MAXIMUM_UNUSED_PERMITS = 2;
/**
 * A target that takes nothing still gets this rate: only its answers tell that its limit has ended.
 */
const MINIMUM_PERMITS_PER_SECOND = 0.25;
/** How much later than told a waiting sender may ask before it loses its place. */
const RETURN_TOLERANCE_MS = 200;
const MINIMUM_RETRY_AFTER_MS = 50;
const MAXIMUM_RETRY_AFTER_MS = 4000;
const MILLISECONDS_PER_SECOND = 1000;

/** The permits for one target. */
export class PermitBudget {
  private readonly waiting = new Map<string, WaitingSender>();

  private unused = 0;

  private updatedMs: number;

  private constructor(
    private readonly clock: clocks.Clock,
    private readonly random: randoms.Random,
  ) {
    this.updatedMs = clock.nowMs();
  }

  static create(clock: clocks.Clock, random: randoms.Random): PermitBudget {
    return new PermitBudget(clock, random);
  }

  /** Answers a sender; `permitsPerSecond` applies since the last request. */
  request(request: PermitRequest, permitsPerSecond: number): PermitDecision {
    const rate = Math.max(permitsPerSecond, MINIMUM_PERMITS_PER_SECOND);
    this.refill(rate);
    this.waiting.delete(request.sender);
    this.dropLateSenders();
    const available = Math.floor(this.unused) - this.countReserved(request.priority, rate);
    const granted = Math.max(0, Math.min(request.count, available));
    this.unused -= granted;
    if (granted === request.count) return { granted, retryAfterMs: 0 };
    const retryAfterMs = this.estimateRetryAfterMs(request.priority, rate);
    this.waiting.set(request.sender, {
      priority: request.priority,
      count: request.count - granted,
      returnsMs: this.clock.nowMs() + retryAfterMs,
    });
    return { granted, retryAfterMs };
  }

  private refill(rate: number): void {
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.updatedMs;
    this.updatedMs = nowMs;
    this.unused = Math.min(
      MAXIMUM_UNUSED_PERMITS,
      this.unused + (elapsedMs * rate) / MILLISECONDS_PER_SECOND,
    );
  }

  private dropLateSenders(): void {
    const nowMs = this.clock.nowMs();
    this.waiting.forEach(({ returnsMs }, sender) => {
      if (returnsMs + RETURN_TOLERANCE_MS < nowMs) this.waiting.delete(sender);
    });
  }

  /** Permits that more urgent senders return for before a further one has become available. */
  private countReserved(priority: number, rate: number): number {
    const horizonMs = this.clock.nowMs() + MILLISECONDS_PER_SECOND / rate;
    return this.countWaiting(priority - 1, horizonMs);
  }

  /** Permits that senders of at least this urgency wait for. */
  private countWaiting(priority: number, returnsBeforeMs = Infinity): number {
    return [...this.waiting.values()]
      .filter((sender) => sender.priority <= priority && sender.returnsMs <= returnsBeforeMs)
      .reduce((sum, sender) => sum + sender.count, 0);
  }

  /** The time until a permit is left for one more sender, spread so that senders return apart. */
  private estimateRetryAfterMs(priority: number, rate: number): number {
    const missing = Math.max(0, this.countWaiting(priority) + 1 - this.unused);
    const waitMs = (missing / rate) * MILLISECONDS_PER_SECOND;
    const spreadMs = Math.max(MINIMUM_RETRY_AFTER_MS, waitMs * (0.75 + this.random.next() / 2));
    return Math.min(MAXIMUM_RETRY_AFTER_MS, spreadMs);
  }
}
