/**
 * JSON responses, and failures on the wire: status, code and verdict.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import * as headers from '../types/headers';

const MILLISECONDS_PER_SECOND = 1000;

/** Sends a JSON response. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  extraHeaders: http.OutgoingHttpHeaders = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...extraHeaders,
  });
  response.end(text);
}

/** The headers and the body that tell a failure; the length of the body is not among the headers. */
export function encodeFailure(failure: decisions.Failure): { headers: string[]; body: Buffer } {
  const { code, verdict, message, retryAfterMs } = failure;
  const encoded = ['content-type', 'application/json'];
  encoded.push(headers.Header.Verdict, verdict, headers.Header.ErrorCode, code);
  if (retryAfterMs !== undefined) {
    encoded.push('retry-after', String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)));
  }
  const body = Buffer.from(JSON.stringify({ error: { code, verdict, message } }));
  return { headers: encoded, body };
}

/** Sends a failure with its code and verdict; closes the connection if a response has begun. */
export function sendFailure(response: http.ServerResponse, failure: decisions.Failure): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { headers: encoded, body } = encodeFailure(failure);
  const status = decisions.getHttpStatus(failure);
  response.writeHead(status, [...encoded, 'content-length', String(body.length)]);
  response.end(body);
}
