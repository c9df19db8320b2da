import * as streamCalls from '../src/requests/stream-call';
import * as fakeReplicas from './support/fake-replicas';
import * as plainDirectories from './support/plain-directory';
import * as time from './support/virtual-time';

describe('a streaming request', () => {
  let replicas: fakeReplicas.FakeReplicas;

  beforeEach(() => {
    jest.useFakeTimers();
    replicas = fakeReplicas.FakeReplicas.create();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  async function run(
    isResumable: boolean,
    signal = new AbortController().signal,
  ): Promise<{ readonly end: streamCalls.StreamCallEnd; readonly seen: string[] }> {
    const known = plainDirectories
      .createDirectory(time.createEnvironment('vm'), ['r1', 'r2', 'r3'])
      .list(plainDirectories.SERVICE);
    const seen: string[] = [];
    const call = streamCalls.StreamCall.create(
      {
        caller: replicas,
        nowMs: time.nowMs,
        choose: (tried) => known.find((candidate) => !tried.has(candidate.replica.id)),
        note: () => {},
      },
      {
        request: {
          id: 'stream',
          method: 'POST',
          target: '/',
          host: 'h',
          headers: [],
          body: Buffer.alloc(0),
        },
        isResumable,
        mostAttempts: 3,
        callerEndMs: time.nowMs() + 5000,
        endMs: time.nowMs() + 4000,
        afterEvent: undefined,
        silenceMs: 500,
        signal,
      },
      {
        begin: (head) => seen.push(`head ${head.status}`),
        receive: (raw) => seen.push(raw.toString()),
      },
    );
    const ending = call.run();
    await time.pass(6000);
    return { end: await ending, seen };
  }

  const whole = ['head 200', ...fakeReplicas.createText('stream', 10).split('\n')];

  it('passes events on as they come', async () => {
    const { end, seen } = await run(false);
    expect(end).toEqual({ reply: { kind: 'streamed', isWhole: true }, attempts: 1 });
    expect(seen).toEqual(whole);
  });

  it('goes to another replica when one did not run it', async () => {
    replicas.behaviourOf('r1').refusals = 1;
    const { end, seen } = await run(false);
    expect(end).toMatchObject({ reply: { isWhole: true }, attempts: 2 });
    expect(seen).toEqual(whole);
  });

  it('goes on at another replica, under one head, where it may be resumed', async () => {
    replicas.behaviourOf('r1').breakAfter = 4;
    const { end, seen } = await run(true);
    expect(end).toMatchObject({ reply: { isWhole: true }, attempts: 2 });
    expect(seen).toEqual(whole);
    expect(replicas.runs.map((seenRun) => seenRun.afterEvent)).toEqual([undefined, 3]);
  });

  it('breaks off, and is not repeated, where it may not be resumed', async () => {
    replicas.behaviourOf('r1').breakAfter = 4;
    const { end, seen } = await run(false);
    expect(end).toEqual({ reply: { kind: 'streamed', isWhole: false }, attempts: 1 });
    expect(seen).toEqual(whole.slice(0, 5));
    expect(replicas.runs).toHaveLength(1);
  });

  it('leaves a silent replica only where another can go on', async () => {
    replicas.behaviourOf('r1').isSilent = true;
    expect((await run(true)).end).toMatchObject({ reply: { isWhole: true }, attempts: 2 });
    const { end } = await run(false);
    expect(end.reply).toMatchObject({
      kind: 'failure',
      failure: { code: 'deadline-exceeded', verdict: 'may-have-run' },
    });
  });

  it('refuses as not run when no replica took it', async () => {
    ['r1', 'r2', 'r3'].forEach((id) => {
      replicas.behaviourOf(id).refusals = 1;
    });
    const { end } = await run(true);
    expect(end.reply).toMatchObject({ failure: { code: 'no-target', verdict: 'not-run' } });
  });
});
