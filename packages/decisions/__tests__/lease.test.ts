import * as fastCheck from 'fast-check';
import * as decisions from '@azureworks/decisions';

const DURATION_MS = 4000;

interface StoredLease {
  row: decisions.LeaseRow | undefined;
  etag: number;
}

/** One process that reads, freezes and writes at the worst moments. */
class Contender {
  readonly lease: decisions.Lease;

  private planned: { row: decisions.LeaseRow; etag: number; sentMs: number } | undefined;

  constructor(
    name: string,
    private readonly clock: decisions.ManualClock,
  ) {
    this.lease = decisions.Lease.create(name, DURATION_MS, clock);
  }

  read(stored: StoredLease): void {
    const step = this.lease.plan(stored.row);
    this.planned =
      step.kind === 'write'
        ? { row: step.row, etag: stored.etag, sentMs: this.clock.nowMs() }
        : undefined;
  }

  write(stored: StoredLease): void {
    if (!this.planned || this.planned.etag !== stored.etag) return;
    stored.row = this.planned.row;
    stored.etag += 1;
    this.lease.noteWritten(this.planned.row, this.planned.sentMs);
    this.planned = undefined;
  }
}

describe('lease', () => {
  it('is held by at most one process at a time, whatever the order of reads and writes', () => {
    const action = fastCheck.record({
      who: fastCheck.integer({ min: 0, max: 2 }),
      what: fastCheck.constantFrom('read', 'write'),
      pauseMs: fastCheck.integer({ min: 0, max: 2500 }),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(action, { maxLength: 60 }), (actions) => {
        const clock = decisions.ManualClock.create();
        const stored: StoredLease = { row: undefined, etag: 0 };
        const contenders = ['a', 'b', 'c'].map((name) => new Contender(name, clock));
        let highestFence = 0;
        actions.forEach(({ who, what, pauseMs }) => {
          clock.advance(pauseMs);
          contenders[who][what](stored);
          const fences = contenders.flatMap(({ lease }) => lease.fence ?? []);
          expect(fences.length).toBeLessThanOrEqual(1);
          expect(stored.row?.fence ?? 0).toBeGreaterThanOrEqual(highestFence);
          highestFence = stored.row?.fence ?? 0;
        });
      }),
      { numRuns: 500 },
    );
  });

  it('is not trusted by a holder that was frozen past its duration', () => {
    const clock = decisions.ManualClock.create();
    const lease = decisions.Lease.create('a', DURATION_MS, clock);
    const step = lease.plan(undefined);
    if (step.kind === 'write') lease.noteWritten(step.row, clock.nowMs());
    expect(lease.fence).toBe(1);
    clock.advance(DURATION_MS);
    expect(lease.fence).toBeUndefined();
  });
});
