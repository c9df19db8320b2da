import * as net from 'node:net';
import * as intake from '@azureworks/intake';
import * as runtime from '@azureworks/runtime';
import * as body from '../src/core/body';
import * as failureResponses from '../src/core/failure-response';
import * as httpTask from '../src/core/http-task';

const DRAIN_TIMEOUT_MS = 3000;
const WAIT_TIMEOUT_MS = 1000;
const REQUEST = 'GET /slow HTTP/1.1\r\nHost: entry\r\n\r\n';
const STREAM_REQUEST = 'GET /stream HTTP/1.1\r\nHost: entry\r\n\r\n';
/** How long a busy caller pauses between two requests on a connection, in milliseconds. */
const CALLER_PAUSE_MS = 300;

interface Connection {
  readonly socket: net.Socket;
  readonly received: () => string;
  readonly closed: Promise<void>;
}

function connect(port: number): Promise<Connection> {
  return new Promise((resolve, reject) => {
    let text = '';
    const socket = net.connect(port, '127.0.0.1');
    const closed = new Promise<void>((close) => {
      socket.once('close', () => close());
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.once('error', reject);
    socket.once('connect', () => resolve({ socket, closed, received: () => text }));
  });
}

/** Waits for a condition, at most a second; the assertions that follow then show what is missing. */
async function waitFor(isMet: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!isMet() && performance.now() < deadlineMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('a planned stop of an HTTP server', () => {
  let task: httpTask.HttpTask;
  let pendingResponses: (() => void)[];

  beforeEach(async () => {
    pendingResponses = [];
    task = httpTask.HttpTask.create({
      address: '127.0.0.1',
      port: 0,
      drainTimeoutMs: DRAIN_TIMEOUT_MS,
      bodies: body.Bodies.create({
        memory: intake.MemoryBudget.create(1024 * 1024),
        maximumDescriptors: 1024,
        log: runtime.SilentLog.create(),
        metrics: runtime.Metrics.create(),
      }),
    });
    task.add('get', '/slow', (_request, response) => {
      pendingResponses.push(() => failureResponses.sendJson(response, 200, {}));
    });
    task.add('post', '/body', async (request, response) => {
      await task.bodies.read(request, response, 100);
    });
    task.add('get', '/stream', (_request, response) => {
      response.writeHead(200);
      response.write('part');
      pendingResponses.push(() => response.end());
    });
    await task.start();
  });

  afterEach(() => task.stop());

  it('answers a request that arrives on a kept-alive connection after the stop began', async () => {
    const caller = await connect(task.listeningPort);
    caller.socket.write(REQUEST);
    await waitFor(() => pendingResponses.length === 1);
    pendingResponses[0]();
    await waitFor(() => caller.received().endsWith('{}'));
    const stopped = task.stop();
    caller.socket.write(REQUEST);
    await waitFor(() => pendingResponses.length === 2);
    pendingResponses[1]?.();
    await caller.closed;
    expect(caller.received().match(/HTTP\/1\.1 200/g)).toHaveLength(2);
    expect(caller.received()).toMatch(/connection: close/i);
    await stopped;
  });

  it('closes a connection after a response that was in flight when the stop began', async () => {
    const caller = await connect(task.listeningPort);
    caller.socket.write(REQUEST);
    await waitFor(() => pendingResponses.length === 1);
    const stopped = task.stop();
    pendingResponses[0]();
    await caller.closed;
    expect(caller.received()).toMatch(/connection: close/i);
    await stopped;
  });

  // The head of a streamed response cannot announce any more that its connection will be closed.
  it.each([1400, 1800])(
    'does not cut the request that follows a stream that ended %d ms after the stop began',
    async (endMs) => {
      const caller = await connect(task.listeningPort);
      caller.socket.write(STREAM_REQUEST);
      await waitFor(() => pendingResponses.length === 1);
      const stopped = task.stop();
      await runtime.pause(endMs);
      pendingResponses[0]();
      await runtime.pause(CALLER_PAUSE_MS);
      caller.socket.write(REQUEST);
      await waitFor(() => pendingResponses.length === 2);
      pendingResponses[1]?.();
      await caller.closed;
      expect(caller.received().match(/HTTP\/1\.1 200/g)).toHaveLength(2);
      await stopped;
    },
  );

  it.each([
    ['502', 'may-have-run', 'one that is not answered', 'GET /slow HTTP/1.1\r\nHost: e\r\n\r\n'],
    [
      '503',
      'not-run',
      'one of which a part never came',
      'POST /body HTTP/1.1\r\nHost: e\r\nContent-Length: 4\r\n\r\nbo',
    ],
  ])('answers a request with %s and %s in the end: %s', async (status, verdict, _what, text) => {
    const caller = await connect(task.listeningPort);
    caller.socket.write(text);
    await runtime.pause(50);
    await task.stop();
    await caller.closed;
    expect(caller.received()).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(caller.received()).toContain(`"verdict":"${verdict}"`);
  });

  // Under load, connections that the kernel has accepted wait for the event loop.
  it('answers a connection that was not accepted yet when the stop began', async () => {
    let text = '';
    const socket = net.connect(task.listeningPort, '127.0.0.1');
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('error', () => {});
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(REQUEST);
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
    const stopped = task.stop();
    await waitFor(() => pendingResponses.length === 1);
    pendingResponses[0]?.();
    await closed;
    expect(text).toMatch(/^HTTP\/1\.1 200 /);
    await stopped;
  });

  it('returns without a wait when no connection is open', async () => {
    const startMs = performance.now();
    await task.stop();
    expect(performance.now() - startMs).toBeLessThan(500);
  });

  it('completes although a caller keeps an idle connection open', async () => {
    const caller = await connect(task.listeningPort);
    await task.stop();
    await caller.closed;
    expect(caller.received()).toBe('');
  });
});
