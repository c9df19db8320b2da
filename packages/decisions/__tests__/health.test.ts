import * as decisions from '@azureworks/decisions';

const { Healthy, Ejected, Probing } = decisions.Health;

function eject(tracker: decisions.HealthTracker, nowMs: number): void {
  for (let failure = 0; failure < 3; failure += 1) tracker.recordFailure(nowMs);
}

describe('health tracker', () => {
  it('ejects after three consecutive failures, then allows one probe request', () => {
    const tracker = decisions.HealthTracker.create();
    tracker.recordFailure(0);
    tracker.recordFailure(0);
    expect(tracker.getHealth(0)).toBe(Healthy);
    tracker.recordFailure(0);
    expect(tracker.getHealth(999)).toBe(Ejected);
    expect(tracker.getHealth(1000)).toBe(Probing);
    tracker.recordStart();
    expect(tracker.getHealth(1000)).toBe(Ejected);
    tracker.recordSuccess();
    expect(tracker.getHealth(1000)).toBe(Healthy);
  });

  it('allows another probe after an inconclusive one', () => {
    const tracker = decisions.HealthTracker.create();
    eject(tracker, 0);
    tracker.recordStart();
    tracker.recordInconclusive();
    expect(tracker.getHealth(1000)).toBe(Probing);
  });

  it('ejects for longer after a failed probe', () => {
    const tracker = decisions.HealthTracker.create();
    eject(tracker, 0);
    tracker.recordStart();
    tracker.recordFailure(1000);
    expect(tracker.getHealth(2999)).toBe(Ejected);
    expect(tracker.getHealth(3000)).toBe(Probing);
  });
});
