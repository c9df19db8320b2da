/**
 * HTTP API for callers: completions by engine services and requests to plain services.
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as body from '../core/body';
import * as failureResponses from '../core/failure-response';
import * as httpTask from '../core/http-task';
import * as headers from '../types/headers';
import type * as configurationTask from './configuration-task';
import type * as dispatchers from './dispatcher';
import * as plannedStops from './planned-stop';
import type * as requests from './request';

/** Options of the callers' API. */
export interface CallerApiOptions {
  readonly http: httpTask.HttpTask;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly dispatcher: dispatchers.Dispatcher;
  readonly clock: decisions.Clock;
  isDraining(): boolean;
}

interface Caller {
  readonly organisation: string;
  readonly share: number;
  readonly className: string;
  readonly priority: number;
}

/** What the head of a request tells. */
type RequestHead = Pick<
  requests.Request,
  | 'method'
  | 'contentType'
  | 'requestId'
  | 'organisation'
  | 'organisationShare'
  | 'className'
  | 'priority'
  | 'deadlineMs'
>;

type CheckResult<T> = neverthrow.Result<T, decisions.Failure>;

const completionSchema = zod.looseObject({
  prompt: zod.string().min(1),
  prefix: zod.string().optional(),
  model: zod.string().optional(),
  stream: zod.boolean().optional(),
  max_tokens: zod.number().int().min(1).optional(),
});

/** Length of the prompt prefix that is hashed for affinity when the caller gives no prefix. */
const AFFINITY_PREFIX_CHARACTERS = 256;
const BEARER_PREFIX = 'Bearer ';

/** Handles the requests of callers. */
export class CallerApi {
  private constructor(private readonly options: CallerApiOptions) {
    const { http: server } = options;
    server.add('post', '/v1/engines/:engine/completions', (request, response) =>
      this.serveCompletion(request, response),
    );
    server.add('all', '/v1/services/:service/*', (request, response) =>
      this.serveServiceCall(request, response),
    );
  }

  static create(options: CallerApiOptions): CallerApi {
    return new CallerApi(options);
  }

  private async serveCompletion(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const { bodies } = this.options.http;
    const checkHead = () => this.checkHead(request, () => this.findEngine(request.params.engine));
    const limitBytes = bodies.limitJson(this.limits.maximum_body_bytes);
    const content = await this.readContent(checkHead(), request, response, limitBytes);
    if (!content) return;
    // A stop or a new configuration may have come while the body was read, and its deadline begins now.
    const checked = checkHead()
      .andThen((common) => bodies.reserveParsed(response, content).map(() => common))
      .andThen((common) => this.checkCompletion(request, common, content));
    await this.answer(checked, response);
  }

  private async serveServiceCall(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const checkHead = () => this.checkHead(request, () => this.findService(request.params.service));
    const limitBytes = this.limits.maximum_body_bytes;
    const content = await this.readContent(checkHead(), request, response, limitBytes);
    if (!content) return;
    const checked = checkHead().andThen((common) =>
      this.checkServiceCall(request, common, content),
    );
    await this.answer(checked, response);
  }

  /** Reads the body of a request whose head is in order; undefined when the request was answered. */
  private async readContent(
    head: CheckResult<unknown>,
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
    limitBytes: number,
  ): Promise<Buffer | undefined> {
    const { bodies } = this.options.http;
    if (head.isOk()) return bodies.read(request, response, limitBytes);
    bodies.refuse(request, response, head.error);
    return undefined;
  }

  private async answer(
    checked: CheckResult<requests.Request>,
    response: http.ServerResponse,
  ): Promise<void> {
    if (checked.isErr()) {
      failureResponses.sendFailure(response, checked.error);
      return;
    }
    const request = checked.value;
    const sink = request.isStreamed ? createSink(response) : undefined;
    const result = await this.options.dispatcher.serve(request, sink);
    if (result.isErr()) {
      failureResponses.sendFailure(response, result.error);
      return;
    }
    this.options.http.bodies.countResponse(response, result.value.body.length);
    sendAnswer(response, result.value);
  }

  private get limits(): configuration.Limits {
    return this.options.configuration.current.configuration.limits;
  }

  private checkCompletion(
    request: httpTask.RoutedRequest,
    common: RequestHead,
    content: Buffer,
  ): CheckResult<requests.Request> {
    const { engine: service } = request.params;
    return this.findEngine(service).andThen((engine) =>
      body.parseJson(content, completionSchema).map((completion) => ({
        ...common,
        service,
        path: '/v1/completions',
        body: content,
        isIdempotent: true,
        isStreamed: completion.stream !== false,
        affinityHash: decisions.hashText(
          completion.prefix ?? completion.prompt.slice(0, AFFINITY_PREFIX_CHARACTERS),
        ),
        model: completion.model ?? engine.model,
      })),
    );
  }

  private checkServiceCall(
    request: httpTask.RoutedRequest,
    common: RequestHead,
    content: Buffer,
  ): CheckResult<requests.Request> {
    const { service } = request.params;
    const path = request.url.slice(`/v1/services/${service}`.length);
    return this.findService(service).map((plainService) => ({
      ...common,
      service,
      path,
      body: content,
      isIdempotent: isIdempotent(request, path, plainService),
      isStreamed: false,
      affinityHash: undefined,
      model: undefined,
    }));
  }

  private findEngine(name: string): CheckResult<configuration.Engine> {
    const engine = this.options.configuration.current.configuration.engines.get(name);
    return engine ? neverthrow.ok(engine) : refuseUnknown('unknown-service', name);
  }

  private findService(name: string): CheckResult<configuration.PlainService> {
    const service = this.options.configuration.current.configuration.services.get(name);
    return service ? neverthrow.ok(service) : refuseUnknown('unknown-service', name);
  }

  /** Checks what the head of a request tells, before its body is read. */
  private checkHead(
    request: httpTask.RoutedRequest,
    findTarget: () => CheckResult<unknown>,
  ): CheckResult<RequestHead> {
    return this.checkReady()
      .andThen(findTarget)
      .andThen(() => this.checkCaller(request))
      .andThen((caller) => this.createHead(request, caller));
  }

  private createHead(request: httpTask.RoutedRequest, caller: Caller): CheckResult<RequestHead> {
    return this.checkDeadline(request).map((deadlineMs) => ({
      method: request.method ?? 'GET',
      contentType: request.headers['content-type'],
      requestId: readHeader(request, headers.Header.RequestId),
      organisation: caller.organisation,
      organisationShare: caller.share,
      className: caller.className,
      priority: caller.priority,
      deadlineMs,
    }));
  }

  private checkReady(): CheckResult<void> {
    if (this.options.isDraining()) return neverthrow.err(plannedStops.createStopRefusal());
    if (this.options.configuration.isConfirmed()) return neverthrow.ok(undefined);
    return neverthrow.err(decisions.createFailure('revision-unconfirmed'));
  }

  private checkCaller(request: httpTask.RoutedRequest): CheckResult<Caller> {
    const { organisations, classes } = this.options.configuration.current.configuration;
    const name = readHeader(request, headers.Header.Organisation) ?? '';
    const organisation = organisations.get(name);
    if (!organisation) return refuseUnknown('unknown-tenant', name);
    if (!hasToken(request, organisation)) {
      return neverthrow.err(decisions.createFailure('unauthorized'));
    }
    const { priority } = classes.get(organisation.class) as configuration.PriorityClass;
    return neverthrow.ok({
      organisation: name,
      share: organisation.share,
      className: organisation.class,
      priority,
    });
  }

  private checkDeadline(request: httpTask.RoutedRequest): CheckResult<number> {
    const { default_deadline_ms: defaultMs, maximum_deadline_ms: maximumMs } = this.limits;
    const text = readHeader(request, headers.Header.DeadlineMs);
    const durationMs = text === undefined ? defaultMs : Number(text);
    const isValid = Number.isInteger(durationMs) && durationMs >= 1 && durationMs <= maximumMs;
    if (!isValid) {
      const detail = `must be an integer from 1 to ${maximumMs} ms, not "${text}"`;
      return neverthrow.err(decisions.createFailure('bad-deadline', { detail }));
    }
    return neverthrow.ok(this.options.clock.nowMs() + durationMs);
  }
}

function refuseUnknown(
  code: 'unknown-service' | 'unknown-tenant',
  name: string,
): neverthrow.Err<never, decisions.Failure> {
  return neverthrow.err(decisions.createFailure(code, { detail: `"${name.slice(0, 100)}"` }));
}

/**
 * Whether a request may be retried. The caller's header takes precedence over the configuration.
 */
function isIdempotent(
  request: httpTask.RoutedRequest,
  path: string,
  service: configuration.PlainService,
): boolean {
  const declared = readHeader(request, headers.Header.Idempotent);
  if (declared !== undefined) return declared === 'true';
  const call = `${request.method} ${path.split('?')[0]}`;
  return !service.non_idempotent.some((pattern) => call.startsWith(pattern));
}

function hasToken(
  request: http.IncomingMessage,
  organisation: configuration.Organisation,
): boolean {
  if (organisation.token_sha256 === undefined) return true;
  const { authorization } = request.headers;
  if (!authorization?.startsWith(BEARER_PREFIX)) return false;
  const token = authorization.slice(BEARER_PREFIX.length);
  const digest = crypto.createHash('sha256').update(token).digest();
  const expected = Buffer.from(organisation.token_sha256, 'hex');
  return expected.length === digest.length && crypto.timingSafeEqual(digest, expected);
}

function readHeader(request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function createSink(response: http.ServerResponse): requests.Sink {
  let resume = (): void => {};
  response.on('drain', () => resume());
  return {
    head: () => {
      if (response.headersSent) return;
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        [headers.Header.Verdict]: decisions.VerdictKind.Ran,
      });
    },
    write: (bytes) => response.write(bytes),
    onDrain: (callback) => {
      resume = callback;
    },
    onClose: (abort) => {
      response.on('close', () => {
        if (!response.writableFinished) abort();
      });
    },
  };
}

function sendAnswer(response: http.ServerResponse, answer: requests.Answer): void {
  if (answer.isStreamed) {
    response.end();
    return;
  }
  response.writeHead(answer.status, {
    ...(answer.contentType && { 'content-type': answer.contentType }),
    'content-length': answer.body.length,
    [headers.Header.Verdict]: decisions.VerdictKind.Ran,
  });
  response.end(answer.body);
}
