import * as fastCheck from 'fast-check';
import * as decisions from '@azureworks/decisions';

const { NotRun, Ran, MayHaveRun } = decisions.VerdictKind;

describe('verdict', () => {
  it('allows a non-idempotent request to be retried only when it did not run', () => {
    expect(decisions.isRetryable(NotRun, false)).toBe(true);
    expect(decisions.isRetryable(MayHaveRun, false)).toBe(false);
    expect(decisions.isRetryable(Ran, false)).toBe(false);
    expect(decisions.isRetryable(MayHaveRun, true)).toBe(true);
  });

  it('never reports "not run" when any attempt may have run', () => {
    const kinds = fastCheck.constantFrom(NotRun, Ran, MayHaveRun);
    fastCheck.assert(
      fastCheck.property(fastCheck.array(kinds), (verdicts) => {
        const combined = decisions.combineVerdicts(verdicts);
        expect(combined === NotRun).toBe(verdicts.every((verdict) => verdict === NotRun));
      }),
    );
  });
});
