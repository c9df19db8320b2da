/**
 * One JSON request to the platform, with its failures sorted by whether it may have taken effect.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import * as store from '../types/store';

/** The platform's answer: an HTTP status and the parsed body. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** One request to the platform. */
export interface Request {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const SERVICE_UNAVAILABLE = 503;

/** Sends JSON requests to one service of the platform. */
export class StorageConnection {
  private constructor(
    private readonly pool: undici.Pool,
    private readonly timeoutMs: number,
  ) {}

  /**
   * @param url base URL of the service, `http://IP:PORT`
   * @param timeoutMs longest wait for one answer, in milliseconds
   */
  static create(url: string, timeoutMs: number): StorageConnection {
    const options = { connections: 16, connect: { timeout: timeoutMs } };
    return new StorageConnection(new undici.Pool(url, options), timeoutMs);
  }

  /** Sends a request; a status of 500 and above counts as unavailable. */
  send(request: Request): store.StoreResult<Answer> {
    return new neverthrow.ResultAsync(this.trySend(request));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async trySend(request: Request): Promise<neverthrow.Result<Answer, store.StoreFailure>> {
    try {
      const response = await this.pool.request({
        method: request.method,
        path: request.path,
        headers: { 'content-type': 'application/json', ...request.headers },
        body: request.body === undefined ? null : JSON.stringify(request.body),
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode >= SERVICE_UNAVAILABLE) return refused(response.statusCode);
      const body: unknown = text === '' ? undefined : JSON.parse(text);
      return neverthrow.ok({ status: response.statusCode, body });
    } catch (error) {
      return neverthrow.err(describeFailure(error));
    }
  }
}

function refused(status: number): neverthrow.Err<never, store.StoreFailure> {
  return neverthrow.err({
    kind: store.StoreFailureKind.Unavailable,
    // The published protocol answers 503 only before anything was done.
    verdict:
      status === SERVICE_UNAVAILABLE
        ? decisions.VerdictKind.NotRun
        : decisions.VerdictKind.MayHaveRun,
    message: `the platform answered ${status}`,
  });
}

function describeFailure(error: unknown): store.StoreFailure {
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return {
    kind: store.StoreFailureKind.Unavailable,
    verdict: NOT_SENT_CODES.has(code)
      ? decisions.VerdictKind.NotRun
      : decisions.VerdictKind.MayHaveRun,
    message: (error as Error).message,
  };
}
