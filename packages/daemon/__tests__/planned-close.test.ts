import * as net from 'node:net';
import * as httpTask from '../src/core/http-task';

const DRAIN_TIMEOUT_MS = 3000;
const WAIT_MS = 1000;
const REQUEST = 'GET /slow HTTP/1.1\r\nHost: entry\r\n\r\n';

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

/** Waits until it is true, or for a second: the expectations behind it then tell what is missing. */
async function waitFor(isTrue: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + WAIT_MS;
  while (!isTrue() && performance.now() < deadlineMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('a planned stop of an HTTP server', () => {
  let task: httpTask.HttpTask;
  let answers: (() => void)[];

  beforeEach(async () => {
    answers = [];
    task = httpTask.HttpTask.create('127.0.0.1', 0, DRAIN_TIMEOUT_MS);
    task.add('get', '/slow', (_request, response) => {
      answers.push(() => httpTask.sendJson(response, 200, {}));
    });
    await task.start();
  });

  afterEach(() => task.stop());

  it('answers a request that arrives on a kept connection after it began', async () => {
    const caller = await connect(task.listeningPort);
    caller.socket.write(REQUEST);
    await waitFor(() => answers.length === 1);
    answers[0]();
    await waitFor(() => caller.received().endsWith('{}'));
    const stopped = task.stop();
    caller.socket.write(REQUEST);
    await waitFor(() => answers.length === 2);
    answers[1]?.();
    await caller.closed;
    expect(caller.received().match(/HTTP\/1\.1 200/g)).toHaveLength(2);
    expect(caller.received()).toMatch(/connection: close/i);
    await stopped;
  });

  it('ends a connection behind an answer that was under way when it began', async () => {
    const caller = await connect(task.listeningPort);
    caller.socket.write(REQUEST);
    await waitFor(() => answers.length === 1);
    const stopped = task.stop();
    answers[0]();
    await caller.closed;
    expect(caller.received()).toMatch(/connection: close/i);
    await stopped;
  });

  it('does not wait when nobody is connected', async () => {
    const startMs = performance.now();
    await task.stop();
    expect(performance.now() - startMs).toBeLessThan(500);
  });

  it('ends although a caller keeps an idle connection open', async () => {
    const caller = await connect(task.listeningPort);
    await task.stop();
    await caller.closed;
    expect(caller.received()).toBe('');
  });
});
