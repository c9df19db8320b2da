import * as decisions from '@azureworks/decisions';

const SECONDS = 60;
const SENDERS = 490;

describe('the permits for a target with a rate limit', () => {
  let clock: decisions.ManualClock;
  let budget: decisions.PermitBudget;

  beforeEach(() => {
    clock = decisions.ManualClock.create(1000);
    budget = decisions.PermitBudget.create(clock, decisions.SeededRandom.create(5));
  });

  function request(
    sender: string,
    options: { readonly priority?: number; readonly count?: number; readonly rate?: number } = {},
  ): { readonly granted: number; readonly retryAfterMs: number } {
    const { priority = 0, count = 1, rate = 1 } = options;
    return budget.request({ sender, priority, count }, rate);
  }

  it('start without any, as a restarted issuer does not know what was issued before', () => {
    expect(request('a', { count: 5 }).granted).toBe(0);
  });

  it('are not saved up while nobody asks', () => {
    clock.advance(60_000);
    expect(request('a', { count: 50, rate: 10 }).granted).toBeLessThanOrEqual(2);
  });

  it('are issued at the rate of the limit to any number of senders that ask all the time', () => {
    let granted = 0;
    for (let step = 0; step < SECONDS * 100; step += 1) {
      granted += request(`sender ${step % 7}`, { rate: 2.5 }).granted;
      clock.advance(10);
    }
    expect(granted).toBeGreaterThan(SECONDS * 2.5 * 0.95);
    expect(granted).toBeLessThanOrEqual(SECONDS * 2.5 + 2);
  });

  it('let hundreds of senders return seldom, and still use the whole rate', () => {
    const returnsMs = new Map(
      Array.from({ length: SENDERS }, (_unused, index) => [`sender ${index}`, clock.nowMs()]),
    );
    const endMs = clock.nowMs() + SECONDS * 1000;
    let granted = 0;
    let requests = 0;
    while (clock.nowMs() < endMs) {
      const nowMs = clock.nowMs();
      const returning = [...returnsMs].filter(([, atMs]) => atMs <= nowMs);
      for (const [sender] of returning) {
        const decision = request(sender);
        requests += 1;
        granted += decision.granted;
        returnsMs.set(sender, nowMs + Math.max(10, decision.retryAfterMs));
      }
      clock.advance(10);
    }
    expect(granted).toBeGreaterThan(SECONDS * 0.95);
    expect(granted).toBeLessThanOrEqual(SECONDS + 2);
    // Each sender returns every few seconds, however small its chance is.
    expect(requests).toBeLessThan(SENDERS * (SECONDS / 2));
  });

  it('go to the more urgent sender that returns, not to the less urgent one that asks meanwhile', () => {
    const { retryAfterMs } = request('urgent', { priority: 0 });
    clock.advance(retryAfterMs - 10);
    expect(request('other', { priority: 1 }).granted).toBe(0);
    clock.advance(10);
    expect(request('urgent', { priority: 0 }).granted).toBe(1);
    clock.advance(2000);
    expect(request('other', { priority: 1 }).granted).toBe(1);
  });

  it('are not kept for a more urgent sender that did not return', () => {
    request('urgent', { priority: 0 });
    clock.advance(5000);
    expect(request('other', { priority: 1 }).granted).toBe(1);
  });

  it('are issued now and then for a target that takes nothing, to learn when that has ended', () => {
    clock.advance(4000);
    expect(request('a', { rate: 0 }).granted).toBe(1);
    expect(request('a', { rate: 0 }).granted).toBe(0);
  });
});
