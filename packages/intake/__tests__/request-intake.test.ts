/**
 * What bounds untrusted clients must not change what the others see: on real sockets, beside nobody.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as intake from '@azureworks/intake';
import * as runtime from '@azureworks/runtime';

const MEBIBYTE = 1024 * 1024;
const LIMITS = { bodyBytes: 4 * MEBIBYTE, idleTimeoutMs: 10_000 };

describe('the requests of a client', () => {
  let server: http.Server;
  let requests: intake.RequestIntake;
  let memory: intake.MemoryBudget;
  let port: number;

  beforeEach(async () => {
    memory = intake.MemoryBudget.create(16 * MEBIBYTE);
    server = http.createServer(async (request, response) => {
      const reservation = memory.open();
      response.once('close', () => reservation.release());
      const body = await requests.readBody(request, response, reservation);
      // An answer takes a turn of the event loop, as that of a replica does.
      if (body) setImmediate(() => response.end(`${request.url} ${body.length}\n`));
    });
    requests = intake.RequestIntake.create(server, {
      memory,
      maximumConnections: 64,
      log: runtime.SilentLog.create(),
      metrics: runtime.Metrics.create(),
      readLimits: () => LIMITS,
      encodeRefusal: () => ({ headers: [], body: Buffer.from('refused') }),
      identifyRequest: ({ url }) => url,
    });
    requests.start();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    port = (server.address() as net.AddressInfo).port;
  });

  afterEach(async () => {
    requests.stop();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(memory.heldBytes).toBe(0);
  });

  /** Sends parts with pauses on one connection, and receives until the last path was answered. */
  async function exchange(parts: readonly (string | Buffer)[], lastPath: string): Promise<string> {
    const socket = net.connect(port, '127.0.0.1');
    let text = '';
    const isAnswered = new Promise<void>((resolve) => {
      socket.on('data', (bytes) => {
        text += bytes.toString('latin1');
        if (text.includes(`${lastPath} `)) resolve();
      });
      socket.on('close', () => resolve());
    });
    for (const part of parts) {
      socket.write(part);
      await runtime.pause(1);
    }
    await isAnswered;
    socket.destroy();
    return text;
  }

  function createHead(path: string, ...headers: string[]): string {
    return [`POST ${path} HTTP/1.1`, 'Host: x', ...headers, '', ''].join('\r\n');
  }

  it('are answered in their order when there are many at a time', async () => {
    const paths = Array.from({ length: 200 }, (_unused, index) => `/${index}`);
    const text = await exchange(
      [paths.map((path) => `${createHead(path, 'Content-Length: 1')}x`).join('')],
      '/199',
    );
    expect(text.match(/^\/\d+ 1$/gm)).toEqual(paths.map((path) => `${path} 1`));
  });

  it('are read when they come byte by byte', async () => {
    const text = `${createHead('/slow', 'Content-Length: 100')}${'x'.repeat(100)}`;
    expect(await exchange([...text], '/slow')).toContain('/slow 100\n');
  });

  it('are read when they are of the largest size, and one after the other', async () => {
    const head = createHead('/large', `Content-Length: ${LIMITS.bodyBytes}`);
    const body = Buffer.alloc(LIMITS.bodyBytes);
    const parts = [head, body, `${createHead('/next', 'Content-Length: 1')}x`];
    const text = await exchange(parts, '/next');
    expect(text).toContain(`/large ${LIMITS.bodyBytes}\n`);
    expect(text).toContain('/next 1\n');
  });

  it('are given up when the client ends its side before their end', async () => {
    const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.resume();
    socket.end(`${createHead('/cut', 'Content-Length: 100')}part`);
    await closed;
    expect(memory.heldBytes).toBe(0);
  });

  it('are refused when they are too large, and the client sees it', async () => {
    const head = createHead('/huge', `Content-Length: ${LIMITS.bodyBytes + 1}`);
    const text = await exchange([head, Buffer.alloc(MEBIBYTE)], '/huge');
    expect(text).toMatch(/^HTTP\/1\.1 413 [^]*refused$/);
  });

  it('are refused when they are far too large, and a client that reads late sees it', async () => {
    const bytes = 16 * LIMITS.bodyBytes;
    const socket = net.connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.write(createHead('/huge', `Content-Length: ${bytes}`));
    socket.write(Buffer.alloc(bytes));
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    await runtime.pause(500);
    // A reset would discard what it has not read.
    expect(socket.destroyed).toBe(false);
    let text = '';
    socket.on('data', (received) => {
      text += received.toString('latin1');
    });
    await closed;
    expect(text).toMatch(/^HTTP\/1\.1 413 [^]*refused$/);
  });
});
