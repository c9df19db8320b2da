/**
 * Requests during a planned stop that wait before they are sent: for a permit, for a free replica or
 * for a retry.
 */
import * as gateway from '@azureworks/gateway';
import * as plainCalls from '../src/requests/plain-call';
import * as plannedStops from '../src/requests/planned-stop';
import * as streamCalls from '../src/requests/stream-call';
import type * as directories from '../src/replicas/directory';
import * as fakeReplicas from './support/fake-replicas';
import * as plainDirectories from './support/plain-directory';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const GRACE_PERIOD_MS = 1000;
/** The share of the grace period in which callers are answered. */
const LAST_ANSWER_MS = 850;
const USUAL_MS = 200;
const LONG_GRACE_PERIOD_MS = 8000;
const LONG_STREAM_MS = 5000;
/** Streams that are sent later than this after the signal must not be cut. */
const EXCUSED_MS = 3000;
const DEADLINE_MS = 10_000;

interface Result {
  readonly reply: streamCalls.StreamCallResult['reply'];
  readonly tookMs: number;
}

describe('a planned stop of a gateway', () => {
  let replicas: fakeReplicas.FakeReplicas;
  let stop: plannedStops.PlannedStop;
  let directory: directories.ReplicaDirectory;
  /** How long the choice of a replica takes. */
  let choiceMs: number;

  const [, plain, stream] = systems.createConfiguration(1).routes as gateway.Route[];

  beforeEach(() => {
    jest.useFakeTimers();
    replicas = fakeReplicas.FakeReplicas.create();
    stop = plannedStops.PlannedStop.create(time.nowMs);
    directory = plainDirectories.createDirectory(time.createEnvironment('vm'), ['r1', 'r2', 'r3']);
    choiceMs = 0;
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  function createContext(route: gateway.Route): Parameters<typeof plainCalls.PlainCall.create>[0] {
    const requestStop = stop.createRequestStop(route, time.nowMs() + route.timeoutMs);
    return {
      replicaClient: replicas,
      nowMs: time.nowMs,
      stop: requestStop,
      createRefusal: () => plannedStops.createStopRefusal(),
      chooseReplica: async (tried) => {
        if (choiceMs > 0) await time.pause(choiceMs);
        return directory
          .list(plainDirectories.SERVICE)
          .find((tracked) => !tried.has(tracked.replica.id));
      },
      recordOutcome: () => {},
    };
  }

  function createOptions(route: gateway.Route): Parameters<typeof plainCalls.PlainCall.create>[1] {
    const deadlineAtMs = time.nowMs() + route.timeoutMs;
    return {
      request: {
        id: 'request',
        method: 'POST',
        target: '/',
        host: 'h',
        headers: [],
        body: Buffer.alloc(0),
      },
      isIdempotent: true,
      maximumAttempts: 3,
      callerDeadlineAtMs: deadlineAtMs,
      deadlineAtMs,
      hedgeDelayMs: 10_000,
      signal: new AbortController().signal,
    };
  }

  /** Runs a call that begins some time after the stop began. */
  async function runAfter(
    startMs: number,
    run: () => Promise<{ readonly reply: Result['reply'] }>,
  ): Promise<Result> {
    const stopMs = time.nowMs();
    stop.begin(GRACE_PERIOD_MS);
    await time.advance(startMs);
    const pending = run().then(({ reply }) => ({ reply, tookMs: time.nowMs() - stopMs }));
    await time.advance(GRACE_PERIOD_MS);
    return pending;
  }

  const runPlain = (startMs: number): Promise<Result> =>
    runAfter(startMs, () =>
      plainCalls.PlainCall.create(createContext(plain), createOptions(plain)).run(),
    );

  const runStream = (startMs: number, isResumable = true): Promise<Result> =>
    runAfter(startMs, () =>
      streamCalls.StreamCall.create(
        createContext(stream),
        {
          ...createOptions(stream),
          isResumable,
          afterEvent: undefined,
          software: undefined,
          onBegun: () => {},
          idleTimeoutMs: 10_000,
        },
        { begin: () => {}, receive: () => {} },
      ).run(),
    );

  function getFailure({ reply }: Result): { readonly code: string; readonly verdict: string } {
    if (reply.kind !== 'failure') throw new Error(`expected a failure, got ${reply.kind}`);
    return reply.failure;
  }

  /** Has the stop begin some time ago, with a long grace period. */
  async function beginLongStop(agoMs: number): Promise<void> {
    stop.begin(LONG_GRACE_PERIOD_MS);
    await time.advance(agoMs);
  }

  function mayPassOn(route: gateway.Route, deadlineMs: number): boolean {
    return stop.createRequestStop(route, time.nowMs() + deadlineMs).mayPassOn();
  }

  const REFUSAL = { code: 'draining', verdict: 'not-run', retryAfterMs: 0 };

  it('refuses a request of unknown duration whose deadline is after the last answers', async () => {
    expect(getFailure(await runPlain(10))).toMatchObject(REFUSAL);
    expect(replicas.calls).toEqual([]);
  });

  it('passes a request on while the usual duration is left', async () => {
    stop.recordDuration(plain, USUAL_MS);
    expect((await runPlain(LAST_ANSWER_MS - USUAL_MS - 10)).reply.kind).toBe('answer');
  });

  it('refuses a request once less than the usual duration is left', async () => {
    stop.recordDuration(plain, USUAL_MS);
    expect(getFailure(await runPlain(LAST_ANSWER_MS - USUAL_MS + 10))).toMatchObject(REFUSAL);
    expect(replicas.calls).toEqual([]);
  });

  it('refuses a request that waited for a permit for too long', async () => {
    stop.recordDuration(plain, USUAL_MS);
    choiceMs = 500;
    expect(getFailure(await runPlain(300))).toMatchObject(REFUSAL);
    expect(replicas.calls).toEqual([]);
  });

  it('refuses a request that still waits for a permit at the last moment', async () => {
    stop.recordDuration(plain, USUAL_MS);
    choiceMs = 5000;
    const result = await runPlain(300);
    expect(getFailure(result)).toMatchObject(REFUSAL);
    expect(result.tookMs).toBe(LAST_ANSWER_MS);
  });

  it('tells that a request may have run that a replica works on at the last moment', async () => {
    stop.recordDuration(plain, USUAL_MS);
    replicas.getBehaviour('r1').isSilent = true;
    const result = await runPlain(100);
    expect(getFailure(result)).toMatchObject({ verdict: 'may-have-run' });
    expect(getFailure(result).code).not.toBe('draining');
    expect(result.tookMs).toBe(LAST_ANSWER_MS);
  });

  it('starts no retry that cannot end in time', async () => {
    stop.recordDuration(plain, USUAL_MS);
    replicas.getBehaviour('r1').status = 500;
    replicas.getBehaviour('r1').answerMs = 400;
    const result = await runPlain(300);
    expect(replicas.calls).toHaveLength(1);
    expect(result.reply).toMatchObject({ kind: 'answer', answer: { status: 500 } });
  });

  it('refuses a stream that most likely would be cut', async () => {
    stop.recordDuration(stream, USUAL_MS);
    expect(getFailure(await runStream(LAST_ANSWER_MS - USUAL_MS - 20))).toMatchObject(REFUSAL);
    expect(replicas.runs).toEqual([]);
  });

  it.each([true, false])(
    'tells that a stream without an answer at the last moment may have run (resumable: %s)',
    async (isResumable) => {
      stop.recordDuration(stream, USUAL_MS);
      replicas.getBehaviour('r1').isSilent = true;
      const result = await runStream(100, isResumable);
      expect(getFailure(result)).toMatchObject({ verdict: 'may-have-run' });
      expect(result.tookMs).toBe(LAST_ANSWER_MS);
      expect(replicas.runs).toHaveLength(1);
    },
  );

  it('resumes a stream that breaks while the rest of it fits', async () => {
    stop.recordDuration(stream, USUAL_MS);
    replicas.getBehaviour('r1').breakAfterEvents = 5;
    const result = await runStream(450);
    expect(result.reply).toEqual({ kind: 'streamed', isWhole: true });
    expect(replicas.runs).toHaveLength(2);
  });

  // A stream of the long tail was passed on late in a stop, as the latest ones were short, and cut.
  it('passes no stream on late that it might have to cut', async () => {
    stop.recordDuration(stream, USUAL_MS);
    await beginLongStop(EXCUSED_MS + 100);
    expect(mayPassOn(stream, DEADLINE_MS)).toBe(false);
    expect(mayPassOn(stream, 1000)).toBe(true);
  });

  it('passes no request on late that must not be repeated and might not be answered', async () => {
    const once = { ...plain, kind: gateway.RouteKind.NonIdempotent };
    stop.recordDuration(once, USUAL_MS);
    stop.recordDuration(plain, USUAL_MS);
    await beginLongStop(EXCUSED_MS + 100);
    expect(mayPassOn(once, DEADLINE_MS)).toBe(false);
    expect(mayPassOn(plain, DEADLINE_MS)).toBe(true);
  });

  it('judges early streams by the longest of many, not of the latest only', async () => {
    stop.recordDuration(stream, LONG_STREAM_MS);
    Array.from({ length: 100 }).forEach(() => stop.recordDuration(stream, USUAL_MS));
    await beginLongStop(1000);
    expect(mayPassOn(stream, DEADLINE_MS)).toBe(true);
    await time.advance(1500);
    expect(mayPassOn(stream, DEADLINE_MS)).toBe(false);
  });

  it('resumes a stream late that has begun here', async () => {
    stop.recordDuration(stream, USUAL_MS);
    await beginLongStop(EXCUSED_MS + 100);
    const requestStop = stop.createRequestStop(stream, time.nowMs() + DEADLINE_MS);
    expect(requestStop.mayPassOn(USUAL_MS / 2)).toBe(true);
  });
});
