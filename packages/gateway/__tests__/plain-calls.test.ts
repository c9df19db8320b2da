import * as decisions from '@azureworks/decisions';
import type * as gateway from '@azureworks/gateway';
import * as plainCalls from '../src/requests/plain-call';
import * as fakeReplicas from './support/fake-replicas';
import * as plainDirectories from './support/plain-directory';
import * as time from './support/virtual-time';

interface RunOptions {
  readonly isIdempotent?: boolean;
  readonly maximumAttempts?: number;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

describe('a plain call', () => {
  let replicas: fakeReplicas.FakeReplicas;

  beforeEach(() => {
    jest.useFakeTimers();
    replicas = fakeReplicas.FakeReplicas.create();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  async function run(options: RunOptions = {}): Promise<{
    readonly result: plainCalls.PlainCallResult;
    readonly tookMs: number;
  }> {
    const directory = plainDirectories.createDirectory(time.createEnvironment('vm'), [
      'r1',
      'r2',
      'r3',
    ]);
    const startMs = time.nowMs();
    const endMs = startMs + (options.timeoutMs ?? 1000);
    const call = plainCalls.PlainCall.create(
      {
        replicaClient: replicas,
        nowMs: time.nowMs,
        stop: time.NO_STOP,
        createRefusal: () => decisions.createFailure('no-target'),
        chooseReplica: async (tried) =>
          directory
            .list(plainDirectories.SERVICE)
            .find((tracked) => !tried.has(tracked.replica.id)),
        recordOutcome: () => {},
      },
      {
        request: {
          id: 'request',
          method: 'POST',
          target: '/',
          host: 'h',
          headers: [],
          body: Buffer.alloc(0),
        },
        isIdempotent: options.isIdempotent ?? true,
        maximumAttempts: options.maximumAttempts ?? 2,
        callerDeadlineAtMs: endMs,
        deadlineAtMs: endMs,
        hedgeDelayMs: 100,
        signal: options.signal ?? new AbortController().signal,
      },
    );
    const pending = call.run().then((result) => ({ result, tookMs: time.nowMs() - startMs }));
    await time.advance(3000);
    return pending;
  }

  function getFailure(reply: gateway.Reply): { readonly code: string; readonly verdict: string } {
    if (reply.kind !== 'failure') throw new Error('expected a failure, got an answer');
    return reply.failure;
  }

  it('returns a good answer', async () => {
    const { result, tookMs } = await run();
    expect(result).toMatchObject({
      attempts: 1,
      reply: { kind: 'answer', answer: { status: 200 } },
    });
    expect(tookMs).toBe(10);
  });

  it('tries another replica when the first did not run the request, idempotent or not', async () => {
    replicas.getBehaviour('r1').refusals = 1;
    const { result } = await run({ isIdempotent: false });
    expect(result).toMatchObject({
      attempts: 2,
      reply: { kind: 'answer', answer: { status: 200 } },
    });
  });

  it('fails at once as not run when all replicas refused', async () => {
    replicas.getBehaviour('r1').refusals = 1;
    replicas.getBehaviour('r2').refusals = 1;
    const { result, tookMs } = await run();
    expect(getFailure(result.reply)).toMatchObject({ code: 'no-target', verdict: 'not-run' });
    expect(tookMs).toBe(0);
  });

  it('repeats a request after a server error only when it is idempotent', async () => {
    replicas.getBehaviour('r1').status = 500;
    expect((await run()).result).toMatchObject({ attempts: 2, failedAnswers: 1 });
    const { result } = await run({ isIdempotent: false });
    expect(result).toMatchObject({ attempts: 1, reply: { answer: { status: 500 } } });
  });

  // Guards against a status of a replica that promises "not run" for a request that it may have run.
  it.each([408, 421, 429, 503])(
    'never returns the refusal status %d for a request that ran',
    async (status) => {
      ['r1', 'r2', 'r3'].forEach((id) => {
        replicas.getBehaviour(id).status = status;
      });
      for (const isIdempotent of [false, true]) {
        const { result } = await run({ isIdempotent });
        const failure = { code: 'target-failed', verdict: 'may-have-run' };
        expect(getFailure(result.reply)).toMatchObject(failure);
        expect(result.attempts).toBe(isIdempotent ? 2 : 1);
      }
      replicas.getBehaviour('r2').status = 200;
      expect((await run()).result.reply).toMatchObject({ answer: { status: 200 } });
      replicas.getBehaviour('r2').status = 500;
      expect((await run()).result.reply).toMatchObject({ answer: { status: 500 } });
    },
  );

  it('tries a second replica when the first is unresponsive, and abandons the first', async () => {
    replicas.getBehaviour('r1').isSilent = true;
    const { result, tookMs } = await run();
    expect(result).toMatchObject({ attempts: 2, reply: { kind: 'answer' } });
    expect(tookMs).toBe(110);
  });

  it('never tries a second replica while a request that is not idempotent is in flight', async () => {
    replicas.getBehaviour('r1').isSilent = true;
    const { result, tookMs } = await run({ isIdempotent: false });
    expect(getFailure(result.reply)).toMatchObject({ verdict: 'may-have-run' });
    expect(replicas.calls).toHaveLength(1);
    expect(tookMs).toBe(1000);
  });

  it('respects the maximum number of attempts', async () => {
    ['r1', 'r2', 'r3'].forEach((id) => {
      replicas.getBehaviour(id).status = 500;
    });
    const { result } = await run({ maximumAttempts: 2 });
    expect(replicas.calls).toHaveLength(2);
    expect(result).toMatchObject({ failedAnswers: 2, reply: { answer: { status: 500 } } });
  });

  it('ends when the caller disconnects', async () => {
    replicas.getBehaviour('r1').answerMs = 500;
    const abort = new AbortController();
    setTimeout(() => abort.abort(), 50);
    const { tookMs } = await run({ signal: abort.signal });
    expect(tookMs).toBe(50);
  });
});
