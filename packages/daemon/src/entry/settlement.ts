/**
 * Asks a target daemon what became of an attempt whose answer was lost. The daemon bars the attempt
 * when it was not handed over yet, which turns "may have run" into a proven "not run".
 */
import * as undici from 'undici';
import * as headers from '../types/headers';
import type * as requests from './request';

/** Where an attempt was sent. */
export interface AttemptPlace {
  readonly attempt: string;
  /** Base URL of the target daemon, `http://IP:PORT`. */
  readonly url: string;
  readonly incarnation: number;
}

/** What became of an attempt. */
export type Settlement =
  /** It was not handed over and never will be. */
  | { readonly kind: 'not-run' }
  | { readonly kind: 'ran'; readonly answer: requests.Answer }
  /** It may have run; `isOver` tells whether it can still finish. */
  | { readonly kind: 'unknown'; readonly isOver: boolean };

interface SettleAnswer {
  readonly state: string;
  readonly answer?: {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
  };
}

const EXTRA_TIMEOUT_MS = 1000;

/** Settles an attempt, waiting up to `waitMs` for one that is still running. */
export async function settleAttempt(place: AttemptPlace, waitMs: number): Promise<Settlement> {
  const path = `/attempts/${encodeURIComponent(place.attempt)}/settle`;
  try {
    const response = await undici.request(`${place.url}${path}?wait_ms=${Math.round(waitMs)}`, {
      method: 'POST',
      headers: { [headers.Header.Incarnation]: String(place.incarnation) },
      signal: AbortSignal.timeout(waitMs + EXTRA_TIMEOUT_MS),
    });
    return interpret((await response.body.json()) as SettleAnswer);
  } catch {
    return { kind: 'unknown', isOver: false };
  }
}

function interpret({ state, answer }: SettleAnswer): Settlement {
  if (state === 'barred') return { kind: 'not-run' };
  if (state !== 'ran' || !answer) return { kind: 'unknown', isOver: state !== 'running' };
  const { status, contentType, body } = answer;
  return {
    kind: 'ran',
    answer: { status, contentType, body: Buffer.from(body), isStreamed: false },
  };
}
