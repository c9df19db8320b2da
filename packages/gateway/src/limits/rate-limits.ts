/**
 * What this gateway knows of the rate limits that replicas name in their answers.
 */
import * as boundedMaps from '../jobs/bounded-map';
import type * as environments from '../types/environment';
import type * as replicas from '../types/replica';

/** Incarnations of replicas whose limits are remembered. */
const MAXIMUM_LIMITS = 16_384;

/** A limit that a replica named. */
interface HeardLimit {
  readonly rateLimit: number;
  /** When the request was sent whose answer named it, on the monotonic clock. */
  readonly sentMs: number;
}

/** The rate limits of replicas, by incarnation. */
export class RateLimits {
  private readonly heard = boundedMaps.BoundedMap.create<HeardLimit>(MAXIMUM_LIMITS);

  private constructor(private readonly environment: environments.Environment) {}

  static create(environment: environments.Environment): RateLimits {
    return new RateLimits(environment);
  }

  /** Records the limit that an answer named, or that it named none. */
  record(replica: replicas.Replica, rateLimit: number | undefined, sentMs: number): void {
    const key = createIncarnationKey(replica);
    const former = this.heard.get(key);
    // An answer to a request that was sent before the limit was named does not end it.
    if (rateLimit === undefined && (!former || sentMs < former.sentMs)) return;
    if (rateLimit === undefined) this.heard.delete(key);
    else this.heard.set(key, { rateLimit, sentMs: Math.max(sentMs, former?.sentMs ?? sentMs) });
    if (former?.rateLimit === rateLimit) return;
    this.environment.metrics.count('rate_limit_changes', { service: replica.service });
    this.environment.log.info('rate limit of a replica changed', {
      replica: replica.id,
      bornMs: replica.bornMs,
      former: former?.rateLimit,
      requestsPerSecond: rateLimit,
    });
  }
}

/** Identifies one incarnation of a replica. */
export function createIncarnationKey({ id, address, bornMs }: replicas.Replica): string {
  return `${id}@${address}#${bornMs}`;
}
