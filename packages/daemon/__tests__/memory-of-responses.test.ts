/**
 * Callers that leave before they are answered: what is counted for them must be given back, also when their
 * answer comes later. The budget would shrink with each of them until every request was refused.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as intake from '@azureworks/intake';
import * as runtime from '@azureworks/runtime';
import * as body from '../src/core/body';

const ANSWER_BYTES = 100_000;

describe('the memory of a daemon', () => {
  it('is given back for a caller that left before its answer came', async () => {
    const memory = intake.MemoryBudget.create(1024 * 1024);
    const bodies = body.Bodies.create({
      memory,
      maximumDescriptors: 1024,
      log: runtime.SilentLog.create(),
      metrics: runtime.Metrics.create(),
    });
    let hasLeft = (): void => {};
    const left = new Promise<void>((resolve) => {
      hasLeft = resolve;
    });
    const server = http.createServer(async (request, response) => {
      response.once('close', () => hasLeft());
      const bytes = await bodies.read(request, response, 1000);
      await left;
      if (bytes) bodies.reserveParsed(response, bytes);
      bodies.countResponse(response, ANSWER_BYTES);
    });
    bodies.attach(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    socket.write('POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody', () =>
      setImmediate(() => socket.destroy()),
    );
    await left;
    await runtime.handlePendingEvents();
    expect(memory.heldBytes).toBe(0);
    bodies.detach();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });
});
