/**
 * JSON requests over HTTP, and sleep, for experiments.
 */
import * as undici from 'undici';

const OK = 200;
const RETRY_TIMEOUT_MS = 30_000;
const RETRY_BACKOFF_MS = 100;
const RETRYABLE_CODES = new Set(['ECONNREFUSED', 'ECONNRESET', 'UND_ERR_SOCKET']);

/** Reads JSON over HTTP; retries while the process refuses or resets connections. */
export async function getJson<T>(url: string): Promise<T> {
  const deadlineMs = performance.now() + RETRY_TIMEOUT_MS;
  for (;;) {
    try {
      return await tryGetJson<T>(url);
    } catch (error) {
      const isRetryable = RETRYABLE_CODES.has((error as NodeJS.ErrnoException).code ?? '');
      if (!isRetryable || performance.now() > deadlineMs) throw error;
      await sleep(RETRY_BACKOFF_MS);
    }
  }
}

async function tryGetJson<T>(url: string): Promise<T> {
  const response = await undici.request(url);
  if (response.statusCode !== OK) throw new Error(`${url} answered ${response.statusCode}`);
  return (await response.body.json()) as T;
}

/** Posts JSON over HTTP and returns the parsed response body. */
export async function postJson(url: string, body: unknown): Promise<unknown> {
  const response = await undici.request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  return response.body.json();
}

export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
