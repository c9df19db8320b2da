import * as fastCheck from 'fast-check';
import * as decisions from '@azureworks/decisions';

const {
  QUARANTINE_EVIDENCE_LIFETIME_MS: LIFETIME_MS,
  QuarantineState,
  TRIAL_INTERVAL_MS,
} = decisions;
const MAXIMUM_FINGERPRINTS = 4096;

interface Report {
  readonly fingerprint: string;
  readonly replica: string;
  readonly ageMs: number;
  readonly attempt?: string;
  readonly failureDomain?: string;
  readonly runMs?: number;
  readonly isOnTrial?: boolean;
}

function report(fingerprint: string, replica: string, options: Partial<Report> = {}): Report {
  return { fingerprint, replica, ageMs: 0, ...options };
}

const reportArbitrary = fastCheck.record({
  fingerprint: fastCheck.constantFrom('a', 'b', 'c', 'd'),
  replica: fastCheck.constantFrom('r1', 'r2', 'r3', 'r4', 'r5'),
  ageMs: fastCheck.integer({ min: 0, max: LIFETIME_MS + 1000 }),
});

const attemptReportArbitrary = fastCheck.record({
  fingerprint: fastCheck.constantFrom('a', 'b', 'c', 'd'),
  replica: fastCheck.constantFrom('r1', 'r2', 'r3', 'r4', 'r5'),
  ageMs: fastCheck.integer({ min: 0, max: LIFETIME_MS + 1000 }),
  attempt: fastCheck.constantFrom('attempt 1', 'attempt 2', undefined),
  failureDomain: fastCheck.constantFrom('domain 1', 'domain 2', undefined),
  runMs: fastCheck.constantFrom(10, 500, undefined),
  isOnTrial: fastCheck.boolean(),
});

describe('the quarantine of requests', () => {
  let clock: decisions.ManualClock;
  let quarantine: decisions.Quarantine;

  beforeEach(() => {
    clock = decisions.ManualClock.create();
    quarantine = decisions.Quarantine.create(clock);
  });

  function judge(fingerprint: string): decisions.QuarantineState {
    return quarantine.judge(fingerprint).state;
  }

  it('requires two replicas that ended under no other request, or three that all others share', () => {
    quarantine.record(report('sole', 'r1'));
    expect(judge('sole')).toBe(QuarantineState.Suspect);
    quarantine.record(report('sole', 'r2'));
    expect(judge('sole')).toBe(QuarantineState.Quarantined);
    const record = (replica: string): void =>
      ['one', 'other'].forEach((name) => quarantine.record(report(name, replica)));
    ['r3', 'r4'].forEach(record);
    expect(judge('one')).toBe(QuarantineState.Suspect);
    record('r5');
    expect(judge('one')).toBe(QuarantineState.Quarantined);
    expect(judge('unknown')).toBe(QuarantineState.Clear);
  });

  it('blames the request that explains most ends, and none of several that explain as many', () => {
    ['r1', 'r2'].forEach((replica) => quarantine.record(report('deadly', replica)));
    quarantine.record(report('neighbour', 'r1'));
    quarantine.record(report('other neighbour', 'r2'));
    expect(judge('deadly')).toBe(QuarantineState.Quarantined);
    expect(judge('neighbour')).toBe(QuarantineState.Suspect);
    quarantine.record(report('neighbour', 'r2'));
    expect(judge('deadly')).toBe(QuarantineState.Suspect);
    expect(judge('neighbour')).toBe(QuarantineState.Suspect);
    quarantine.record(report('deadly', 'r3'));
    expect(judge('deadly')).toBe(QuarantineState.Quarantined);
    expect(judge('neighbour')).toBe(QuarantineState.Suspect);
  });

  it('counts a replica against the other requests that ran there once one is cleared', () => {
    ['r1', 'r2'].forEach((replica) => {
      quarantine.record(report('deadly', replica));
      quarantine.record(report('neighbour', replica));
    });
    expect(judge('deadly')).toBe(QuarantineState.Suspect);
    expect(quarantine.clear('neighbour')).toEqual(['r1', 'r2']);
    expect(judge('neighbour')).toBe(QuarantineState.Clear);
    expect(judge('deadly')).toBe(QuarantineState.Quarantined);
  });

  it('tells how old the evidence is and how long it lasts, and lets it expire', () => {
    ['r1', 'r2'].forEach((replica) => quarantine.record(report('a', replica, { ageMs: 1000 })));
    clock.advance(LIFETIME_MS - 1001);
    expect(quarantine.judge('a')).toEqual({
      state: QuarantineState.Quarantined,
      endedReplicas: 2,
      ageMs: LIFETIME_MS - 1,
      remainingMs: 1,
    });
    clock.advance(1);
    expect(judge('a')).toBe(QuarantineState.Clear);
    expect(quarantine.isEmpty).toBe(true);
  });

  it.each([
    ['', reportArbitrary],
    [' and whichever attempts they name', attemptReportArbitrary],
  ])(
    'gives the same verdicts whatever the order and the number of the reports%s',
    (_name, arbitrary) => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(arbitrary, { maxLength: 30 }),
          fastCheck.array(fastCheck.nat(), { maxLength: 10 }),
          fastCheck.infiniteStream(fastCheck.nat()),
          (reports, repeated, ranks) => {
            const again = repeated.flatMap((index) => reports[index % reports.length] ?? []);
            const shuffled = [...reports, ...again]
              .map((value) => ({ value, rank: ranks.next().value as number }))
              .sort((first, second) => first.rank - second.rank)
              .map(({ value }) => value);
            const other = decisions.Quarantine.create(clock);
            const first = decisions.Quarantine.create(clock);
            reports.forEach((value) => first.record(value));
            shuffled.forEach((value) => other.record(value));
            ['a', 'b', 'c', 'd'].forEach((fingerprint) =>
              expect([other.judge(fingerprint), other.getTrialDelayMs(fingerprint, 0)]).toEqual([
                first.judge(fingerprint),
                first.getTrialDelayMs(fingerprint, 0),
              ]),
            );
          },
        ),
      );
    },
  );

  it('requires a third replica if one attempt lost two of the same failure domain', () => {
    const options = { attempt: 'attempt 1', failureDomain: 'domain 1' };
    quarantine.record(report('a', 'r1', options));
    quarantine.record(report('a', 'r2', options));
    expect(judge('a')).toBe(QuarantineState.Suspect);
    quarantine.record(report('a', 'r3', options));
    expect(judge('a')).toBe(QuarantineState.Quarantined);
  });

  it.each([
    ['another attempt', { attempt: 'attempt 2', failureDomain: 'domain 1' }],
    ['another failure domain', { attempt: 'attempt 1', failureDomain: 'domain 2' }],
    ['an attempt that is not named', { failureDomain: 'domain 1' }],
    ['a failure domain that is not named', { attempt: 'attempt 1' }],
  ])('requires no third replica if the second was lost in %s', (_name, second) => {
    quarantine.record(report('a', 'r1', { attempt: 'attempt 1', failureDomain: 'domain 1' }));
    quarantine.record(report('a', 'r2', second));
    expect(judge('a')).toBe(QuarantineState.Quarantined);
  });

  it('allows a trial an interval after the newest end, and none once a trial confirmed the quarantine', () => {
    ['r1', 'r2'].forEach((replica) => quarantine.record(report('a', replica)));
    expect(quarantine.getTrialDelayMs('a', 0)).toBe(TRIAL_INTERVAL_MS);
    expect(quarantine.getTrialDelayMs('a', 0.5)).toBe(1.5 * TRIAL_INTERVAL_MS);
    clock.advance(TRIAL_INTERVAL_MS);
    expect(quarantine.getTrialDelayMs('a', 0)).toBe(0);
    quarantine.record(report('a', 'r3'));
    expect(quarantine.getTrialDelayMs('a', 0)).toBe(TRIAL_INTERVAL_MS);
    clock.advance(TRIAL_INTERVAL_MS);
    quarantine.record(report('a', 'r4', { isOnTrial: true }));
    expect(quarantine.getTrialDelayMs('a', 0)).toBe(LIFETIME_MS);
    clock.advance(TRIAL_INTERVAL_MS);
    expect(quarantine.getTrialDelayMs('a', 0)).toBe(LIFETIME_MS - TRIAL_INTERVAL_MS);
  });

  // Guards against ends of one failure being taken for evidence of as many independent ones.
  it.each([
    ['at once if the runs overlapped', 50, 0, 0],
    ['at once if the runs overlapped and ended within a second', 950, 300, 0],
    ['later if each run began after the end before', 50, 100, TRIAL_INTERVAL_MS],
    ['later if the runs overlapped, and ended far apart', 9000, 2000, TRIAL_INTERVAL_MS],
  ])('allows a trial %s', (_name, runMs, intervalMs, delayMs) => {
    ['r1', 'r2', 'r3'].forEach((replica, index) => {
      clock.advance(intervalMs);
      const attempt = `attempt ${index}`;
      quarantine.record(report('a', replica, { attempt, failureDomain: 'domain 1', runMs }));
    });
    expect(judge('a')).toBe(QuarantineState.Quarantined);
    expect(quarantine.getTrialDelayMs('a', 0)).toBe(delayMs);
    quarantine.record(report('a', 'r4', { attempt: 'trial', runMs: 40, isOnTrial: true }));
    if (delayMs === 0) expect(quarantine.getTrialDelayMs('a', 0)).toBe(TRIAL_INTERVAL_MS);
    else expect(quarantine.getTrialDelayMs('a', 0)).toBe(LIFETIME_MS);
  });

  it('never quarantines a request under which fewer than two replicas ended', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(reportArbitrary, { maxLength: 40 }), (reports) => {
        const fresh = decisions.Quarantine.create(clock);
        reports.forEach((value) => fresh.record(value));
        ['a', 'b', 'c', 'd'].forEach((fingerprint) => {
          const replicas = new Set(
            reports
              .filter((value) => value.fingerprint === fingerprint && value.ageMs < LIFETIME_MS)
              .map((value) => value.replica),
          );
          const { state } = fresh.judge(fingerprint);
          if (replicas.size < 2) expect(state).not.toBe(QuarantineState.Quarantined);
          if (replicas.size >= 3) expect(state).toBe(QuarantineState.Quarantined);
        });
      }),
    );
  });

  it('keeps the newest evidence within a bounded memory', () => {
    for (let index = 0; index < 2 * MAXIMUM_FINGERPRINTS; index += 1) {
      quarantine.record(report(`f${index}`, `r${index}`));
      clock.advance(1);
    }
    expect(quarantine.size).toBe(MAXIMUM_FINGERPRINTS);
    expect(judge(`f${MAXIMUM_FINGERPRINTS - 1}`)).toBe(QuarantineState.Clear);
    expect(judge(`f${MAXIMUM_FINGERPRINTS}`)).toBe(QuarantineState.Suspect);
    for (let index = 0; index < 100; index += 1) quarantine.record(report('many', `m${index}`));
    expect(quarantine.judge('many').endedReplicas).toBe(16);
  });
});

describe('the quarantine of requests with much evidence', () => {
  it('keeps a quarantined request when many others become suspect', () => {
    const clock = decisions.ManualClock.create();
    const quarantine = decisions.Quarantine.create(clock);
    ['r1', 'r2'].forEach((replica) => quarantine.record(report('deadly', replica)));
    for (let index = 0; index < 2 * MAXIMUM_FINGERPRINTS; index += 1) {
      quarantine.record(report(`f${index}`, `other-${index}`));
    }
    expect(quarantine.size).toBe(MAXIMUM_FINGERPRINTS);
    expect(quarantine.judge('deadly').state).toBe(QuarantineState.Quarantined);
  });
});

describe('a replay of a request that crashes replicas', () => {
  it('quarantines it and none of the requests that ran beside it', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.integer({ min: 0, max: 4 }), { minLength: 3, maxLength: 12 }),
        (neighbourCounts) => {
          const clock = decisions.ManualClock.create();
          const quarantine = decisions.Quarantine.create(clock);
          let crashes = 0;
          neighbourCounts.forEach((neighbours, round) => {
            if (quarantine.judge('deadly').state === QuarantineState.Quarantined) return;
            crashes += 1;
            const replica = `replica-${round}`;
            quarantine.record(report('deadly', replica));
            const innocents = Array.from(
              { length: neighbours },
              (_unused, index) => `innocent-${round}-${index}`,
            );
            innocents.forEach((innocent) => quarantine.record(report(innocent, replica)));
            innocents.forEach((innocent) =>
              expect(quarantine.judge(innocent).state).toBe(QuarantineState.Suspect),
            );
            // Every second innocent is answered by another replica.
            innocents
              .filter((_name, index) => index % 2 === 0)
              .forEach((innocent) => {
                quarantine.clear(innocent);
                expect(quarantine.judge(innocent).state).toBe(QuarantineState.Clear);
              });
            clock.advance(3000);
          });
          expect(crashes).toBeLessThanOrEqual(3);
          expect(quarantine.judge('deadly').state).toBe(QuarantineState.Quarantined);
        },
      ),
    );
  });
});
