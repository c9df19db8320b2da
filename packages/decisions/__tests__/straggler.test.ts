import * as decisions from '@azureworks/decisions';

describe('stragglers', () => {
  const slow = { id: 'slow', runningMs: 1000, produced: 100 };
  const slower = { id: 'slower', runningMs: 1000, produced: 50 };
  const usual = { id: 'usual', runningMs: 1000, produced: 900 };
  const young = { id: 'young', runningMs: 100, produced: 0 };

  it('are samples on targets far slower than usual, slowest first', () => {
    const chosen = decisions.chooseStragglers([usual, slow, slower, young], 1, 10);
    expect(chosen).toEqual(['slower', 'slow']);
  });

  it('are moved within the budget only', () => {
    expect(decisions.chooseStragglers([slow, slower], 1, 1.9)).toEqual(['slower']);
    expect(decisions.chooseStragglers([slow, slower], 1, 0)).toEqual([]);
  });

  it('are unknown before any speed is known', () => {
    expect(decisions.chooseStragglers([slow], 0, 10)).toEqual([]);
  });
});
