/**
 * Sends one JSON request to the platform. A failure states whether the request may have taken effect.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import * as store from '../types/store';

/** A response of the platform: the HTTP status and the parsed body. */
export interface StorageResponse {
  readonly status: number;
  readonly body: unknown;
}

export interface StorageRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** Error codes raised before a connection exists, so that no part of the request was sent. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const SERVICE_UNAVAILABLE = 503;

/** A connection pool to the platform. */
export class StorageConnection {
  private constructor(
    private readonly pool: undici.Pool,
    private readonly timeoutMs: number,
  ) {}

  /**
   * @param url base URL of the platform, `http://IP:PORT`
   * @param timeoutMs timeout of connecting, and of a whole request, in milliseconds
   */
  static create(url: string, timeoutMs: number): StorageConnection {
    const options = { connections: 16, connect: { timeout: timeoutMs } };
    return new StorageConnection(new undici.Pool(url, options), timeoutMs);
  }

  /** Sends a request; a status of 503 or above becomes an unavailable failure. */
  send(request: StorageRequest): store.StoreResult<StorageResponse> {
    return new neverthrow.ResultAsync(this.trySend(request));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async trySend(
    request: StorageRequest,
  ): Promise<neverthrow.Result<StorageResponse, store.StoreFailure>> {
    try {
      const response = await this.pool.request({
        method: request.method,
        path: request.path,
        headers: { 'content-type': 'application/json', ...request.headers },
        body: request.body === undefined ? null : JSON.stringify(request.body),
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode >= SERVICE_UNAVAILABLE)
        return createUnavailableError(response.statusCode);
      const body: unknown = text === '' ? undefined : JSON.parse(text);
      return neverthrow.ok({ status: response.statusCode, body });
    } catch (error) {
      return neverthrow.err(toStoreFailure(error));
    }
  }
}

function createUnavailableError(status: number): neverthrow.Err<never, store.StoreFailure> {
  return neverthrow.err({
    kind: store.StoreFailureKind.Unavailable,
    // By the published protocol, 503 is sent only when the request has had no effect.
    verdict:
      status === SERVICE_UNAVAILABLE
        ? decisions.VerdictKind.NotRun
        : decisions.VerdictKind.MayHaveRun,
    message: `the platform returned status ${status}`,
  });
}

function toStoreFailure(error: unknown): store.StoreFailure {
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return {
    kind: store.StoreFailureKind.Unavailable,
    verdict: UNSENT_ERROR_CODES.has(code)
      ? decisions.VerdictKind.NotRun
      : decisions.VerdictKind.MayHaveRun,
    message: (error as Error).message,
  };
}
