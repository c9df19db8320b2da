/**
 * Requests of clients, each on a connection of its own.
 */
/* eslint-disable no-use-before-define -- it runs as it stands, without a compiler */
import crypto from 'node:crypto';
import http from 'node:http';

export function createId() {
  return crypto.randomBytes(8).toString('hex');
}

/**
 * Sends one attempt.
 * @returns status, headers, body, and whether the answer came whole; status 0 without one
 */
export function send(gateway, { method, path, host, id, headers = {}, body = '', waitMs = 5000 }) {
  return new Promise((resolve) => {
    const answer = { status: 0, headers: {}, body: '', isWhole: false };
    const request = http.request({
      host: gateway.host,
      port: gateway.port,
      method,
      path,
      agent: false,
      headers: {
        host,
        ...(id && { 'x-azureworks-attempt-id': id }),
        'content-length': Buffer.byteLength(body),
        ...headers,
      },
    });
    const finish = () => {
      clearTimeout(timer);
      resolve(answer);
    };
    const timer = setTimeout(() => {
      request.destroy();
      finish();
    }, waitMs);
    request.on('response', (response) => {
      Object.assign(answer, { status: response.statusCode, headers: response.headers });
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => {});
      response.on('close', () => {
        Object.assign(answer, {
          body: Buffer.concat(chunks).toString(),
          isWhole: response.complete,
        });
        finish();
      });
    });
    request.on('error', finish);
    request.end(body);
  });
}
