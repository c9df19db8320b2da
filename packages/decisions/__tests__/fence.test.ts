import * as decisions from '@azureworks/decisions';

describe('fence', () => {
  it('accepts no order before the current token is known', () => {
    const fence = decisions.Fence.create();
    expect(fence.check('engine', 7)).toBe(decisions.FenceDecision.Unready);
  });

  it('rejects a token lower than the lease token or than one seen before', () => {
    const fence = decisions.Fence.create();
    fence.recordToken('engine', 5);
    expect(fence.check('engine', 4)).toBe(decisions.FenceDecision.Stale);
    expect(fence.check('engine', 6)).toBe(decisions.FenceDecision.Accept);
    expect(fence.check('engine', 5)).toBe(decisions.FenceDecision.Stale);
    fence.recordToken('engine', 1);
    expect(fence.check('engine', 5)).toBe(decisions.FenceDecision.Stale);
  });
});
