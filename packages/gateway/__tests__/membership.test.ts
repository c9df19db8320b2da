import * as membership from '../src/membership/membership';

const INTERVAL_MS = 500;

function createRecord(
  vm: string,
  revision: number,
  incarnation = 'first',
): membership.MemberRecord {
  return {
    vm,
    incarnation,
    address: `${vm}:1`,
    failureDomain: 'a',
    capacity: 1,
    isStopping: false,
    issuesPermits: true,
    revision,
  };
}

/** Updates the view every 500 ms; only the members in `renewed` renew their rows. */
function updatePeriodically(
  view: membership.Membership,
  fromMs: number,
  toMs: number,
  renewed: readonly string[],
): void {
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += INTERVAL_MS) {
    view.update(
      ['a', 'b'].map((vm) => createRecord(vm, renewed.includes(vm) ? nowMs + 1 : 1)),
      nowMs,
    );
  }
}

describe('membership', () => {
  it('considers a member gone that did not renew its row for three intervals', () => {
    const view = membership.Membership.create();
    updatePeriodically(view, 0, 1500, ['a']);
    expect(view.isGone('b', 'first')).toBe(false);
    updatePeriodically(view, 2000, 2500, ['a']);
    expect(view.isGone('b', 'first')).toBe(true);
    expect(view.listLive().map((member) => member.vm)).toEqual(['a']);
  });

  it('does not count time in which the store could not be read towards expiry', () => {
    const view = membership.Membership.create();
    updatePeriodically(view, 0, 1000, ['a', 'b']);
    updatePeriodically(view, 20_000, 21_000, ['a']);
    expect(view.isGone('b', 'first')).toBe(false);
    updatePeriodically(view, 21_500, 22_500, ['a']);
    expect(view.isGone('b', 'first')).toBe(true);
  });

  it('considers no member gone that may have renewed its row while the rows were read', () => {
    const view = membership.Membership.create();
    updatePeriodically(view, 0, 500, ['a', 'b']);
    const unchanged = ['a', 'b'].map((vm) => createRecord(vm, 501));
    view.update(unchanged, 1100);
    // Sent before the row of b was due, answered after it would have expired.
    view.update(unchanged, 2200, 1600);
    expect(view.isGone('b', 'first')).toBe(false);
    view.update(unchanged, 2900, 2800);
    expect(view.isGone('b', 'first')).toBe(true);
  });

  it('considers a restarted or stopped process gone at once', () => {
    const view = membership.Membership.create();
    view.update([createRecord('a', 1), createRecord('b', 1)], 0);
    view.update([createRecord('a', 2, 'second')], 500);
    expect(view.isGone('a', 'first')).toBe(true);
    expect(view.isGone('a', 'second')).toBe(false);
    expect(view.isGone('b', 'first')).toBe(true);
  });

  it('considers no process gone before the first read', () => {
    expect(membership.Membership.create().isGone('a', 'first')).toBe(false);
  });

  it('relies on its own renewal for less time than the others wait', () => {
    const view = membership.Membership.create();
    updatePeriodically(view, 0, 2000, ['a', 'b']);
    expect(view.validityMs).toBeLessThan(3 * view.intervalMs);
  });

  describe('while the store is slow but answers every call', () => {
    const SLOW_PERIOD_MS = 1450;

    function updateSlowly(
      view: membership.Membership,
      reads: number,
      revisionOf: (vm: string, read: number) => number,
      onRead: () => void = () => {},
    ): void {
      for (let read = 0; read < reads; read += 1) {
        onRead();
        view.update(
          ['a', 'b'].map((vm) => createRecord(vm, revisionOf(vm, read))),
          read * SLOW_PERIOD_MS,
        );
      }
    }

    it('considers a member gone that does not renew its row, and keeps to that', () => {
      const view = membership.Membership.create();
      updateSlowly(view, 4, (vm, read) => (vm === 'a' ? read + 1 : 1));
      expect(view.isGone('b', 'first')).toBe(true);
      view.update([createRecord('a', 9), createRecord('b', 1)], 4 * SLOW_PERIOD_MS);
      expect(view.listLive().map((member) => member.vm)).toEqual(['a']);
    });

    it('considers no member gone whose renewal is seen at every second read', () => {
      const view = membership.Membership.create();
      updateSlowly(view, 12, (vm, read) => (vm === 'a' ? read + 1 : Math.floor(read / 2) + 1));
      expect(view.isGone('b', 'first')).toBe(false);
    });

    it('considers no member gone when calls of this process failed between the reads', () => {
      const view = membership.Membership.create();
      updateSlowly(
        view,
        6,
        () => 1,
        () => view.recordFailedCall(),
      );
      expect(view.listLive()).toHaveLength(2);
    });
  });
});
