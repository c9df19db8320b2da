/**
 * Refuses requests of callers that end the replicas which run them, and gathers the evidence for it.
 * Requests that the gateway owes to a batch job are not subject to it.
 */
import * as decisions from '@azureworks/decisions';
import type * as directories from '../replicas/directory';
import type * as environments from '../types/environment';
import type * as rowReporters from '../store/row-reporter';
import * as replicas from '../types/replica';
import * as evidenceRows from './evidence-rows';
import * as fingerprints from './fingerprint';
import * as guardedRequests from './guarded-request';
import * as replicaProbes from './replica-probes';
import type * as requestTrials from './request-trials';

/** Which attempts at quarantined requests may be sent. */
type Trials = Pick<
  requestTrials.RequestTrials,
  'isEmpty' | 'begin' | 'end' | 'remove' | 'hasBegun' | 'isOnTrial' | 'getRetryAfterMs'
>;

export interface RequestQuarantineOptions {
  readonly environment: environments.Environment;
  readonly quarantine: decisions.Quarantine;
  readonly trials: Trials;
  readonly reporter: Pick<rowReporters.RowReporter, 'report' | 'withdraw' | 'flush'>;
  readonly directory: directories.ReplicaDirectory;
  readonly replicaClient: replicas.ReplicaClient;
  readonly storeNowMs: () => number;
  /** Lower-case names of the headers that identify a caller. */
  readonly callerHeaders: readonly string[];
}

/**
 * How long the answer to a request that was just quarantined waits for the report to be stored, so
 * that a retry at another gateway is refused.
 */
const REPORT_WAIT_MS = 250;
/** A request is not suspected for answers from this status on. */
const FIRST_ERROR_STATUS = 500;

/** Applies the quarantine to callers' requests. */
export class RequestQuarantine {
  private readonly probes: replicaProbes.ReplicaProbes;

  private readonly trials: Trials;

  private readonly callerHeaders: ReadonlySet<string>;

  /** Number of calls of suspect requests in flight, by replica. */
  private readonly suspects = new Map<string, number>();

  private constructor(private readonly options: RequestQuarantineOptions) {
    this.probes = replicaProbes.ReplicaProbes.create(options);
    this.trials = options.trials;
    this.callerHeaders = new Set(options.callerHeaders);
    options.environment.metrics.gauge('quarantine_requests', {}, () => options.quarantine.size);
  }

  static create(options: RequestQuarantineOptions): RequestQuarantine {
    return new RequestQuarantine(options);
  }

  /** Whether nothing is under suspicion, so that no fingerprint is needed. */
  get isEmpty(): boolean {
    return this.options.quarantine.isEmpty;
  }

  /**
   * The failure to report instead of sending a quarantined request; undefined for any other, and for one
   * that is on trial.
   * @param hasReplica whether there is a replica to which it could be sent
   */
  async refuse(
    request: replicas.ReplicaRequest,
    hasReplica: () => boolean,
  ): Promise<decisions.Failure | undefined> {
    if (this.isEmpty) return undefined;
    const fingerprint = this.computeFingerprint(request);
    if (!this.isQuarantined(fingerprint)) return undefined;
    const { log, metrics } = this.options.environment;
    if (hasReplica() && (await this.trials.begin(fingerprint, request.id))) {
      metrics.count('quarantine_trials');
      log.info('quarantined request on trial', { request: request.id, fingerprint });
      return undefined;
    }
    const { state, endedReplicas, ageMs } = this.judge(fingerprint);
    // It may have been cleared meanwhile.
    if (state !== decisions.QuarantineState.Quarantined) return undefined;
    const retryAfterMs = this.trials.getRetryAfterMs(fingerprint);
    metrics.count('quarantine_refusals');
    log.info('request quarantined', {
      request: request.id,
      fingerprint,
      endedReplicas,
      ageMs: Math.round(ageMs),
      retryAfterMs,
    });
    return decisions.createFailure('request-quarantined', { retryAfterMs });
  }

  /** Wraps a request that is about to be sent. */
  guard(request: replicas.ReplicaRequest): guardedRequests.GuardedRequest {
    const { environment, replicaClient } = this.options;
    return guardedRequests.GuardedRequest.create(request, this, replicaClient, environment.nowMs);
  }

  computeFingerprint(request: replicas.ReplicaRequest): string {
    return fingerprints.computeFingerprint(request, this.callerHeaders);
  }

  /** Judges an attempt at a request; on trial it is handled as that of a suspect one. */
  judgeAttempt(fingerprint: string, attempt: string): decisions.QuarantineState {
    const { state } = this.judge(fingerprint);
    if (state !== decisions.QuarantineState.Quarantined) return state;
    return this.trials.isOnTrial(fingerprint, attempt) ? decisions.QuarantineState.Suspect : state;
  }

  /**
   * Ends the trial of an attempt that is over, if it was on one.
   * @param hasReachedReplica whether a replica may have run it
   */
  endTrial(request: replicas.ReplicaRequest, hasReachedReplica: boolean): void {
    if (this.trials.isEmpty) return;
    this.trials.end(this.computeFingerprint(request), request.id, hasReachedReplica);
  }

  private isQuarantined(fingerprint: string): boolean {
    return this.judge(fingerprint).state === decisions.QuarantineState.Quarantined;
  }

  private judge(fingerprint: string): decisions.QuarantineVerdict {
    return this.options.quarantine.judge(fingerprint);
  }

  /** Counts a call of a suspect request; returns a function to be called at its end. */
  enterSuspect(replica: replicas.Replica): () => void {
    const { id } = replica;
    this.suspects.set(id, (this.suspects.get(id) ?? 0) + 1);
    return () => {
      const remaining = (this.suspects.get(id) ?? 0) - 1;
      if (remaining > 0) this.suspects.set(id, remaining);
      else this.suspects.delete(id);
    };
  }

  /** Whether a suspect request of this gateway is in flight on a replica. */
  hasSuspect(replica: replicas.Replica): boolean {
    return this.suspects.has(replica.id);
  }

  /** Draws the conclusions from the outcome of a call that took `runMs`. */
  async examine(
    request: replicas.ReplicaRequest,
    replica: replicas.Replica,
    outcome: replicas.CallOutcome,
    runMs: number,
  ): Promise<void> {
    if (outcome.status === replicas.CallStatus.Answered) {
      const { status, signature } = outcome.answer;
      // Without the replica's signature it is not certain that the replica ran the request.
      if (status < FIRST_ERROR_STATUS && signature !== undefined) this.clear(request);
      return;
    }
    if (outcome.isConnectionLost !== true) return;
    const lostMs = this.options.environment.nowMs();
    if (!(await this.probes.hasEnded(replica))) return;
    await this.incriminate(request, replica, { lostMs, runMs });
  }

  private async incriminate(
    request: replicas.ReplicaRequest,
    replica: replicas.Replica,
    { lostMs, runMs }: { readonly lostMs: number; readonly runMs: number },
  ): Promise<void> {
    const { environment, quarantine, reporter, storeNowMs } = this.options;
    const ageMs = environment.nowMs() - lostMs;
    const fingerprint = this.computeFingerprint(request);
    const incarnation = replicaProbes.createIncarnationKey(replica);
    const { failureDomain } = replica;
    const isOnTrial = this.trials.hasBegun(fingerprint, request.id);
    const ended = {
      fingerprint,
      replica: incarnation,
      attempt: request.id,
      failureDomain,
      runMs,
      isOnTrial,
    };
    if (!quarantine.record({ ...ended, ageMs })) return;
    const { state, endedReplicas } = this.judge(fingerprint);
    environment.metrics.count('quarantine_evidence', { source: 'own' });
    environment.log.info('replica ended under a request', {
      request: request.id,
      fingerprint,
      replica: incarnation,
      endedReplicas,
      state,
      runMs: Math.round(runMs),
      isOnTrial,
    });
    reporter.report(evidenceRows.encodeEvidence({ ...ended, endedMs: storeNowMs() - ageMs }));
    if (state === decisions.QuarantineState.Quarantined) await reporter.flush(REPORT_WAIT_MS);
  }

  private clear(request: replicas.ReplicaRequest): void {
    const { environment, quarantine, reporter } = this.options;
    if (quarantine.isEmpty) return;
    const fingerprint = this.computeFingerprint(request);
    const cleared = quarantine.clear(fingerprint);
    if (cleared.length === 0) return;
    environment.metrics.count('quarantine_cleared');
    environment.log.info('request cleared', {
      request: request.id,
      fingerprint,
      endedReplicas: cleared.length,
    });
    reporter.withdraw(cleared.map((replica) => evidenceRows.locateEvidence(fingerprint, replica)));
    this.trials.remove(fingerprint);
  }
}
