/**
 * The operator's configuration as the gateway uses it.
 */

/** What a route's requests are, and so what may be repeated. */
export const RouteKind = {
  /** May run more than once. */
  Idempotent: 'idempotent',
  /** May run once at most for each attempt of the caller. */
  NonIdempotent: 'non-idempotent',
  /** A stream of events. */
  Streaming: 'streaming',
  /** Batch jobs of a trainer. */
  Rollout: 'rollout',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that takes a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** How long a request may be kept waiting. */
  readonly timeoutMs: number;
  /** Within how long an answer is worth its full value. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** To how many replicas one attempt of a caller may be sent. */
  readonly mostAttempts: number;
  readonly isResumable: boolean;
  /** Every sample must come from one version of the weights. */
  readonly isSingleVersion: boolean;
  /** Batch jobs: when all results are due, after the submission. */
  readonly resultsDueMs: number;
  /** Batch jobs: when an unfinished item may be given up, after the submission. */
  readonly itemLifetimeMs: number;
}

/** A service of replicas. */
export interface Service {
  readonly name: string;
  /** Connections that one replica takes, from all callers together. */
  readonly connectionLimit: number;
  /** Requests that one replica runs at once; undefined for plain services. */
  readonly engineSlots: number | undefined;
  /** Tokens that one replica's memory holds; undefined for plain services. */
  readonly engineTokens: number | undefined;
  /** Output tokens that one event of a stream holds; 1 where the engine does not tell. */
  readonly tokensAnEvent: number;
  /** The models that its engines serve. */
  readonly models: readonly string[];
}

/** What callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A version of the operator's configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
}
