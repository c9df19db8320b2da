/**
 * Targets that send bytes without end: the entry abandons the answer at a limit, with the verdict that
 * the request may have run, in place of collecting it until the deadline.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as decisions from '@azureworks/decisions';
import * as forwarders from '../src/core/forwarder';
import * as attempts from '../src/entry/attempt';
import * as joiners from '../src/entry/stream-joiner';
import type * as requests from '../src/entry/request';
import type * as directories from '../src/entry/target-directory';

const DEADLINE_MS = 4000;
/** Well before the deadline: the attempt was ended by a limit. */
const EARLY_MS = 2500;
const MAXIMUM_GROWTH_BYTES = 64 * 1024 * 1024;

describe('an attempt at a target that sends bytes without end', () => {
  let server: http.Server;
  let forwarder: forwarders.Forwarder;

  afterEach(async () => {
    await forwarder.close();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  async function attempt(isStreamed: boolean, piece: string): Promise<attempts.AttemptOutcome> {
    server = http.createServer((_request, response) => {
      response.writeHead(200, { 'x-azureworks-verdict': 'ran' });
      const write = (): void => {
        if (response.destroyed) return;
        if (response.write(piece)) setImmediate(write);
        else response.once('drain', write);
      };
      write();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    forwarder = forwarders.Forwarder.create(`http://127.0.0.1:${port}`);
    const request = {
      method: 'GET',
      path: '/slots',
      priority: 1,
      isStreamed,
    } as unknown as requests.Request;
    const target = { forwarder, hello: { incarnation: 1 } } as unknown as directories.TrackedTarget;
    return attempts.Attempt.create({
      id: 'a-1',
      request,
      target,
      remainingMs: DEADLINE_MS,
      joiner: joiners.StreamJoiner.create(),
      onLoad: () => {},
    }).run();
  }

  it.each([
    ['a buffered answer', false, 'x'.repeat(16_384)],
    ['an event', true, `data: ${'x'.repeat(16_384)}`],
    ['events', true, `id: 1\ndata: ${'x'.repeat(16_384)}\n\n`],
  ])('is abandoned early: %s', async (_what, isStreamed, piece) => {
    const startMs = performance.now();
    const before = process.memoryUsage().external;
    const outcome = await attempt(isStreamed, piece);
    expect(outcome).toMatchObject({
      kind: 'failed',
      failure: { code: 'target-failed', verdict: decisions.VerdictKind.MayHaveRun },
    });
    expect(performance.now() - startMs).toBeLessThan(EARLY_MS);
    expect(process.memoryUsage().external - before).toBeLessThan(MAXIMUM_GROWTH_BYTES);
  });
});

describe('an event in many pieces', () => {
  it('takes time in proportion to its size, and is oversized beyond its pieces', () => {
    const joiner = joiners.StreamJoiner.create();
    const startMs = performance.now();
    for (let count = 0; count < 65_536; count += 1) joiner.push(Buffer.from('x'));
    expect(joiner.isOversized).toBe(false);
    joiner.push(Buffer.from('x'));
    expect(joiner.isOversized).toBe(true);
    expect(performance.now() - startMs).toBeLessThan(1000);
  });
});
