/**
 * Wires what one gateway does about the rate limits of replicas: what it hears, what it shares, and
 * the permits that it issues and obtains.
 */
import type * as directories from '../replicas/directory';
import * as rowReporters from '../store/row-reporter';
import type * as environments from '../types/environment';
import type * as stores from '../types/store';
import * as limitTasks from './limit-task';
import * as permitIssuers from './permit-issuer';
import * as permitRequesters from './permit-requester';
import type * as permits from './permit';
import * as rateLimits from './rate-limits';

export interface SharedLimitsOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly directory: directories.ReplicaDirectory;
  readonly members: permitIssuers.PermitIssuerOptions['members'];
  readonly peers: permits.PermitPeers;
}

/** The parts that other parts of the gateway use. */
export interface SharedLimits {
  readonly limits: rateLimits.RateLimits;
  readonly issuer: permitIssuers.PermitIssuer;
  readonly requester: permitRequesters.PermitRequester;
  readonly task: limitTasks.LimitTask;
}

/** A limit that ends at once need not be shared. */
const LIMIT_HOLD_BACK_MS = 50;

export function createSharedLimits(options: SharedLimitsOptions): SharedLimits {
  const { environment, store, members, peers, directory } = options;
  const reporter = rowReporters.RowReporter.create({
    environment,
    store,
    subject: 'rate limits',
    metric: 'rate_limit_reports',
    holdBackMs: LIMIT_HOLD_BACK_MS,
  });
  const limits = rateLimits.RateLimits.create(environment);
  const issuer = permitIssuers.PermitIssuer.create({ environment, reporter, members });
  const requester = permitRequesters.PermitRequester.create({
    environment,
    limits,
    issuer,
    peers,
    listIssuers: () => members.listIssuers(),
  });
  limits.subscribe({ onLimitHeard: (replica, sentMs) => requester.report(replica, sentMs) });
  const task = limitTasks.LimitTask.create({
    environment,
    limits,
    reporter,
    isResponsible: (replicaId) => issuer.isResponsible(replicaId),
    findReplica: (replicaId) => directory.get(replicaId)?.replica,
  });
  return { limits, issuer, requester, task };
}
