/**
 * Requests at an entry that wait while it stops: for a target, for their admission or for a retry.
 */
import * as decisions from '@azureworks/decisions';
import * as runtime from '@azureworks/runtime';
import * as admissions from '../src/entry/admission';
import * as calls from '../src/entry/call';
import * as plannedStops from '../src/entry/planned-stop';
import type * as directories from '../src/entry/target-directory';
import type * as requests from '../src/entry/request';

const GRACE_PERIOD_MS = 400;
const LAST_ANSWER_MS = GRACE_PERIOD_MS * 0.85;
const DEADLINE_MS = 2500;
const TOLERANCE_MS = 150;
const SERVICE = 'app';
const REFUSAL = { code: 'draining', verdict: 'not-run', retryAfterMs: 0 };

describe('a request that waits while its entry stops', () => {
  const clock = decisions.MonotonicClock.create();
  let stop: plannedStops.PlannedStop;
  let choices: number;
  let directory: directories.TargetDirectory;

  beforeEach(() => {
    choices = 0;
    stop = plannedStops.PlannedStop.create(clock);
    directory = {
      choose: () => {
        choices += 1;
      },
      listAvailable: () => ['target'],
      getFreeCapacity: () => 0,
    } as unknown as directories.TargetDirectory;
  });

  function createRequest(): requests.Request {
    return {
      service: SERVICE,
      isIdempotent: true,
      isStreamed: false,
      priority: 1,
      organisation: 'open',
      organisationShare: 1,
      deadlineMs: clock.nowMs() + DEADLINE_MS,
    } as unknown as requests.Request;
  }

  async function runCall(): Promise<{
    readonly result: calls.CallResult;
    readonly tookMs: number;
  }> {
    const startMs = clock.nowMs();
    const call = calls.Call.create(
      {
        directory,
        metrics: runtime.Metrics.create(),
        clock,
        retryBudget: decisions.RetryBudget.create(1, 10),
        settler: { settle: () => Promise.resolve({ kind: 'unknown' }) } as never,
        entryId: 'entry',
        stop,
      },
      createRequest(),
    );
    const result = await call.run();
    return { result, tookMs: clock.nowMs() - startMs };
  }

  it('is refused at the last moment while there is no target', async () => {
    stop.recordDuration(SERVICE, 1);
    stop.begin(GRACE_PERIOD_MS);
    const { result, tookMs } = await runCall();
    expect(result._unsafeUnwrapErr()).toMatchObject(REFUSAL);
    expect(choices).toBeGreaterThan(0);
    expect(tookMs).toBeLessThan(LAST_ANSWER_MS + TOLERANCE_MS);
  });

  it('is refused at once when less than the usual duration is left', async () => {
    stop.recordDuration(SERVICE, LAST_ANSWER_MS + 1);
    stop.begin(GRACE_PERIOD_MS);
    const { result, tookMs } = await runCall();
    expect(result._unsafeUnwrapErr()).toMatchObject(REFUSAL);
    expect(choices).toBe(0);
    expect(tookMs).toBeLessThan(TOLERANCE_MS);
  });

  it('is refused at the last moment while it waits for its admission', async () => {
    const metrics = runtime.Metrics.create();
    const admission = admissions.Admission.create(directory, clock, metrics, stop);
    const startMs = clock.nowMs();
    const admitted = admission.admit(createRequest());
    stop.begin(GRACE_PERIOD_MS);
    expect((await admitted)._unsafeUnwrapErr()).toMatchObject(REFUSAL);
    expect(clock.nowMs() - startMs).toBeLessThan(LAST_ANSWER_MS + TOLERANCE_MS);
    admission.stop();
  });
});
