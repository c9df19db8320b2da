import * as decisions from '@azureworks/decisions';

describe('stragglers', () => {
  const slow = { id: 'slow', runningMs: 1000, produced: 100 };
  const slower = { id: 'slower', runningMs: 1000, produced: 50 };
  const usual = { id: 'usual', runningMs: 1000, produced: 900 };
  const justStarted = { id: 'justStarted', runningMs: 100, produced: 0 };

  it('are samples produced far slower than typical, slowest first', () => {
    const chosen = decisions.chooseStragglers([usual, slow, slower, justStarted], 1, 10);
    expect(chosen).toEqual(['slower', 'slow']);
  });

  it('are limited to the number of samples that may be moved', () => {
    expect(decisions.chooseStragglers([slow, slower], 1, 1.9)).toEqual(['slower']);
    expect(decisions.chooseStragglers([slow, slower], 1, 0)).toEqual([]);
  });

  it('are not reported before the typical rate is known', () => {
    expect(decisions.chooseStragglers([slow], 0, 10)).toEqual([]);
  });
});
