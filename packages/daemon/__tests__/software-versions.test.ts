/**
 * Engines of two versions of their software serve side by side: an answer goes on only at the version
 * that began it.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as decisions from '@azureworks/decisions';
import * as runtime from '@azureworks/runtime';
import * as calls from '../src/entry/call';
import * as plannedStops from '../src/entry/planned-stop';
import type * as requests from '../src/entry/request';
import * as directories from '../src/entry/target-directory';

const SERVICE = 'engines';
const DEADLINE_MS = 4000;
const END = 'data: [DONE]\n\n';

/** Takes the first target in the order in which they were added. */
const FIRST: decisions.RoutingPolicy = { name: 'first', choose: (_request, [first]) => first };

describe('an answer that an engine breaks off', () => {
  const clock = decisions.MonotonicClock.create();
  let servers: http.Server[];
  let directory: directories.TargetDirectory;
  let resumed: string[];

  beforeEach(() => {
    servers = [];
    resumed = [];
    const policies = { [decisions.AffinityPolicy.NAME]: FIRST };
    directory = directories.TargetDirectory.create('a', policies, clock);
  });

  afterEach(async () => {
    await Promise.all(directory.listAll().map(({ forwarder }) => forwarder.close()));
    servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  });

  function createEvent(id: number, version: string): string {
    return `id: ${id}\ndata: {"text":"${version}.${id} "}\n\n`;
  }

  /** @param breaksOff whether the target leaves after two events */
  async function addTarget(
    name: string,
    softwareVersion: string | undefined,
    breaksOff = false,
  ): Promise<void> {
    const server = http.createServer((request, response) => {
      request.resume();
      const after = request.headers['last-event-id'];
      if (after !== undefined) resumed.push(`${name} after ${String(after)}`);
      const first = after === undefined ? 0 : Number(after) + 1;
      response.writeHead(200, { 'x-azureworks-verdict': 'ran' });
      const version = softwareVersion ?? 'unnamed';
      response.write(createEvent(first, version) + createEvent(first + 1, version));
      if (breaksOff) {
        setTimeout(() => {
          directory.remove(SERVICE, name, 1);
          response.destroy();
        }, 30);
      } else response.end(createEvent(first + 2, version) + END);
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    directory.add({
      kind: 'target-hello',
      name,
      service: SERVICE,
      targetKind: 'engine',
      failureDomain: 'a',
      region: 'r',
      address: '127.0.0.1',
      httpPort: (server.address() as net.AddressInfo).port,
      incarnation: 1,
      ...(softwareVersion !== undefined && { softwareVersion }),
    });
  }

  async function run(isSent: boolean): Promise<{
    readonly result: calls.CallResult;
    readonly sent: string;
    readonly text: string;
  }> {
    let sent = '';
    const sink: requests.Sink = {
      head: () => {},
      write: (bytes) => {
        sent += bytes.toString();
        return true;
      },
      onClose: () => {},
      onDrain: () => {},
    };
    const request = {
      service: SERVICE,
      method: 'POST',
      path: '/v1/completions',
      body: Buffer.from('{}'),
      contentType: 'application/json',
      priority: 1,
      isStreamed: true,
      isIdempotent: true,
      deadlineMs: clock.nowMs() + DEADLINE_MS,
    } as unknown as requests.Request;
    const call = calls.Call.create(
      {
        directory,
        metrics: runtime.Metrics.create(),
        clock,
        retryBudget: decisions.RetryBudget.create(1, 10),
        settler: { settle: () => Promise.resolve({ kind: 'unknown' }) } as never,
        entryId: 'entry',
        stop: plannedStops.PlannedStop.create(clock),
      },
      request,
      isSent ? sink : undefined,
    );
    const result = await call.run();
    return { result, sent, text: call.joiner.readText() };
  }

  it('goes on at another engine of its version, not at a nearer one of another version', async () => {
    await addTarget('breaking', 'v1', true);
    await addTarget('newer', 'v2');
    await addTarget('same', 'v1');
    const { result, text } = await run(true);
    expect(result.isOk()).toBe(true);
    expect(text).toBe('v1.0 v1.1 v1.2 v1.3 v1.4 ');
    expect(resumed).toEqual(['same after 1']);
  });

  it('breaks off when it was sent in part and no engine of its version is left', async () => {
    await addTarget('breaking', 'v1', true);
    await addTarget('newer', 'v2');
    const { result, sent } = await run(true);
    expect(result.isOk()).toBe(false);
    expect(sent).not.toContain('v2');
    expect(resumed).toEqual([]);
  });

  it('begins anew at another version when nothing of it was sent', async () => {
    await addTarget('breaking', 'v1', true);
    await addTarget('newer', 'v2');
    const { result, text } = await run(false);
    expect(result.isOk()).toBe(true);
    expect(text).toBe('v2.0 v2.1 v2.2 ');
    expect(resumed).toEqual([]);
  });

  it('goes on among engines that name no version, and not at one that does', async () => {
    await addTarget('breaking', undefined, true);
    await addTarget('named', 'v1');
    await addTarget('unnamed', undefined);
    const { result } = await run(true);
    expect(result.isOk()).toBe(true);
    expect(resumed).toEqual(['unnamed after 1']);
  });
});
