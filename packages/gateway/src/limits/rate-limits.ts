/**
 * What this gateway knows of the rate limits that replicas named: from answers to its own requests,
 * and from the rows that gateways share.
 */
import * as boundedMaps from '../jobs/bounded-map';
import type * as environments from '../types/environment';
import * as incarnations from '../replicas/incarnation';
import * as limitRows from './limit-rows';

/** A limit of one incarnation of a replica. */
export interface KnownLimit {
  readonly requestsPerSecond: number;
  /** When the request was sent whose answer named it, or when the row was read (monotonic). */
  readonly sinceMs: number;
  /** Whether an answer to a request of this gateway named it. */
  readonly isHeard: boolean;
}

/** Told of limits that answers to this gateway's own requests named or ended. */
export interface LimitObserver {
  /** @param sentMs when the request was sent whose answer showed it, on the monotonic clock */
  onLimitHeard(replica: incarnations.Incarnation, sentMs: number): void;
}

/** A limit that changes by less than this share of it is not told anew. */
const CHANGE_TOLERANCE = 0.2;

/** Incarnations of replicas whose limits are remembered. */
const MAXIMUM_LIMITS = 16_384;

/** The rate limits of replicas, by incarnation. */
export class RateLimits {
  private readonly limits = boundedMaps.BoundedMap.create<KnownLimit>(MAXIMUM_LIMITS);

  private observer: LimitObserver | undefined;

  private constructor(private readonly environment: environments.Environment) {}

  static create(environment: environments.Environment): RateLimits {
    return new RateLimits(environment);
  }

  subscribe(observer: LimitObserver): void {
    this.observer = observer;
  }

  /** The limit of a replica; undefined when it names none. */
  get(replica: incarnations.Incarnation): KnownLimit | undefined {
    if (this.limits.size === 0) return undefined;
    return this.limits.get(incarnations.createIncarnationKey(replica));
  }

  /**
   * Records the limit that an answer named, or that it named none.
   * @param sentMs when the request was sent, on the monotonic clock
   */
  record(
    replica: incarnations.Incarnation,
    requestsPerSecond: number | undefined,
    sentMs: number,
  ): void {
    const former = this.get(replica);
    // An answer to a request that was sent before the limit was named does not end it.
    if (requestsPerSecond === undefined && (!former || sentMs < former.sinceMs)) return;
    const sinceMs = Math.max(sentMs, former?.sinceMs ?? sentMs);
    const limit =
      requestsPerSecond === undefined ? undefined : { requestsPerSecond, sinceMs, isHeard: true };
    this.set(replica, limit);
    if (isDifferentLimit(former?.requestsPerSecond, requestsPerSecond)) {
      this.observer?.onLimitHeard(replica, sentMs);
    }
  }

  /** Records the limit in a row of another gateway, unless this one has heard it itself. */
  learn({ replica, requestsPerSecond }: limitRows.SharedLimit): void {
    if (this.get(replica)) return;
    this.set(replica, { requestsPerSecond, sinceMs: this.environment.nowMs(), isHeard: false });
  }

  /** Drops a limit that is known only from a row, which was removed. */
  forget(replica: incarnations.Incarnation): void {
    if (this.get(replica)?.isHeard === false) this.set(replica, undefined);
  }

  /** Records that a limit has ended, unless it was named after `endedMs`. */
  end(replica: incarnations.Incarnation, endedMs: number): void {
    const former = this.get(replica);
    if (former && former.sinceMs <= endedMs) this.set(replica, undefined);
  }

  private set(replica: incarnations.Incarnation, limit: KnownLimit | undefined): void {
    const key = incarnations.createIncarnationKey(replica);
    const former = this.limits.get(key);
    if (limit) this.limits.set(key, limit);
    else this.limits.delete(key);
    if (former?.requestsPerSecond === limit?.requestsPerSecond) return;
    this.environment.metrics.count('rate_limit_changes', {
      isLimited: String(limit !== undefined),
    });
    this.environment.log.info('rate limit of a replica changed', {
      replica: replica.id,
      bornMs: replica.bornMs,
      former: former?.requestsPerSecond,
      requestsPerSecond: limit?.requestsPerSecond,
    });
  }
}

/** Whether a limit began, ended or changed so much that others need to know. */
export function isDifferentLimit(former: number | undefined, latest: number | undefined): boolean {
  if (former === undefined || latest === undefined) return former !== latest;
  return Math.abs(latest - former) > former * CHANGE_TOLERANCE;
}
