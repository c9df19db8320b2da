/**
 * A target that answers twice, the second time late, while another request is on its connection: the
 * copy must not be taken for the answer to that request.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as runtime from '@azureworks/runtime';
import * as forwarders from '../src/core/forwarder';

/** When a copy follows its answer, when the next request is sent, and how long its answer takes. */
const COPY_DELAY_MS = 150;
const NEXT_REQUEST_DELAY_MS = 100;
const ANSWER_DELAY_MS = 120;

describe('a target that answers a second time, late', () => {
  let server: http.Server;
  let forwarder: forwarders.Forwarder;

  beforeEach(async () => {
    server = http.createServer((request, response) => {
      const { socket } = request;
      const body = `answer to ${request.url}`;
      const copy = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      setTimeout(() => {
        response.end(body);
        setTimeout(() => socket.writable && socket.write(copy), COPY_DELAY_MS);
      }, ANSWER_DELAY_MS);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    forwarder = forwarders.Forwarder.createForTarget(`http://127.0.0.1:${port}`);
  });

  afterEach(async () => {
    await forwarder.close();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  function send(path: string): Promise<string> {
    return new Promise((resolve) => {
      let body = '';
      forwarder.send(
        { method: 'GET', path, headers: {}, body: undefined },
        {
          head: () => {},
          data: (chunk) => {
            body += chunk.toString();
            return true;
          },
          end: () => resolve(body),
          fail: (_wasSent, error) => resolve(error.message),
        },
      );
    });
  }

  it('is not believed to have answered the next request', async () => {
    expect(await send('/first')).toBe('answer to /first');
    await runtime.pause(NEXT_REQUEST_DELAY_MS);
    expect(await send('/second')).not.toBe('answer to /first');
  });
});
