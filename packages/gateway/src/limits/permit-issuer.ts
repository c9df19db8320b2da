/**
 * Issues the permits for the replicas that this gateway is responsible for, and shares their limits
 * with all gateways through the store.
 *
 * Two gateways may both consider themselves responsible for a moment, when their views of the members
 * differ. A gateway that cannot be certain to be the only one issues at half the rate: one that is
 * certain and one that is not then stay within one and a half times the limit.
 */
import * as decisions from '@azureworks/decisions';
import * as boundedMaps from '../jobs/bounded-map';
import type * as rowReporters from '../store/row-reporter';
import type * as environments from '../types/environment';
import * as incarnations from '../replicas/incarnation';
import * as limitRows from './limit-rows';
import * as permits from './permit';
import * as rateLimits from './rate-limits';

export interface PermitIssuerOptions {
  readonly environment: environments.Environment;
  readonly reporter: Pick<rowReporters.RowReporter, 'report' | 'withdraw'>;
  readonly members: {
    listIssuers(): readonly permits.IssuerCandidate[];
    /** The term in which no other process can consider this one gone; undefined outside of one. */
    readonly term: number | undefined;
    /** How long the views of the members may differ after a change. */
    readonly settlingMs: number;
  };
}

/** A replica for which this gateway issues permits. */
interface IssuedReplica {
  readonly budget: decisions.PermitBudget;
  /** Since when this gateway is responsible, without a gap in its membership. */
  responsibleSinceMs: number;
  /** The term of the membership in which it became responsible. */
  term: number | undefined;
  /** Undefined when the replica names no limit. */
  requestsPerSecond: number | undefined;
  /** When the newest answer that told so was requested, on the monotonic clock. */
  heardMs: number;
  /** The limit in the replica's row; undefined when it has none. */
  sharedLimit: number | undefined;
}

/** Replicas whose budgets are kept. */
const MAXIMUM_REPLICAS = 16_384;
const UNCERTAIN_SHARE = 0.5;
/** When a gateway that asked the wrong issuer asks again. */
const WRONG_ISSUER_RETRY_MS = 250;

/** The permits that this gateway issues. */
export class PermitIssuer {
  private readonly replicas = boundedMaps.BoundedMap.create<IssuedReplica>(MAXIMUM_REPLICAS);

  private constructor(private readonly options: PermitIssuerOptions) {}

  static create(options: PermitIssuerOptions): PermitIssuer {
    return new PermitIssuer(options);
  }

  /** Answers a gateway that asks for permits, or reports what it heard. */
  answer(query: permits.PermitQuery): permits.PermitReply {
    const key = incarnations.createIncarnationKey(query.replica);
    if (!this.isResponsible(query.replica.id)) {
      this.replicas.delete(key);
      return { granted: 0, retryAfterMs: WRONG_ISSUER_RETRY_MS, isLimited: true };
    }
    const issued = this.replicas.get(key) ?? this.begin(key);
    this.recordHeard(issued, query);
    if (issued.requestsPerSecond === undefined) {
      return { granted: query.count, retryAfterMs: 0, isLimited: false };
    }
    if (query.count === 0) return { granted: 0, retryAfterMs: 0, isLimited: true };
    const share = this.isCertain(issued) ? 1 : UNCERTAIN_SHARE;
    const decision = issued.budget.request(query, issued.requestsPerSecond * share);
    const { metrics } = this.options.environment;
    metrics.count('permits_issued', {}, decision.granted);
    metrics.count('permits_refused', {}, query.count - decision.granted);
    return { ...decision, isLimited: true };
  }

  /** Forgets the replicas for which another gateway has become responsible. */
  onMembersChanged(): void {
    this.replicas
      .list()
      .filter(([key]) => !this.isResponsible(key.slice(0, key.lastIndexOf('@'))))
      .forEach(([key]) => this.replicas.delete(key));
  }

  /** Whether this gateway issues the permits for a replica. */
  isResponsible(replicaId: string): boolean {
    const { members, environment } = this.options;
    return permits.chooseIssuer(replicaId, members.listIssuers())?.vm === environment.vm;
  }

  private begin(key: string): IssuedReplica {
    const { environment, members } = this.options;
    const { nowMs, random } = environment;
    const issued: IssuedReplica = {
      budget: decisions.PermitBudget.create({ nowMs }, { next: random }),
      responsibleSinceMs: nowMs(),
      term: members.term,
      requestsPerSecond: undefined,
      heardMs: -Infinity,
      sharedLimit: undefined,
    };
    this.replicas.set(key, issued);
    return issued;
  }

  private recordHeard(issued: IssuedReplica, query: permits.PermitQuery): void {
    const heardMs = this.options.environment.nowMs() - query.ageMs;
    if (heardMs < issued.heardMs) return;
    issued.heardMs = heardMs;
    issued.requestsPerSecond = query.requestsPerSecond;
    this.share(issued, query.replica);
  }

  private share(issued: IssuedReplica, replica: incarnations.Incarnation): void {
    const { reporter } = this.options;
    const { requestsPerSecond, sharedLimit } = issued;
    if (!rateLimits.isDifferentLimit(sharedLimit, requestsPerSecond)) return;
    issued.sharedLimit = requestsPerSecond;
    if (requestsPerSecond === undefined) reporter.withdraw([limitRows.locateLimit(replica.id)]);
    else reporter.report(limitRows.encodeLimit({ replica, requestsPerSecond }));
  }

  private isCertain(issued: IssuedReplica): boolean {
    const { members, environment } = this.options;
    const { term } = members;
    const nowMs = environment.nowMs();
    if (term !== issued.term) {
      // Another gateway may have issued during the gap, and some may still ask it.
      issued.term = term;
      issued.responsibleSinceMs = nowMs;
    }
    return term !== undefined && nowMs - issued.responsibleSinceMs >= members.settlingMs;
  }
}
