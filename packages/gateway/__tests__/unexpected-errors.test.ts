/**
 * An unexpected error in one place, such as a call to one replica that throws, ends nothing that others
 * wait for.
 */
import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const NEVER_ABORTED = new AbortController().signal;

async function listResults(from: gateway.Gateway, id: string): Promise<readonly string[]> {
  const answer = await time.settle(from.jobs.results.read(id, 0, 0, NEVER_ABORTED));
  if (!answer.isOk) throw new Error(answer.failure.message);
  return answer.value.results.map((result) => result.state);
}

describe('an unexpected error', () => {
  let system: systems.TestSystem;

  beforeEach(() => {
    jest.useFakeTimers();
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  /** Lets the calls to one replica throw, at once or later. */
  function failCalls(id: string, isAtOnce: boolean): void {
    const { replicas } = system;
    (['call', 'stream', 'order', 'fetchReport', 'probe'] as const).forEach((name) => {
      const original = replicas[name].bind(replicas) as (...call: unknown[]) => Promise<unknown>;
      const failing = (replica: gateway.Replica, ...rest: unknown[]): Promise<unknown> => {
        if (replica.id !== id) return original(replica, ...rest);
        if (isAtOnce) throw new Error(`${name} cannot be sent`);
        return time.pause(5).then(() => {
          throw new Error(`${name} cannot be sent`);
        });
      };
      Object.assign(replicas, { [name]: failing });
    });
  }

  function createPlainRequest(index: number): gateway.CallerRequest {
    const id = `plain-${index}`;
    const path = '/plain/x';
    return {
      request: {
        id,
        method: 'POST',
        target: path,
        host: systems.HOST,
        headers: [],
        body: Buffer.from('b'),
      },
      path,
      deadlineMs: 2000,
      receivedMs: time.nowMs(),
      signal: NEVER_ABORTED,
      afterEvent: undefined,
    };
  }

  describe.each([
    ['at once', true],
    ['later', false],
  ])('in the calls to one replica, thrown %s', (_when, isAtOnce) => {
    beforeEach(async () => {
      ['e1', 'e2'].forEach((id) => system.addReplica(id));
      ['p1', 'p2'].forEach((id) => system.addReplica(id, { isPlain: true }));
    });

    it('loses no item of a batch job', async () => {
      const started = await system.start('vm-1');
      failCalls('e1', isAtOnce);
      await time.settle(started.jobs.submit(systems.createJob('job', 3, 4)));
      await time.advance(8000);
      expect(await listResults(started, 'job')).toEqual(Array(12).fill('completed'));
    });

    it('leaves no request without an answer', async () => {
      const started = await system.start('vm-1');
      failCalls('p1', isAtOnce);
      const replyStream = { begin: () => {}, write: () => {}, end: () => {} };
      for (let index = 0; index < 12; index += 1) {
        const handled = started.handle(
          createPlainRequest(index),
          replyStream as unknown as gateway.ReplyStream,
        );
        expect((await time.settle(handled, 3000)).kind).toBe('answer');
      }
    });

    it('does not keep the other replicas from their weights', async () => {
      await system.start('vm-1');
      failCalls('e1', isAtOnce);
      system.store.write('operator', '', 'weights', 'model=2');
      await time.advance(6000);
      expect(system.replicas.orders.map(({ replica }) => replica)).toContain('e2');
    });
  });
});
