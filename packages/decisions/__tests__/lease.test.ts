import * as fastCheck from 'fast-check';
import * as decisions from '@azureworks/decisions';

const DURATION_MS = 4000;

interface StoredLease {
  row: decisions.LeaseRow | undefined;
  etag: number;
}

/** A process whose reads and writes of the row are separated by arbitrary delays. */
class Contender {
  readonly lease: decisions.Lease;

  private pendingWrite: { row: decisions.LeaseRow; etag: number; sentMs: number } | undefined;

  constructor(
    name: string,
    private readonly clock: decisions.ManualClock,
  ) {
    this.lease = decisions.Lease.create(name, DURATION_MS, clock);
  }

  read(stored: StoredLease): void {
    const step = this.lease.plan(stored.row);
    this.pendingWrite =
      step.kind === 'write'
        ? { row: step.row, etag: stored.etag, sentMs: this.clock.nowMs() }
        : undefined;
  }

  write(stored: StoredLease): void {
    if (!this.pendingWrite || this.pendingWrite.etag !== stored.etag) return;
    stored.row = this.pendingWrite.row;
    stored.etag += 1;
    this.lease.recordWrite(this.pendingWrite.row, this.pendingWrite.sentMs);
    this.pendingWrite = undefined;
  }
}

describe('lease', () => {
  it('is held by at most one process at a time for any order of reads and writes', () => {
    const action = fastCheck.record({
      contender: fastCheck.integer({ min: 0, max: 2 }),
      operation: fastCheck.constantFrom('read', 'write'),
      delayMs: fastCheck.integer({ min: 0, max: 2500 }),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(action, { maxLength: 60 }), (actions) => {
        const clock = decisions.ManualClock.create();
        const stored: StoredLease = { row: undefined, etag: 0 };
        const contenders = ['a', 'b', 'c'].map((name) => new Contender(name, clock));
        let highestFence = 0;
        actions.forEach(({ contender, operation, delayMs }) => {
          clock.advance(delayMs);
          contenders[contender][operation](stored);
          const fences = contenders.flatMap(({ lease }) => lease.fence ?? []);
          expect(fences.length).toBeLessThanOrEqual(1);
          expect(stored.row?.fence ?? 0).toBeGreaterThanOrEqual(highestFence);
          highestFence = stored.row?.fence ?? 0;
        });
      }),
      { numRuns: 500 },
    );
  });

  it('is no longer valid for a holder that was suspended for longer than its duration', () => {
    const clock = decisions.ManualClock.create();
    const lease = decisions.Lease.create('a', DURATION_MS, clock);
    const step = lease.plan(undefined);
    if (step.kind === 'write') lease.recordWrite(step.row, clock.nowMs());
    expect(lease.fence).toBe(1);
    clock.advance(DURATION_MS);
    expect(lease.fence).toBeUndefined();
  });
});
