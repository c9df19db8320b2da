import * as decisions from '../src';

const GRACE_PERIOD_MS = 8000;

describe('the deadline of a planned stop', () => {
  const deadline = decisions.StopDeadline.create(1000, GRACE_PERIOD_MS);

  it('gives final answers in the last sixth of the grace period, well before its end', () => {
    const sinceStartMs = deadline.lastAnswerAtMs - 1000;
    expect(sinceStartMs).toBeGreaterThan((GRACE_PERIOD_MS * 5) / 6);
    expect(sinceStartMs).toBeLessThan((GRACE_PERIOD_MS * 9) / 10);
  });

  it('allows what ends before the final answers', () => {
    const leftMs = deadline.lastAnswerAtMs - 2000;
    expect(deadline.allows(2000, leftMs - 1)).toBe(true);
    expect(deadline.allows(2000, leftMs)).toBe(false);
  });

  it('allows everything while there is no stop', () => {
    expect(decisions.StopDeadline.None.allows(1e12, 1e9)).toBe(true);
  });
});

describe('recent durations', () => {
  it('tell the longest, and forget it after others have come', () => {
    const durations = decisions.RecentDurations.create();
    expect(durations.getLongestMs('a')).toBeUndefined();
    [300, 100, 200].forEach((durationMs) => durations.record('a', durationMs));
    durations.record('b', 400);
    expect(durations.getLongestMs('a')).toBe(300);
    Array.from({ length: 32 }).forEach(() => durations.record('a', 50));
    expect(durations.getLongestMs('a')).toBe(50);
    expect(durations.getLongestMs('b')).toBe(400);
  });

  it('are kept for a bounded number of kinds, those of the latest requests', () => {
    const durations = decisions.RecentDurations.create();
    for (let kind = 0; kind < 5000; kind += 1) {
      durations.record('used', 10);
      durations.record(`route ${kind}`, 20);
    }
    expect(durations.getLongestMs('used')).toBe(10);
    expect(durations.getLongestMs('route 0')).toBeUndefined();
    expect(durations.getLongestMs('route 4999')).toBe(20);
  });
});
