/**
 * HTTP client of the entries. It tries them in turn, and sends a request again when its response was
 * lost. The id of a configuration change stays the same, so that the change is applied at most once.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

export interface EntryResponse {
  readonly status: number;
  readonly body: unknown;
}

/** A request that no entry served. */
export interface RequestFailure {
  /** Whether the request may have taken effect. */
  readonly verdict: decisions.VerdictKind;
  readonly message: string;
}

const REQUEST_TIMEOUT_MS = 15_000;
/** A round tries every entry once. */
const MAXIMUM_ROUNDS = 3;
const ROUND_BACKOFF_MS = 500;
const SERVICE_UNAVAILABLE = 503;
/** Error codes raised before a connection exists, so that no part of the request was sent. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** A client of one or more entries. */
export class EntryClient {
  private constructor(
    private readonly urls: readonly string[],
    private readonly token: string | undefined,
  ) {}

  /**
   * @param urls base URLs of the entries, `http://IP:PORT`
   * @param token the operators' token
   */
  static create(urls: readonly string[], token: string | undefined): EntryClient {
    return new EntryClient(urls, token);
  }

  get(path: string): Promise<neverthrow.Result<EntryResponse, RequestFailure>> {
    return this.send('GET', path, undefined);
  }

  /** Sends a POST request, which must be idempotent: it may be sent more than once. */
  post(path: string, body: unknown): Promise<neverthrow.Result<EntryResponse, RequestFailure>> {
    return this.send('POST', path, body);
  }

  private async send(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<neverthrow.Result<EntryResponse, RequestFailure>> {
    let failure: RequestFailure = {
      verdict: decisions.VerdictKind.NotRun,
      message: 'no entry given',
    };
    for (let attempt = 0; attempt < MAXIMUM_ROUNDS * this.urls.length; attempt += 1) {
      const url = this.urls[attempt % this.urls.length];
      const result = await this.trySend(url, method, path, body);
      if (result.isOk()) return result;
      const verdict = decisions.combineVerdicts([failure.verdict, result.error.verdict]);
      failure = { verdict, message: result.error.message };
      if ((attempt + 1) % this.urls.length === 0) await sleep(ROUND_BACKOFF_MS);
    }
    return neverthrow.err(failure);
  }

  private async trySend(
    url: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<neverthrow.Result<EntryResponse, RequestFailure>> {
    try {
      const response = await undici.request(`${url}${path}`, {
        method,
        headers: {
          'content-type': 'application/json',
          ...(this.token && { authorization: `Bearer ${this.token}` }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const responseBody = (await response.body.json()) as { error?: { verdict?: unknown } };
      if (response.statusCode === SERVICE_UNAVAILABLE)
        return neverthrow.err(toRequestFailure(responseBody));
      return neverthrow.ok({ status: response.statusCode, body: responseBody });
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const isUnsent = UNSENT_ERROR_CODES.has(code ?? '');
      const { NotRun, MayHaveRun } = decisions.VerdictKind;
      return neverthrow.err({ verdict: isUnsent ? NotRun : MayHaveRun, message });
    }
  }
}

function toRequestFailure(responseBody: {
  error?: { verdict?: unknown; message?: string };
}): RequestFailure {
  const verdict = responseBody.error?.verdict;
  return {
    verdict: decisions.isVerdictKind(verdict) ? verdict : decisions.VerdictKind.MayHaveRun,
    message: responseBody.error?.message ?? 'service unavailable',
  };
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
