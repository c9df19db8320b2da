/**
 * The operator's configuration as the gateway uses it.
 */

import type * as organisations from './organisation';

/** Kind of a route's requests; it decides whether a request may be retried. */
export const RouteKind = {
  /** May run more than once. */
  Idempotent: 'idempotent',
  /** Runs at most once per attempt of the caller. */
  NonIdempotent: 'non-idempotent',
  /** A stream of events. */
  Streaming: 'streaming',
  /** Batch jobs of a trainer. */
  Rollout: 'rollout',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Which services receive the requests for a host and path prefix, and under which rules. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** The longest time from receiving a request to answering it. */
  readonly timeoutMs: number;
  /** Latency objective: an answer within this time has its full value. */
  readonly latencyObjectiveMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** The largest number of replicas to which one attempt of a caller may be sent. */
  readonly maximumAttempts: number;
  readonly isResumable: boolean;
  /** Whether its requests need no key where the deployment has organisations. */
  readonly isPublic?: boolean;
  /** Whether each sample must come from a single version of the weights. */
  readonly isSingleVersion: boolean;
  /** Batch jobs: time from the submission until all results are due. */
  readonly resultsDueMs: number;
  /** Batch jobs: time from the submission after which an unfinished item may be given up. */
  readonly itemLifetimeMs: number;
}

/** Capacity of a service's replicas and the models that they serve. */
export interface Service {
  readonly name: string;
  /** Connections that one replica accepts, from all callers together. */
  readonly connectionLimit: number;
  /** Requests that one replica runs concurrently; undefined for plain services. */
  readonly engineSlots: number | undefined;
  /** Tokens that fit into one replica's memory; undefined for plain services. */
  readonly engineTokenCapacity: number | undefined;
  /** Output tokens per event of a stream; 1 when the engine does not specify it. */
  readonly tokensPerEvent: number;
  /** Names of the models that its engines serve. */
  readonly models: readonly string[];
}

/** Limits on callers' requests. */
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
  /** The keys of its organisations; undefined when the deployment has none. */
  readonly keyRing?: organisations.Keys | undefined;
}
