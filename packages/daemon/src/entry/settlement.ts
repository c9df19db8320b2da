/**
 * Settles an attempt whose answer was lost: asks the target daemon for its outcome. If the attempt
 * was not dispatched yet, the daemon bars it, so that the verdict "may have run" becomes "not run".
 */
import type * as links from '@azureworks/links';
import * as undici from 'undici';
import * as forwarders from '../core/forwarder';
import * as headers from '../types/headers';
import type * as requests from './request';

/** The id of an attempt and the target daemon that it is sent to. */
export interface AttemptPlace {
  readonly attempt: string;
  /** Base URL of the target daemon, `http://IP:PORT`. */
  readonly url: string;
  readonly incarnation: number;
}

/** The outcome of an attempt. */
export type Settlement =
  /** The attempt was not dispatched and is barred. */
  | { readonly kind: 'not-run' }
  | { readonly kind: 'ran'; readonly answer: requests.Answer }
  /** The attempt may have run; unless `isFinished`, it may still be running. */
  | { readonly kind: 'unknown'; readonly isFinished: boolean };

interface SettleAnswer {
  readonly state: string;
  readonly answer?: {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
  };
}

const TIMEOUT_MARGIN_MS = 1000;

/** Asks target daemons for the outcomes of attempts. */
export class Settler {
  private constructor(private readonly readKeys: (() => links.TlsKeys) | undefined) {}

  /** @param readKeys reads the keys for connections to target daemons; absent without TLS */
  static create(readKeys?: () => links.TlsKeys): Settler {
    return new Settler(readKeys);
  }

  /** Settles an attempt; waits up to `waitMs` for it to end if it is still running. */
  async settle(place: AttemptPlace, waitMs: number): Promise<Settlement> {
    const keys = this.readKeys?.();
    const client = new undici.Client(place.url, {
      connect: { timeout: TIMEOUT_MARGIN_MS, ...(keys && forwarders.createTlsOptions(keys)) },
    });
    try {
      const response = await client.request({
        method: 'POST',
        path: `/attempts/${encodeURIComponent(place.attempt)}/settle?wait_ms=${Math.round(waitMs)}`,
        headers: { [headers.Header.Incarnation]: String(place.incarnation) },
        signal: AbortSignal.timeout(waitMs + TIMEOUT_MARGIN_MS),
      });
      return parseSettlement((await response.body.json()) as SettleAnswer);
    } catch {
      return { kind: 'unknown', isFinished: false };
    } finally {
      await client.destroy();
    }
  }
}

function parseSettlement({ state, answer }: SettleAnswer): Settlement {
  if (state === 'barred') return { kind: 'not-run' };
  if (state !== 'ran' || !answer) return { kind: 'unknown', isFinished: state !== 'running' };
  const { status, contentType, body } = answer;
  return {
    kind: 'ran',
    answer: { status, contentType, body: Buffer.from(body), isStreamed: false },
  };
}
