/**
 * Sends requests to one other process over a pool of connections.
 */
import type * as tls from 'node:tls';
import type * as links from '@azureworks/links';
import * as undici from 'undici';
import * as forwardedRequests from './forwarded-request';

const CONNECT_TIMEOUT_MS = 1000;
const CONNECTIONS_PER_TARGET = 512;

/** A pool of connections to one other process. */
export class Forwarder {
  private constructor(private readonly pool: undici.Pool) {}

  /**
   * @param url base URL of the other process, `http://IP:PORT` or `https://IP:PORT`
   * @param keys shown to the other process, for `https`
   */
  static create(url: string, keys?: links.Keys): Forwarder {
    const pool = new undici.Pool(url, {
      connections: CONNECTIONS_PER_TARGET,
      connect: { timeout: CONNECT_TIMEOUT_MS, ...(keys && createTlsOptions(keys)) },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return new Forwarder(pool);
  }

  /** Sends a request. */
  send(
    request: forwardedRequests.ForwardRequest,
    events: forwardedRequests.ForwardEvents,
  ): forwardedRequests.ForwardedRequest {
    const forwarded = new forwardedRequests.ForwardedRequest(events);
    this.pool.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
      },
      forwarded,
    );
    return forwarded;
  }

  /** Closes all connections, cutting what is under way. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

/** Certificates are bound to the deployment's authority and not to an address. */
export function createTlsOptions(keys: links.Keys): tls.ConnectionOptions {
  return {
    key: keys.key,
    cert: keys.certificate,
    ca: keys.authority,
    servername: '',
    checkServerIdentity: () => undefined,
  };
}
