/**
 * Asks a target daemon what became of an attempt whose answer was lost. The daemon bars the attempt
 * when it was not dispatched yet, which turns "may have run" into a proven "not run".
 */
import type * as links from '@azureworks/links';
import * as undici from 'undici';
import * as forwarders from '../core/forwarder';
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
  /** It was not dispatched and never will be. */
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

/** Settles attempts with target daemons. */
export class Settler {
  private constructor(private readonly readKeys: (() => links.Keys) | undefined) {}

  /** @param readKeys reads the keys to show to target daemons; absent without TLS */
  static create(readKeys?: () => links.Keys): Settler {
    return new Settler(readKeys);
  }

  /** Settles an attempt, waiting up to `waitMs` for one that is still running. */
  async settle(place: AttemptPlace, waitMs: number): Promise<Settlement> {
    const keys = this.readKeys?.();
    const client = new undici.Client(place.url, {
      connect: { timeout: EXTRA_TIMEOUT_MS, ...(keys && forwarders.createTlsOptions(keys)) },
    });
    try {
      const response = await client.request({
        method: 'POST',
        path: `/attempts/${encodeURIComponent(place.attempt)}/settle?wait_ms=${Math.round(waitMs)}`,
        headers: { [headers.Header.Incarnation]: String(place.incarnation) },
        signal: AbortSignal.timeout(waitMs + EXTRA_TIMEOUT_MS),
      });
      return interpret((await response.body.json()) as SettleAnswer);
    } catch {
      return { kind: 'unknown', isOver: false };
    } finally {
      await client.destroy();
    }
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
