import * as decisions from '@azureworks/decisions';
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
  ): Promise<{ readonly result: streamCalls.StreamCallResult; readonly received: string[] }> {
    const tracked = plainDirectories
      .createDirectory(time.createEnvironment('vm'), ['r1', 'r2', 'r3'])
      .list(plainDirectories.SERVICE);
    const received: string[] = [];
    const call = streamCalls.StreamCall.create(
      {
        replicaClient: replicas,
        nowMs: time.nowMs,
        stop: time.NO_STOP,
        createRefusal: () => decisions.createFailure('no-target'),
        chooseReplica: async (tried) =>
          tracked.find((candidate) => !tried.has(candidate.replica.id)),
        recordOutcome: () => {},
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
        maximumAttempts: 3,
        callerDeadlineAtMs: time.nowMs() + 5000,
        deadlineAtMs: time.nowMs() + 4000,
        afterEvent: undefined,
        software: undefined,
        onBegun: () => {},
        idleTimeoutMs: 500,
        signal,
      },
      {
        begin: (head) => received.push(`head ${head.status}`),
        receive: (raw) => received.push(raw.toString()),
      },
    );
    const pending = call.run();
    await time.advance(6000);
    return { result: await pending, received };
  }

  const completeStream = ['head 200', ...fakeReplicas.createText('stream', 10).split('\n')];

  it('forwards events as they arrive', async () => {
    const { result, received } = await run(false);
    expect(result).toEqual({ reply: { kind: 'streamed', isWhole: true }, attempts: 1 });
    expect(received).toEqual(completeStream);
  });

  it('tries another replica when the first did not run it', async () => {
    replicas.getBehaviour('r1').refusals = 1;
    const { result, received } = await run(false);
    expect(result).toMatchObject({ reply: { isWhole: true }, attempts: 2 });
    expect(received).toEqual(completeStream);
  });

  it('continues on another replica under the same head when the route is resumable', async () => {
    replicas.getBehaviour('r1').breakAfterEvents = 4;
    const { result, received } = await run(true);
    expect(result).toMatchObject({ reply: { isWhole: true }, attempts: 2 });
    expect(received).toEqual(completeStream);
    expect(replicas.runs.map((recordedRun) => recordedRun.afterEvent)).toEqual([undefined, 3]);
  });

  it('breaks off and is not repeated when the route is not resumable', async () => {
    replicas.getBehaviour('r1').breakAfterEvents = 4;
    const { result, received } = await run(false);
    expect(result).toEqual({ reply: { kind: 'streamed', isWhole: false }, attempts: 1 });
    expect(received).toEqual(completeStream.slice(0, 5));
    expect(replicas.runs).toHaveLength(1);
  });

  it('abandons an unresponsive replica only when another one can continue', async () => {
    replicas.getBehaviour('r1').isSilent = true;
    expect((await run(true)).result).toMatchObject({ reply: { isWhole: true }, attempts: 2 });
    const { result } = await run(false);
    expect(result.reply).toMatchObject({
      kind: 'failure',
      failure: { code: 'deadline-exceeded', verdict: 'may-have-run' },
    });
  });

  // Guards against a status of a replica that promises "not run" for a stream that it may have run.
  describe.each([408, 421, 429, 503, 200])(
    'answered with %d by a replica that may have run it',
    (status) => {
      beforeEach(() => {
        ['r1', 'r2', 'r3'].forEach((id) => {
          replicas.getBehaviour(id).streamFailureStatus = status;
        });
        replicas.getBehaviour('r1').failedStreams = 1;
      });

      it('may have run, and is not sent again when the route is not resumable', async () => {
        const { result, received } = await run(false);
        expect(result.reply).toMatchObject({
          failure: { code: 'target-failed', verdict: 'may-have-run' },
        });
        expect(received).toEqual([]);
        expect(replicas.runs).toHaveLength(1);
      });

      it('goes on elsewhere when the route is resumable, also after its head was sent', async () => {
        expect(await run(true)).toMatchObject({ received: completeStream });
        replicas.getBehaviour('r1').breakAfterEvents = 4;
        replicas.getBehaviour('r2').failedStreams = 1;
        const { result, received } = await run(true);
        expect(result).toMatchObject({ reply: { isWhole: true }, attempts: 3 });
        expect(received).toEqual(completeStream);
      });

      it('may have run when all replicas answer so', async () => {
        replicas.getBehaviour('r2').failedStreams = 1;
        replicas.getBehaviour('r3').failedStreams = 1;
        const { result, received } = await run(true);
        expect(result.reply).toMatchObject({
          failure: { code: 'target-failed', verdict: 'may-have-run' },
        });
        expect(received).toEqual([]);
      });
    },
  );

  it('fails as not run when all replicas refused it', async () => {
    ['r1', 'r2', 'r3'].forEach((id) => {
      replicas.getBehaviour(id).refusals = 1;
    });
    const { result } = await run(true);
    expect(result.reply).toMatchObject({ failure: { code: 'no-target', verdict: 'not-run' } });
  });
});
