/**
 * Forwards plain requests of callers, and the gateway's own, to replicas of their routes' services.
 */
import * as decisions from '@azureworks/decisions';
import * as configurations from '../types/configuration';
import type * as configurationKeepers from '../configuration/configuration-keeper';
import type * as environments from '../types/environment';
import type * as exchanges from '../types/exchange';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as placement from '../replicas/placement';
import * as routeTables from '../configuration/route-table';
import * as plainCalls from './plain-call';
import * as streamCalls from './stream-call';

/** What the forwarder needs. */
export interface ForwarderParts {
  readonly environment: environments.Environment;
  readonly configuration: configurationKeepers.ConfigurationKeeper;
  readonly directory: directories.Directory;
  readonly caller: replicas.ReplicaCaller;
}

/** A request that the gateway makes for itself. */
export interface OwnRequest {
  readonly request: replicas.ReplicaRequest;
  readonly path: string;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/**
 * Share of a route's objective after which an idempotent request is also sent to another replica:
 * late enough that few sound replicas are asked twice, early enough to answer in time.
 */
const PATIENCE_SHARE = 0.5;
/** How long a replica of a resumable stream may be silent before another goes on, in milliseconds. */
const STREAM_SILENCE_MS = 1000;

/** Forwards plain requests. */
export class Forwarder {
  private constructor(private readonly parts: ForwarderParts) {}

  static create(parts: ForwarderParts): Forwarder {
    return new Forwarder(parts);
  }

  /** Forwards a caller's request on the route that was found for it. */
  async forward(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
  ): Promise<exchanges.Reply> {
    const deadlineMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
    const end = await this.call(caller, route, {
      callerEndMs: caller.receivedMs + (caller.deadlineMs ?? route.timeoutMs),
      endMs: caller.receivedMs + deadlineMs,
    });
    this.report(caller, route, describeReply(end.reply), end.attempts);
    return end.reply;
  }

  /** Forwards a streaming request of a caller. */
  async forwardStream(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
    replyStream: exchanges.ReplyStream,
  ): Promise<streamCalls.StreamCallEnd['reply']> {
    const { environment, caller: replicaCaller } = this.parts;
    const { request, signal, afterEvent } = caller;
    const service = routeTables.chooseService(route, environment.random());
    const call = streamCalls.StreamCall.create(
      {
        caller: replicaCaller,
        nowMs: environment.nowMs,
        choose: (tried) => this.choose(service, tried),
        note: (known, outcome, tookMs) => this.note(known, request.id, outcome, tookMs),
      },
      {
        request,
        signal,
        afterEvent,
        isResumable: route.isResumable,
        mostAttempts: route.mostAttempts,
        callerEndMs: caller.receivedMs + (caller.deadlineMs ?? route.timeoutMs),
        endMs: caller.receivedMs + Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs),
        silenceMs: STREAM_SILENCE_MS,
      },
      replyStream,
    );
    const { reply, attempts } = await call.run();
    this.report(caller, route, describeReply(reply), attempts);
    return reply;
  }

  private report(
    caller: exchanges.CallerRequest,
    route: configurations.Route,
    outcome: string,
    attempts: number,
  ): void {
    const { environment, configuration } = this.parts;
    const tookMs = environment.nowMs() - caller.receivedMs;
    environment.metrics.record('request', { route: route.name, kind: route.kind }, tookMs);
    environment.metrics.count('requests', { route: route.name, outcome });
    environment.log.change('request answered', {
      request: caller.request.id,
      route: route.name,
      outcome,
      attempts,
      tookMs: Math.round(tookMs),
      deadlineMs: caller.deadlineMs,
      timeoutMs: route.timeoutMs,
      configuration: configuration.current?.version,
    });
  }

  /** To how many replicas a request for this host and path may be sent; 0 without a route. */
  countAttempts(host: string, path: string): number {
    return this.parts.configuration.routeTable?.find(host, path)?.mostAttempts ?? 0;
  }

  /** Sends a request of the gateway's own to the service of the route for its host and path. */
  async send(own: OwnRequest): Promise<plainCalls.PlainCallEnd> {
    const route = this.parts.configuration.routeTable?.find(own.request.host, own.path);
    if (!route) {
      const failure = decisions.createFailure('unknown-route');
      return { reply: { kind: 'failure', failure }, attempts: 0, failedAnswers: 0 };
    }
    const endMs = this.parts.environment.nowMs() + own.deadlineMs;
    return this.call(own, route, { callerEndMs: endMs, endMs });
  }

  private call(
    { request, signal }: Pick<OwnRequest, 'request' | 'signal'>,
    route: configurations.Route,
    ends: { readonly callerEndMs: number; readonly endMs: number },
  ): Promise<plainCalls.PlainCallEnd> {
    const { environment, caller } = this.parts;
    const service = routeTables.chooseService(route, environment.random());
    const call = plainCalls.PlainCall.create(
      {
        caller,
        nowMs: environment.nowMs,
        choose: (tried) => this.choose(service, tried),
        note: (known, outcome, tookMs) => this.note(known, request.id, outcome, tookMs),
      },
      {
        request,
        signal,
        ...ends,
        isIdempotent: route.kind === configurations.RouteKind.Idempotent,
        mostAttempts: Math.max(1, route.mostAttempts),
        patienceMs: route.objectiveMs * PATIENCE_SHARE,
      },
    );
    return call.run();
  }

  private choose(
    service: string | undefined,
    tried: ReadonlySet<string>,
  ): directories.KnownReplica | undefined {
    if (service === undefined) return undefined;
    const { environment, directory } = this.parts;
    const candidates = directory
      .list(service)
      .filter((known) => !tried.has(known.replica.id))
      .map((known) => directory.describe(known));
    return placement.choosePlacement(candidates, environment.random())?.known;
  }

  private note(
    known: directories.KnownReplica,
    requestId: string,
    outcome: replicas.CallOutcome,
    tookMs: number,
  ): void {
    const { environment, directory } = this.parts;
    const { id, service } = known.replica;
    directory.noteLoad(known, outcome.load);
    environment.metrics.count('calls', { service, outcome: outcome.status });
    if (outcome.status === replicas.CallStatus.Answered) {
      known.pace.noteSuccess();
      known.pace.observe(tookMs);
      return;
    }
    if (outcome.status === replicas.CallStatus.Cancelled) {
      // Time was up, the caller left, or another replica answered first: the line of the request's
      // own end tells which.
      environment.log.change('call given up', {
        request: requestId,
        replica: id,
        tookMs: Math.round(tookMs),
      });
      return;
    }
    const isSilent = outcome.isSilent === true;
    const isFailure = outcome.status !== replicas.CallStatus.NotRun || isSilent;
    const isAvoided = isFailure && known.pace.noteFailure(environment.nowMs(), isSilent);
    environment.log.change('call failed', {
      request: requestId,
      replica: id,
      outcome: outcome.status,
      reason: outcome.reason,
      tookMs: Math.round(tookMs),
      isAvoided,
    });
  }
}

function describeReply(reply: streamCalls.StreamCallEnd['reply']): string {
  if (reply.kind === 'streamed') return reply.isWhole ? 'streamed' : 'broken off';
  return reply.kind === 'answer' ? String(reply.answer.status) : reply.failure.code;
}
