/**
 * Obtains permits for the requests of this gateway to replicas that limit their rate. Requests to
 * other replicas need none and cost nothing here.
 *
 * Requests for one replica that come together share a query, and while the issuer's answer tells to
 * wait no further query is sent.
 */
import * as errorGuards from '../core/error-guard';
import * as boundedMaps from '../jobs/bounded-map';
import type * as environments from '../types/environment';
import * as incarnations from '../replicas/incarnation';
import type * as permitIssuers from './permit-issuer';
import * as permits from './permit';
import type * as rateLimits from './rate-limits';

export interface PermitRequesterOptions {
  readonly environment: environments.Environment;
  readonly limits: rateLimits.RateLimits;
  readonly issuer: permitIssuers.PermitIssuer;
  readonly peers: permits.PermitPeers;
  readonly listIssuers: () => readonly permits.IssuerCandidate[];
}

interface Waiter {
  readonly priority: number;
  readonly resolve: (isGranted: boolean) => void;
}

/** The queries for one replica. */
interface ReplicaQueries {
  readonly replica: incarnations.Incarnation;
  readonly waiters: Waiter[];
  isAsking: boolean;
  /** No query is sent before this time. */
  refusedUntilMs: number;
  /** Consecutive queries without an answer. */
  failures: number;
  /** A permit for which no request was ready, and until when it may be used. */
  unusedUntilMs: number;
  isPrefetching: boolean;
}

/** Replicas whose queries are remembered. */
const MAXIMUM_REPLICAS = 16_384;
const QUERY_TIMEOUT_MS = 150;
const MAXIMUM_QUERY_COUNT = 16;
/** Backoff after a query without an answer; doubles with each, up to the maximum. */
const MINIMUM_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 1000;
/** How long an unused permit is kept: the issuer counts it as used when it issues it. */
const UNUSED_PERMIT_MS = 200;

/** Obtains permits for this gateway. */
export class PermitRequester {
  private readonly queries = boundedMaps.BoundedMap.create<ReplicaQueries>(MAXIMUM_REPLICAS);

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: PermitRequesterOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, 'permits');
  }

  static create(options: PermitRequesterOptions): PermitRequester {
    return new PermitRequester(options);
  }

  /** Whether a request to the replica needs a permit. */
  isNeeded(replica: incarnations.Incarnation): boolean {
    return this.options.limits.get(replica) !== undefined;
  }

  /** Whether the issuer told to wait before it is asked again. */
  isRefused(replica: incarnations.Incarnation): boolean {
    return this.getRetryAfterMs(replica) > 0;
  }

  /** Resolves to whether one request may be sent to the replica now. */
  take(replica: incarnations.Incarnation, priority: number): Promise<boolean> {
    if (!this.isNeeded(replica)) return Promise.resolve(true);
    const queries = this.getQueries(replica);
    const nowMs = this.options.environment.nowMs();
    if (useUnusedPermit(queries, nowMs)) return Promise.resolve(true);
    if (nowMs < queries.refusedUntilMs) return Promise.resolve(false);
    return new Promise((resolve) => {
      queries.waiters.push({ priority, resolve });
      this.ask(queries);
    });
  }

  /**
   * Whether one request may be sent to the replica now, without waiting. If not, a permit is
   * requested unless the issuer told to wait; `onPermit` is called when it has come.
   */
  tryTake(replica: incarnations.Incarnation, priority: number, onPermit: () => void): boolean {
    if (!this.isNeeded(replica)) return true;
    const queries = this.getQueries(replica);
    const nowMs = this.options.environment.nowMs();
    if (useUnusedPermit(queries, nowMs)) return true;
    if (nowMs >= queries.refusedUntilMs) this.prefetch(queries, priority, onPermit);
    return false;
  }

  /** How long no request may be sent to the replica, as far as is known. */
  getRetryAfterMs(replica: incarnations.Incarnation): number {
    if (!this.isNeeded(replica)) return 0;
    const { refusedUntilMs, unusedUntilMs } = this.getQueries(replica);
    const nowMs = this.options.environment.nowMs();
    return nowMs < unusedUntilMs ? 0 : Math.max(0, refusedUntilMs - nowMs);
  }

  /**
   * Reports to the issuer what an answer showed.
   * @param sentMs when the request was sent, on the monotonic clock
   */
  async report(replica: incarnations.Incarnation, sentMs: number): Promise<void> {
    await this.query(replica, { priority: 0, count: 0 }, sentMs);
  }

  private async prefetch(
    queries: ReplicaQueries,
    priority: number,
    onPermit: () => void,
  ): Promise<void> {
    if (queries.isPrefetching) return;
    queries.isPrefetching = true;
    const isGranted = await this.take(queries.replica, priority);
    queries.isPrefetching = false;
    if (!isGranted) return;
    queries.unusedUntilMs = this.options.environment.nowMs() + UNUSED_PERMIT_MS;
    onPermit();
  }

  private getQueries(replica: incarnations.Incarnation): ReplicaQueries {
    const key = incarnations.createIncarnationKey(replica);
    const known = this.queries.get(key);
    if (known) return known;
    const queries: ReplicaQueries = {
      replica,
      waiters: [],
      isAsking: false,
      refusedUntilMs: -Infinity,
      failures: 0,
      unusedUntilMs: -Infinity,
      isPrefetching: false,
    };
    this.queries.set(key, queries);
    return queries;
  }

  private async ask(queries: ReplicaQueries): Promise<void> {
    if (queries.isAsking) return;
    queries.isAsking = true;
    while (queries.waiters.length > 0) {
      queries.waiters.sort((first, second) => first.priority - second.priority);
      const asking = queries.waiters.splice(0, MAXIMUM_QUERY_COUNT);
      const priority = asking[0]?.priority ?? 0;
      const reply = await this.query(queries.replica, { priority, count: asking.length });
      const isUnlimited = reply?.isLimited === false;
      const granted = isUnlimited ? asking.length : (reply?.granted ?? 0);
      this.recordReply(queries, reply);
      asking.forEach(({ resolve }, index) => resolve(index < granted));
      if (granted < asking.length) {
        queries.waiters.splice(0).forEach(({ resolve }) => resolve(false));
      }
    }
    queries.isAsking = false;
  }

  private recordReply(queries: ReplicaQueries, reply: permits.PermitReply | undefined): void {
    const { environment } = this.options;
    const nowMs = environment.nowMs();
    if (reply) {
      queries.failures = 0;
      queries.refusedUntilMs = nowMs + reply.retryAfterMs;
      return;
    }
    queries.refusedUntilMs =
      nowMs +
      Math.min(MAXIMUM_BACKOFF_MS, MINIMUM_BACKOFF_MS * 2 ** queries.failures) *
        (0.75 + environment.random() / 2);
    queries.failures += 1;
    environment.log.info('no answer to a query for permits', {
      replica: queries.replica.id,
      failures: queries.failures,
    });
  }

  /** Asks the issuer; undefined when there is none or it does not answer. */
  private query(
    ...query: Parameters<PermitRequester['sendQuery']>
  ): Promise<permits.PermitReply | undefined> {
    return this.errors.settle(() => this.sendQuery(...query), undefined);
  }

  private async sendQuery(
    replica: incarnations.Incarnation,
    request: Pick<permits.PermitQuery, 'priority' | 'count'>,
    heardMs?: number,
  ): Promise<permits.PermitReply | undefined> {
    const { environment, limits, issuer, peers, listIssuers } = this.options;
    const askedMs = environment.nowMs();
    const limit = limits.get(replica);
    const { id, address, bornMs } = replica;
    const ownHeardMs = limit?.isHeard ? limit.sinceMs : undefined;
    const latestMs = heardMs ?? ownHeardMs;
    const query: permits.PermitQuery = {
      ...request,
      replica: { id, address, bornMs },
      sender: environment.vm,
      requestsPerSecond: limit?.requestsPerSecond,
      ageMs: latestMs === undefined ? permits.UNKNOWN_AGE_MS : askedMs - latestMs,
    };
    const chosen = permits.chooseIssuer(id, listIssuers());
    if (!chosen) return undefined;
    const reply =
      chosen.vm === environment.vm
        ? issuer.answer(query)
        : await peers.requestPermits(chosen.address, query, QUERY_TIMEOUT_MS);
    if (reply?.isLimited === false) limits.end(replica, askedMs);
    return reply;
  }
}

/** Takes the unused permit of a replica, if there is one. */
function useUnusedPermit(queries: ReplicaQueries, nowMs: number): boolean {
  const isUsable = nowMs < queries.unusedUntilMs;
  queries.unusedUntilMs = -Infinity;
  return isUsable;
}
