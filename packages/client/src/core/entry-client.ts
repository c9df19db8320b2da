/**
 * Talks to the entries: tries them in turn, and settles a lost answer by sending the same change
 * again under the same id.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

/** The answer of an entry. */
export interface EntryAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** No entry gave an answer. */
export interface NoAnswer {
  /** Whether the request may have taken effect. */
  readonly verdict: decisions.VerdictKind;
  readonly message: string;
}

const TIMEOUT_MS = 15_000;
const ROUNDS = 3;
const ROUND_PAUSE_MS = 500;
const SERVICE_UNAVAILABLE = 503;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

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

  get(path: string): Promise<neverthrow.Result<EntryAnswer, NoAnswer>> {
    return this.send('GET', path, undefined);
  }

  /** Posts an idempotent request: it may be sent more than once. */
  post(path: string, body: unknown): Promise<neverthrow.Result<EntryAnswer, NoAnswer>> {
    return this.send('POST', path, body);
  }

  private async send(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<neverthrow.Result<EntryAnswer, NoAnswer>> {
    let failure: NoAnswer = { verdict: decisions.VerdictKind.NotRun, message: 'no entry given' };
    for (let attempt = 0; attempt < ROUNDS * this.urls.length; attempt += 1) {
      const url = this.urls[attempt % this.urls.length];
      const result = await this.trySend(url, method, path, body);
      if (result.isOk()) return result;
      const verdict = decisions.combineVerdicts([failure.verdict, result.error.verdict]);
      failure = { verdict, message: result.error.message };
      if ((attempt + 1) % this.urls.length === 0) await pause(ROUND_PAUSE_MS);
    }
    return neverthrow.err(failure);
  }

  private async trySend(
    url: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<neverthrow.Result<EntryAnswer, NoAnswer>> {
    try {
      const response = await undici.request(`${url}${path}`, {
        method,
        headers: {
          'content-type': 'application/json',
          ...(this.token && { authorization: `Bearer ${this.token}` }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const answer = (await response.body.json()) as { error?: { verdict?: unknown } };
      if (response.statusCode === SERVICE_UNAVAILABLE) return neverthrow.err(toNoAnswer(answer));
      return neverthrow.ok({ status: response.statusCode, body: answer });
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const isUnsent = NOT_SENT_CODES.has(code ?? '');
      const { NotRun, MayHaveRun } = decisions.VerdictKind;
      return neverthrow.err({ verdict: isUnsent ? NotRun : MayHaveRun, message });
    }
  }
}

function toNoAnswer(answer: { error?: { verdict?: unknown; message?: string } }): NoAnswer {
  const verdict = answer.error?.verdict;
  return {
    verdict: decisions.isVerdictKind(verdict) ? verdict : decisions.VerdictKind.MayHaveRun,
    message: answer.error?.message ?? 'service unavailable',
  };
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
