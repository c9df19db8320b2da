/**
 * Forwards requests of callers, and requests of the gateway itself, to replicas of the services of
 * their routes.
 */
import * as decisions from '@azureworks/decisions';
import * as configurations from '../types/configuration';
import type * as activeConfigurations from '../configuration/active-configuration';
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import type * as exchanges from '../types/exchange';
import type * as organisations from '../types/organisation';
import type * as meterings from '../duties/metering';
import type * as permitRequesters from '../limits/permit-requester';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as preferredReplicas from '../replicas/preferred-replicas';
import * as replicaHealths from '../replicas/replica-health';
import * as selections from '../replicas/replica-selection';
import * as replicaTrials from '../replicas/replica-trials';
import type * as guardedRequests from '../quarantine/guarded-request';
import type * as requestQuarantines from '../quarantine/request-quarantine';
import * as routeTables from '../configuration/route-table';
import * as softwares from '../replicas/software';
import type * as streamOrigins from '../streams/stream-origins';
import * as extraAttempts from './extra-attempt';
import * as plainCalls from './plain-call';
import * as plannedStops from './planned-stop';
import * as streamCalls from './stream-call';

export interface ForwarderOptions {
  readonly environment: environments.Environment;
  readonly configuration: activeConfigurations.ActiveConfiguration;
  readonly directory: directories.ReplicaDirectory;
  readonly replicaClient: replicas.ReplicaClient;
  readonly quarantine: requestQuarantines.RequestQuarantine;
  readonly permits: permitRequesters.PermitRequester;
  readonly origins: Pick<streamOrigins.StreamOrigins, 'find' | 'record'>;
  readonly plannedStop: plannedStops.PlannedStop;
  /** Counts the calls of callers' requests; undefined where the deployment reports no usage. */
  readonly metering?: Pick<meterings.Metering, 'meter'> | undefined;
  /** Undefined: slow idempotent requests are hedged after a fixed delay, without a budget. */
  readonly extraAttempts?: decisions.ExtraAttemptSettings | undefined;
}

/** A request that the gateway itself makes. */
export interface InternalRequest {
  readonly request: replicas.ReplicaRequest;
  readonly path: string;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Called when a replica was found for the request, before it is sent. */
  readonly onPlaced?: () => void;
}

/** What limits the choice of a replica. */
interface ReplicaChoice {
  readonly service: string | undefined;
  readonly priority: number;
  readonly tried: ReadonlySet<string>;
  readonly guard?: guardedRequests.GuardedRequest | undefined;
  /** The only software that may go on with a stream. */
  readonly software?: string | undefined;
  /** Whether the request is not to queue at a replica, behind others or before them. */
  readonly needsFreeSlot?: boolean;
  /** Narrows the choice to the replicas that this gateway prefers. */
  readonly prefer?: preferredReplicas.CandidateFilter;
  /** Whether no replica is better than one that is ejected. */
  readonly needsHealthy?: boolean;
  /** Without one the request needs none; one that is no longer valid gets no replica. */
  readonly authorisation?: organisations.Authorisation | undefined;
}

/**
 * An idempotent request without an answer is also sent to another replica (hedged) after this share
 * of the route's latency objective: late enough that few requests to healthy replicas are hedged,
 * early enough to answer in time.
 */
const HEDGE_DELAY_SHARE = 0.5;
/** A resumable stream continues on another replica after this long without an event. */
const STREAM_IDLE_TIMEOUT_MS = 1000;

/** A refused caller may retry after this time; other replicas may have free slots by then. */
const REFUSAL_RETRY_AFTER_MS = 100;

/** The first status that reports an error of the replica. */
const FIRST_ERROR_STATUS = 500;

/** Forwards plain and streaming requests. */
export class Forwarder {
  private readonly preferredReplicas: preferredReplicas.PreferredReplicas;

  private readonly extraAttempts: decisions.ExtraAttempts | undefined;

  private readonly extraAttemptErrors: errorGuards.ErrorGuard;

  private constructor(private readonly options: ForwarderOptions) {
    const { extraAttempts: settings, environment } = options;
    this.preferredReplicas = preferredReplicas.PreferredReplicas.create(environment.vm);
    this.extraAttempts = settings && decisions.ExtraAttempts.create(settings, environment);
    this.extraAttemptErrors = errorGuards.ErrorGuard.create(environment, 'extra attempts');
  }

  static create(options: ForwarderOptions): Forwarder {
    return new Forwarder(options);
  }

  /** Forwards a plain request of a caller to a service of its route. */
  async forward(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
  ): Promise<exchanges.Reply> {
    const refusal = await this.refuse(caller, route);
    if (refusal) return refusal;
    const deadlineMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
    const deadlines = {
      callerDeadlineAtMs: caller.receivedMs + (caller.deadlineMs ?? route.timeoutMs),
      deadlineAtMs: caller.receivedMs + deadlineMs,
    };
    const guard = this.options.quarantine.guard(caller.request);
    const result = await this.callReplicas(caller, route, deadlines, guard).finally(() =>
      guard.end(),
    );
    if (result.reply.kind === 'answer') this.recordDuration(caller, route);
    this.recordReply(caller, route, describeReply(result.reply), result.attempts);
    return result.reply;
  }

  /** Forwards a streaming request of a caller to a service of its route. */
  async forwardStream(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
    replyStream: exchanges.ReplyStream,
  ): Promise<streamCalls.StreamCallResult['reply']> {
    const refusal = await this.refuse(caller, route);
    if (refusal) return refusal;
    const { environment, quarantine, origins } = this.options;
    const guard = quarantine.guard(caller.request);
    const { request, signal, afterEvent, firstAttemptId } = caller;
    const deadlineAtMs =
      caller.receivedMs + Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
    const stop = this.options.plannedStop.createRequestStop(route, deadlineAtMs);
    const service = routeTables.chooseService(route, environment.random());
    const software =
      afterEvent === undefined ? undefined : await origins.find(firstAttemptId, service ?? '');
    if (afterEvent !== undefined && software === undefined) {
      const failure = decisions.createFailure('unknown-stream', {
        retryAfterMs: REFUSAL_RETRY_AFTER_MS,
      });
      guard.end();
      this.recordReply(caller, route, failure.code, 0);
      return { kind: 'failure', failure };
    }
    const call = streamCalls.StreamCall.create(
      {
        replicaClient: this.meter(guard, caller.authorisation),
        nowMs: environment.nowMs,
        stop,
        chooseReplica: (tried, startedBy) =>
          this.chooseReplica({
            service,
            priority: route.priority,
            tried,
            guard,
            software: startedBy,
            authorisation: caller.authorisation,
          }),
        createRefusal: () => this.createRefusal(service, stop),
        recordProgress: (tracked, startedMs) =>
          replicaTrials.recordProgress(environment, tracked, startedMs),
        recordOutcome: (tracked, outcome, tookMs) =>
          this.recordOutcome(tracked, request.id, outcome, tookMs),
      },
      {
        request,
        signal,
        afterEvent,
        software,
        onBegun: (begunBy) => origins.record(firstAttemptId ?? request.id, service ?? '', begunBy),
        isResumable: route.isResumable,
        maximumAttempts: route.maximumAttempts,
        callerDeadlineAtMs: caller.receivedMs + (caller.deadlineMs ?? route.timeoutMs),
        deadlineAtMs,
        idleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
      },
      replyStream,
    );
    const { reply, attempts } = await call.run().finally(() => guard.end());
    if (reply.kind === 'streamed' && reply.isWhole) this.recordDuration(caller, route);
    this.recordReply(caller, route, describeReply(reply), attempts);
    return reply;
  }

  private meter(
    sender: replicas.RequestSender,
    authorisation: organisations.Authorisation | undefined,
  ): replicas.RequestSender {
    return this.options.metering?.meter(sender, authorisation?.organisation.name) ?? sender;
  }

  private async refuse(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
  ): Promise<Extract<exchanges.Reply, { readonly kind: 'failure' }> | undefined> {
    const failure = await this.options.quarantine.refuse(caller.request, () =>
      this.hasReplica(route),
    );
    if (!failure) return undefined;
    this.recordReply(caller, route, failure.code, 0);
    return { kind: 'failure', failure };
  }

  /** Whether a service of a route has a replica that is not known to be down. */
  private hasReplica({ services }: configurations.Route): boolean {
    const { directory, environment } = this.options;
    const nowMs = environment.nowMs();
    return services
      .filter(({ weight }) => weight > 0)
      .flatMap(({ service }) => directory.list(service))
      .some(({ isLeaving, health }) => !isLeaving && !health.isEjected(nowMs));
  }

  private recordDuration(caller: exchanges.CallerRequest, route: configurations.Route): void {
    const { environment, plannedStop } = this.options;
    plannedStop.recordDuration(route, environment.nowMs() - caller.receivedMs);
  }

  private recordReply(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
    outcome: string,
    attempts: number,
  ): void {
    const { environment, configuration } = this.options;
    const tookMs = environment.nowMs() - caller.receivedMs;
    environment.metrics.record('request', { route: route.name, kind: route.kind }, tookMs);
    environment.metrics.count('requests', { route: route.name, outcome });
    environment.log.info('request answered', {
      request: caller.request.id,
      route: route.name,
      outcome,
      ...(caller.authorisation && { organisation: caller.authorisation.organisation.name }),
      attempts,
      tookMs: Math.round(tookMs),
      deadlineMs: caller.deadlineMs,
      timeoutMs: route.timeoutMs,
      configuration: configuration.current?.version,
    });
  }

  /** The name of the route for a host and path; undefined if there is none. */
  findRouteName(host: string, path: string): string | undefined {
    return this.options.configuration.routeTable?.find(host, path)?.name;
  }

  /** To how many replicas a request for this host and path may be sent; 0 if it has no route. */
  getMaximumAttempts(host: string, path: string): number {
    return this.options.configuration.routeTable?.find(host, path)?.maximumAttempts ?? 0;
  }

  /**
   * Sends one of the gateway's own requests to a service of the route for its host and path. It can
   * wait, so it is refused rather than queued at a replica before the requests of callers.
   */
  async send(internalRequest: InternalRequest): Promise<plainCalls.PlainCallResult> {
    const route = this.options.configuration.routeTable?.find(
      internalRequest.request.host,
      internalRequest.path,
    );
    if (!route) {
      const failure = decisions.createFailure('unknown-route');
      return { reply: { kind: 'failure', failure }, attempts: 0, failedAnswers: 0 };
    }
    const deadlineAtMs = this.options.environment.nowMs() + internalRequest.deadlineMs;
    return this.callReplicas(internalRequest, route, {
      callerDeadlineAtMs: deadlineAtMs,
      deadlineAtMs,
    });
  }

  private callReplicas(
    {
      request,
      signal,
      onPlaced,
      authorisation,
    }: Pick<InternalRequest, 'request' | 'signal' | 'onPlaced'> &
      Pick<exchanges.CallerRequest, 'authorisation'>,
    route: configurations.Route,
    deadlines: { readonly callerDeadlineAtMs: number; readonly deadlineAtMs: number },
    guard?: guardedRequests.GuardedRequest,
  ): Promise<plainCalls.PlainCallResult> {
    const { environment, replicaClient } = this.options;
    const service = routeTables.chooseService(route, environment.random());
    const stop = this.options.plannedStop.createRequestStop(route, deadlines.deadlineAtMs);
    const preference = this.preferredReplicas.countRequest(service ?? '', environment.nowMs());
    const isIdempotent = route.kind === configurations.RouteKind.Idempotent;
    const hedgeDelayMs = route.latencyObjectiveMs * HEDGE_DELAY_SHARE;
    const choice = { service, priority: route.priority, guard, authorisation };
    const call = plainCalls.PlainCall.create(
      {
        replicaClient: guard ? this.meter(guard, authorisation) : replicaClient,
        nowMs: environment.nowMs,
        stop,
        chooseReplica: async (tried) => {
          const needsFreeSlot = guard === undefined;
          const prefer = preference.narrow;
          const chosen = await this.chooseReplica({ ...choice, tried, needsFreeSlot, prefer });
          if (chosen) preference.recordChoice(chosen.replica.id);
          if (chosen) onPlaced?.();
          return chosen;
        },
        createRefusal: () => this.createRefusal(service, stop),
        recordProgress: (tracked, startedMs) =>
          replicaTrials.recordProgress(environment, tracked, startedMs),
        recordOutcome: (tracked, outcome, tookMs) =>
          this.recordOutcome(tracked, request.id, outcome, tookMs),
      },
      {
        request,
        signal,
        ...deadlines,
        isIdempotent,
        maximumAttempts: Math.max(1, route.maximumAttempts),
        hedgeDelayMs: this.extraAttempts ? undefined : hedgeDelayMs,
        // The gateway's own requests have none: they can wait.
        extraAttempt:
          this.extraAttempts &&
          guard &&
          extraAttempts.ExtraAttempt.create({
            environment,
            rules: this.extraAttempts,
            errors: this.extraAttemptErrors,
            request,
            route,
            isIdempotent,
            fixedDelayMs: hedgeDelayMs,
            chooseReplica: (tried) =>
              this.chooseReplica({ ...choice, tried, needsFreeSlot: true, needsHealthy: true }),
          }),
      },
    );
    return call.run();
  }

  private async chooseReplica({
    service,
    priority,
    tried,
    guard,
    software,
    needsFreeSlot = false,
    prefer = (candidates) => candidates,
    needsHealthy = false,
    authorisation,
  }: ReplicaChoice): Promise<directories.TrackedReplica | undefined> {
    if (service === undefined) return undefined;
    const { environment, directory, permits } = this.options;
    const refused = new Set<string>();
    for (;;) {
      if (authorisation?.isValid() === false) return undefined;
      const nowMs = environment.nowMs();
      const candidates = directory.list(service).map((tracked) => {
        const { replica } = tracked;
        const limits = {
          isSuitable:
            (software === undefined || softwares.identifySoftware(replica) === software) &&
            (!needsHealthy || isHealthy(tracked, nowMs)),
          isPermitted: !refused.has(replica.id) && !permits.isRefused(replica),
          isTried: tried.has(replica.id),
          isRefusing: false,
          isAvoided: false,
          isLocal: replica.failureDomain === environment.failureDomain,
        };
        return directory.createCandidate(tracked, limits, nowMs);
      });
      const chosen = selections.selectReplica(candidates, {
        needsRoom: needsFreeSlot,
        draw: guard ? guard.draw(environment.random) : environment.random(),
        narrow: (open) => {
          const allowed = guard ? narrow(open, guard) : open;
          return guard?.isSuspect ? allowed : prefer(allowed);
        },
      }).chosen?.tracked;
      if (!chosen) return undefined;
      replicaTrials.recordSelection(environment, directory, chosen);
      if (!permits.isNeeded(chosen.replica)) return chosen;
      const isGranted = await permits.take(chosen.replica, priority);
      // Meanwhile the request may have become suspect, or another of its calls may have started.
      const isAllowed = !guard || guard.selectReplicas([chosen]).length > 0;
      const isAuthorised = authorisation?.isValid() !== false;
      if (isGranted && isAllowed && isAuthorised && !chosen.isLeaving) return chosen;
      refused.add(chosen.replica.id);
    }
  }

  /** The failure of a request that did not run because no replica of the service could take it. */
  private createRefusal(
    service: string | undefined,
    stop: plannedStops.RequestStop,
  ): decisions.Failure {
    if (!stop.mayPassOn()) return plannedStops.createStopRefusal();
    const { directory, permits } = this.options;
    const waitsMs = directory
      .list(service ?? '')
      .map(({ replica }) => permits.getRetryAfterMs(replica));
    const shortestMs = waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
    return decisions.createFailure(shortestMs > 0 ? 'rate-limited' : 'no-target', {
      retryAfterMs: Math.max(REFUSAL_RETRY_AFTER_MS, Math.ceil(shortestMs)),
    });
  }

  private recordOutcome(
    tracked: directories.TrackedReplica,
    requestId: string,
    outcome: replicas.CallOutcome,
    tookMs: number,
  ): void {
    const { environment, directory } = this.options;
    const { id, service } = tracked.replica;
    const startedMs = environment.nowMs() - tookMs;
    tracked.health.recordEnd(startedMs);
    directory.recordLoad(tracked, outcome.load);
    environment.metrics.count('calls', { service, outcome: outcome.status });
    if (outcome.status === replicas.CallStatus.Answered) {
      replicaTrials.recordSuccess(environment, tracked, startedMs);
      tracked.health.recordDuration(tookMs, tracked.workFactor.getCurrent(environment.nowMs()));
      if (outcome.answer.status < FIRST_ERROR_STATUS) return;
      environment.log.info('call answered with an error', {
        request: requestId,
        replica: id,
        status: outcome.answer.status,
        tookMs: Math.round(tookMs),
        ...outcome.connection,
      });
      return;
    }
    if (outcome.status === replicas.CallStatus.Cancelled) {
      // The deadline passed, the caller disconnected, or another replica answered first: the log
      // line of the request itself tells which.
      environment.log.info('call given up', {
        request: requestId,
        replica: id,
        tookMs: Math.round(tookMs),
      });
      return;
    }
    const isSilent = outcome.isSilent === true;
    const isFailure = outcome.status !== replicas.CallStatus.NotRun || isSilent;
    const isEjected = isFailure && tracked.health.recordFailure(environment.nowMs(), isSilent);
    environment.log.info('call failed', {
      request: requestId,
      replica: id,
      outcome: outcome.status,
      reason: outcome.reason,
      tookMs: Math.round(tookMs),
      isAvoided: isEjected,
      ...outcome.connection,
    });
  }
}

function isHealthy({ health }: directories.TrackedReplica, nowMs: number): boolean {
  return health.getCondition(nowMs) === replicaHealths.ReplicaCondition.Healthy;
}

function narrow(
  open: readonly directories.ReplicaCandidate[],
  guard: guardedRequests.GuardedRequest,
): directories.ReplicaCandidate[] {
  const allowed = new Set(guard.selectReplicas(open.map(({ tracked }) => tracked)));
  return open.filter(({ tracked }) => allowed.has(tracked));
}

function describeReply(reply: streamCalls.StreamCallResult['reply']): string {
  if (reply.kind === 'streamed') return reply.isWhole ? 'streamed' : 'broken off';
  return reply.kind === 'answer' ? String(reply.answer.status) : reply.failure.code;
}
