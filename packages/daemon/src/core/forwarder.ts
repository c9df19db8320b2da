/**
 * Forwards requests to another process over a pool of HTTP connections.
 *
 * Answers of a target, an engine or a plain service, carry no id. A target in trouble may answer a
 * second time, late, and on a connection in use again that copy would pass for the answer to the next
 * request, so a connection to a target carries a single request.
 */
import type * as tls from 'node:tls';
import type * as links from '@azureworks/links';
import * as undici from 'undici';
import * as forwardedRequests from './forwarded-request';

const CONNECT_TIMEOUT_MS = 1000;
const MAXIMUM_CONNECTIONS = 512;

/** The connection pool of one other process. */
export class Forwarder {
  private constructor(
    private readonly pool: undici.Pool,
    private readonly reusesConnections: boolean,
  ) {}

  /**
   * Creates a forwarder to another process of this product.
   * @param url base URL of the other process, `http://IP:PORT` or `https://IP:PORT`
   * @param keys TLS keys for `https`, presented to the other process
   */
  static create(url: string, keys?: links.TlsKeys): Forwarder {
    return new Forwarder(createPool(url, keys), true);
  }

  /** Creates a forwarder to a target, with a connection for each request. */
  static createForTarget(url: string): Forwarder {
    return new Forwarder(createPool(url, undefined), false);
  }

  /** Sends a request and reports the progress of its response to `handler`. */
  send(
    request: forwardedRequests.OutgoingRequest,
    handler: forwardedRequests.ResponseHandler,
  ): forwardedRequests.ForwardedRequest {
    const forwarded = new forwardedRequests.ForwardedRequest(handler);
    this.pool.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
        reset: !this.reusesConnections,
      },
      forwarded,
    );
    return forwarded;
  }

  /** Closes all connections and aborts the requests in flight. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

function createPool(url: string, keys: links.TlsKeys | undefined): undici.Pool {
  return new undici.Pool(url, {
    connections: MAXIMUM_CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS, ...(keys && createTlsOptions(keys)) },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/**
 * Creates the TLS options of a client connection. Certificates are issued by the deployment's
 * authority and not for an address, so only the authority is checked, and the host name is not.
 */
export function createTlsOptions(keys: links.TlsKeys): tls.ConnectionOptions {
  return {
    key: keys.key,
    cert: keys.certificate,
    ca: keys.authority,
    servername: '',
    checkServerIdentity: () => undefined,
  };
}
