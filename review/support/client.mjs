/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// A stand-in of a client: sends requests, each on a connection of its own, and reads the answers.
import * as http from 'node:http';

/** Resolves to status, headers and body, or to a status of 0 when no whole answer came. */
export function send(
  address,
  method,
  path,
  { headers = {}, body = '', timeoutMs = 12_000, agent = false } = {},
) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const request = http.request({ host, port, method, path, headers, agent, setHost: false });
    const fail = (error) => {
      clearTimeout(timer);
      request.destroy();
      resolve({ status: 0, headers: {}, body: '', error: String(error?.code ?? error) });
    };
    const timer = setTimeout(() => fail('timeout'), timeoutMs);
    request.on('error', fail);
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', fail);
      response.on('aborted', () => fail('aborted'));
      response.on('end', () => {
        if (!response.complete) return;
        clearTimeout(timer);
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        });
      });
    });
    request.end(body);
  });
}
