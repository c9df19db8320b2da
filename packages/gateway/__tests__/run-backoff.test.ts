import type * as progress from '../src/jobs/item-progress';
import * as runBackoffs from '../src/jobs/run-backoff';
import * as plainDirectories from './support/plain-directory';
import * as time from './support/virtual-time';

const WITHOUT_PROGRESS = { events: 0, isAborted: false };
const ITEM = {} as progress.ItemProgress;

describe('the backoff of an item whose runs break off', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  function create(): {
    readonly directory: ReturnType<typeof plainDirectories.createDirectory>;
    readonly backoff: runBackoffs.RunBackoff;
    readonly measure: (end: runBackoffs.EndedRun) => Promise<number>;
  } {
    const environment = time.createEnvironment('vm');
    const directory = plainDirectories.createDirectory(environment, ['a']);
    const [tracked] = directory.list(plainDirectories.SERVICE);
    let elapsedMs = Infinity;
    const backoff = runBackoffs.RunBackoff.create({
      environment,
      directory,
      onElapsed: () => {
        elapsedMs = time.nowMs();
      },
    });
    const measure = async (end: runBackoffs.EndedRun): Promise<number> => {
      const startMs = time.nowMs();
      elapsedMs = startMs;
      backoff.recordBreak(ITEM, tracked, end);
      if (!backoff.isWaiting(ITEM, startMs)) return 0;
      await time.advance(2000);
      expect(backoff.isWaiting(ITEM, elapsedMs)).toBe(false);
      return elapsedMs - startMs;
    };
    return { directory, backoff, measure };
  }

  // Without it, an item whose runs are reset at once is sent again thousands of times in a few seconds.
  it('doubles from run to run up to a second, and begins anew after progress', async () => {
    const { measure } = create();
    for (const fullMs of [100, 200, 400, 800, 1000, 1000]) {
      const backoffMs = await measure(WITHOUT_PROGRESS);
      expect(backoffMs).toBeGreaterThanOrEqual(fullMs / 2);
      expect(backoffMs).toBeLessThanOrEqual(fullMs + 1);
    }
    expect(await measure({ ...WITHOUT_PROGRESS, events: 1 })).toBe(0);
    expect(await measure(WITHOUT_PROGRESS)).toBeLessThanOrEqual(101);
  });

  it('does not apply when this gateway ended the run, or as soon as the replica has left', async () => {
    const { directory, backoff, measure } = create();
    const [tracked] = directory.list(plainDirectories.SERVICE);
    expect(await measure({ ...WITHOUT_PROGRESS, isAborted: true })).toBe(0);
    backoff.recordBreak(ITEM, tracked, WITHOUT_PROGRESS);
    expect(backoff.isWaiting(ITEM, time.nowMs())).toBe(true);
    directory.onSnapshot([]);
    expect(backoff.isWaiting(ITEM, time.nowMs())).toBe(false);
  });
});
