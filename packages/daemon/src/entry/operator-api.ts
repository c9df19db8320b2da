/**
 * HTTP API for operators: configuration changes, history and status.
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import * as zod from 'zod';
import * as failureResponses from '../core/failure-response';
import * as httpTask from '../core/http-task';
import type * as changeWriters from './change-writer';
import type * as configurationTask from './configuration-task';
import type * as stores from './configuration-store';
import type * as directories from './target-directory';
import type * as membershipTask from './membership-task';

/** Options of the operators' API. */
export interface OperatorApiOptions {
  readonly http: httpTask.HttpTask;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly store: stores.ConfigurationStore;
  readonly membership: membershipTask.MembershipTask;
  readonly directory: directories.TargetDirectory;
  /** The token that operators must send; undefined when none is required. */
  readToken(): string | undefined;
}

const fileName = zod.string().regex(/^[\w.-]+\.ini$/, 'a file name that ends in .ini');

const changeSchema = zod.object({
  id: zod.string().regex(/^[\w-]{8,64}$/),
  baseRevision: zod.number().int().min(0),
  put: zod.record(fileName, zod.string()),
  remove: zod.array(fileName),
  author: zod.string().max(100).default('unknown'),
});

const MAXIMUM_CHANGE_BYTES = 8 * 1024 * 1024;
const STATUS_OK = 200;

/** Handles the requests of operators. */
export class OperatorApi {
  private constructor(private readonly options: OperatorApiOptions) {
    this.add('post', '/v1/configuration/changes', (request, response) =>
      this.acceptChange(request, response),
    );
    this.add('get', '/v1/configuration', (_request, response) => this.showConfiguration(response));
    this.add('get', '/v1/configuration/history', (_request, response) =>
      this.showHistory(response),
    );
    this.add('get', '/v1/configuration/changes/:id', (request, response) =>
      this.showChange(request, response),
    );
    this.add('get', '/v1/status', (_request, response) => this.showStatus(response));
  }

  static create(options: OperatorApiOptions): OperatorApi {
    return new OperatorApi(options);
  }

  private add(method: httpTask.Method, path: string, handler: httpTask.Handler): void {
    this.options.http.add(method, path, (request, response) => {
      if (this.isAllowed(request)) return handler(request, response);
      const failure = decisions.createFailure('unauthorized');
      return this.options.http.bodies.refuse(request, response, failure);
    });
  }

  private isAllowed(request: http.IncomingMessage): boolean {
    const token = this.options.readToken();
    if (token === undefined) return true;
    const digest = (text: string): Buffer => crypto.createHash('sha256').update(text).digest();
    const given = request.headers.authorization ?? '';
    return crypto.timingSafeEqual(digest(given), digest(`Bearer ${token}`));
  }

  private async acceptChange(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const { bodies } = this.options.http;
    const parsed = await bodies.readJson(request, response, MAXIMUM_CHANGE_BYTES, changeSchema);
    if (!parsed) return;
    if (parsed.isErr()) {
      failureResponses.sendFailure(response, parsed.error);
      return;
    }
    const { author, ...change } = parsed.value;
    const result = await this.options.configuration.accept(change, author);
    if (result.isOk()) {
      failureResponses.sendJson(response, STATUS_OK, result.value);
      return;
    }
    sendRejection(response, result.error);
  }

  private showConfiguration(response: http.ServerResponse): void {
    const { revision, files } = this.options.configuration.current;
    failureResponses.sendJson(response, STATUS_OK, { revision, files });
  }

  private async showHistory(response: http.ServerResponse): Promise<void> {
    const result = await this.options.store.readHistory();
    if (result.isOk()) failureResponses.sendJson(response, STATUS_OK, { changes: result.value });
    else failureResponses.sendFailure(response, decisions.createFailure('store-unavailable'));
  }

  private async showChange(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const result = await this.options.store.findChange(request.params.id);
    if (result.isErr()) {
      failureResponses.sendFailure(response, decisions.createFailure('store-unavailable'));
      return;
    }
    if (result.value) failureResponses.sendJson(response, STATUS_OK, result.value);
    else failureResponses.sendFailure(response, decisions.createFailure('not-found'));
  }

  private showStatus(response: http.ServerResponse): void {
    const { configuration: task, membership, directory } = this.options;
    const targets = directory.listAll().map((target) => ({
      name: target.hello.name,
      service: target.hello.service,
      failureDomain: target.hello.failureDomain,
      incarnation: target.hello.incarnation,
      isLeaving: target.isLeaving,
      revision: target.revision,
      weightVersions: target.weightVersions,
    }));
    failureResponses.sendJson(response, STATUS_OK, {
      entry: membership.self?.name,
      revision: task.current.revision,
      confirmedAgoMs: task.getConfirmedAgeMs(),
      entries: membership.listPeers().map(({ name, state, incarnation, address, httpPort }) => ({
        name,
        state,
        incarnation,
        url: `http://${address}:${httpPort}`,
      })),
      targets,
    });
  }
}

function sendRejection(response: http.ServerResponse, rejection: changeWriters.Rejection): void {
  const { failure, conflict, errors } = rejection;
  const { code, verdict, message } = failure;
  failureResponses.sendJson(response, decisions.getHttpStatus(failure), {
    error: {
      code,
      verdict,
      message,
      ...(conflict && { conflict }),
      ...(errors && { errors: errors.map(configuration.formatSettingError) }),
    },
  });
}
