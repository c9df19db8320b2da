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

  // Guards against a status that promises "not run" for what may have run.
  it('is kept by the status of each failure', () => {
    Object.keys(decisions.ErrorTable).forEach((code) => {
      const failures = [undefined, MayHaveRun, Ran].map((verdict) =>
        decisions.createFailure(code as decisions.ErrorCode, verdict && { verdict }),
      );
      failures
        .filter(({ verdict }) => verdict !== NotRun)
        .forEach((failure) =>
          expect([408, 421, 429, 503]).not.toContain(decisions.getHttpStatus(failure)),
        );
    });
    expect(decisions.getHttpStatus(decisions.createFailure('no-target'))).toBe(503);
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
