import type * as gateway from '@azureworks/gateway';
import * as plainCalls from '../src/requests/plain-call';
import * as fakeReplicas from './support/fake-replicas';
import * as plainDirectories from './support/plain-directory';
import * as time from './support/virtual-time';

interface Setup {
  readonly isIdempotent?: boolean;
  readonly mostAttempts?: number;
  readonly endMs?: number;
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

  async function run(setup: Setup = {}): Promise<{
    readonly end: plainCalls.PlainCallEnd;
    readonly tookMs: number;
  }> {
    const directory = plainDirectories.createDirectory(time.createEnvironment('vm'), [
      'r1',
      'r2',
      'r3',
    ]);
    const startMs = time.nowMs();
    const endMs = startMs + (setup.endMs ?? 1000);
    const call = plainCalls.PlainCall.create(
      {
        caller: replicas,
        nowMs: time.nowMs,
        choose: (tried) =>
          directory.list(plainDirectories.SERVICE).find((known) => !tried.has(known.replica.id)),
        note: () => {},
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
        isIdempotent: setup.isIdempotent ?? true,
        mostAttempts: setup.mostAttempts ?? 2,
        callerEndMs: endMs,
        endMs,
        patienceMs: 100,
        signal: setup.signal ?? new AbortController().signal,
      },
    );
    const ending = call.run().then((end) => ({ end, tookMs: time.nowMs() - startMs }));
    await time.pass(3000);
    return ending;
  }

  function failureOf(reply: gateway.Reply): { readonly code: string; readonly verdict: string } {
    if (reply.kind !== 'failure') throw new Error('an answer');
    return reply.failure;
  }

  it('passes a good answer on', async () => {
    const { end, tookMs } = await run();
    expect(end).toMatchObject({ attempts: 1, reply: { kind: 'answer', answer: { status: 200 } } });
    expect(tookMs).toBe(10);
  });

  it('tries another replica when one did not run the request, whatever the kind', async () => {
    replicas.behaviourOf('r1').refusals = 1;
    const { end } = await run({ isIdempotent: false });
    expect(end).toMatchObject({ attempts: 2, reply: { kind: 'answer', answer: { status: 200 } } });
  });

  it('refuses as not run, at once, when all replicas refused', async () => {
    replicas.behaviourOf('r1').refusals = 1;
    replicas.behaviourOf('r2').refusals = 1;
    const { end, tookMs } = await run();
    expect(failureOf(end.reply)).toMatchObject({ code: 'no-target', verdict: 'not-run' });
    expect(tookMs).toBe(0);
  });

  it('repeats an idempotent request that a replica failed, and no other', async () => {
    replicas.behaviourOf('r1').status = 500;
    expect((await run()).end).toMatchObject({ attempts: 2, failedAnswers: 1 });
    const { end } = await run({ isIdempotent: false });
    expect(end).toMatchObject({ attempts: 1, reply: { answer: { status: 500 } } });
  });

  it('never turns an answer that ran into a refusal', async () => {
    replicas.behaviourOf('r1').status = 503;
    const { end } = await run({ isIdempotent: false });
    expect(failureOf(end.reply)).toMatchObject({ code: 'target-failed', verdict: 'may-have-run' });
  });

  it('asks a second replica when the first is silent, and drops the first', async () => {
    replicas.behaviourOf('r1').isSilent = true;
    const { end, tookMs } = await run();
    expect(end).toMatchObject({ attempts: 2, reply: { kind: 'answer' } });
    expect(tookMs).toBe(110);
  });

  it('never asks a second replica while a request that must not be repeated is out', async () => {
    replicas.behaviourOf('r1').isSilent = true;
    const { end, tookMs } = await run({ isIdempotent: false });
    expect(failureOf(end.reply)).toMatchObject({ verdict: 'may-have-run' });
    expect(replicas.calls).toHaveLength(1);
    expect(tookMs).toBe(1000);
  });

  it('keeps to the number of replicas that a request may be sent to', async () => {
    ['r1', 'r2', 'r3'].forEach((id) => {
      replicas.behaviourOf(id).status = 500;
    });
    const { end } = await run({ mostAttempts: 2 });
    expect(replicas.calls).toHaveLength(2);
    expect(end).toMatchObject({ failedAnswers: 2, reply: { answer: { status: 500 } } });
  });

  it('gives up when the caller leaves', async () => {
    replicas.behaviourOf('r1').answerMs = 500;
    const abort = new AbortController();
    setTimeout(() => abort.abort(), 50);
    const { tookMs } = await run({ signal: abort.signal });
    expect(tookMs).toBe(50);
  });
});
