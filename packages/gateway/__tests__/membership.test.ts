import * as membership from '../src/membership/membership';

const INTERVAL_MS = 500;

function record(vm: string, revision: number, incarnation = 'first'): membership.MemberRecord {
  return {
    vm,
    incarnation,
    address: `${vm}:1`,
    failureDomain: 'a',
    capacity: 1,
    isStopping: false,
    revision,
  };
}

/** Reads every half second; `renewed` says which members renew. */
function observe(
  view: membership.Membership,
  fromMs: number,
  toMs: number,
  renewed: readonly string[],
): void {
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += INTERVAL_MS) {
    view.update(
      ['a', 'b'].map((vm) => record(vm, renewed.includes(vm) ? nowMs + 1 : 1)),
      nowMs,
    );
  }
}

describe('membership', () => {
  it('takes a member for gone that did not renew its row for three intervals', () => {
    const view = membership.Membership.create();
    observe(view, 0, 1500, ['a']);
    expect(view.isGone('b', 'first')).toBe(false);
    observe(view, 2000, 2500, ['a']);
    expect(view.isGone('b', 'first')).toBe(true);
    expect(view.listLive().map((member) => member.vm)).toEqual(['a']);
  });

  it('removes nobody for the time in which the store could not be read', () => {
    const view = membership.Membership.create();
    observe(view, 0, 1000, ['a', 'b']);
    observe(view, 20_000, 21_000, ['a']);
    expect(view.isGone('b', 'first')).toBe(false);
    observe(view, 21_500, 22_500, ['a']);
    expect(view.isGone('b', 'first')).toBe(true);
  });

  it('knows at once that a restarted or a stopped process is gone', () => {
    const view = membership.Membership.create();
    view.update([record('a', 1), record('b', 1)], 0);
    view.update([record('a', 2, 'second')], 500);
    expect(view.isGone('a', 'first')).toBe(true);
    expect(view.isGone('a', 'second')).toBe(false);
    expect(view.isGone('b', 'first')).toBe(true);
  });

  it('says of nobody that it is gone before the first read', () => {
    expect(membership.Membership.create().isGone('a', 'first')).toBe(false);
  });

  it('trusts its own renewals for less long than the others wait', () => {
    const view = membership.Membership.create();
    observe(view, 0, 2000, ['a', 'b']);
    expect(view.trustedMs).toBeLessThan(3 * view.intervalMs);
  });
});
