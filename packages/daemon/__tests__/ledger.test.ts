import * as decisions from '@azureworks/decisions';
import * as fastCheck from 'fast-check';
import * as ledgers from '../src/target/ledger';

describe('Ledger', () => {
  it('bars an attempt that the target refused to receive', () => {
    const ledger = ledgers.Ledger.create(decisions.ManualClock.create());
    ledger.open('a');
    ledger.dispatch('a');
    ledger.recordRefused('a');
    expect(ledger.bar('a')).toBe(ledgers.AttemptState.Barred);
    expect(ledger.dispatch('a')).toBe(false);
  });

  it('never dispatches an attempt twice, nor one that it reported as barred', () => {
    const step = fastCheck.record({
      id: fastCheck.constantFrom('a', 'b', 'c'),
      operation: fastCheck.constantFrom('open', 'dispatch', 'bar'),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step), (steps) => {
        const ledger = ledgers.Ledger.create(decisions.ManualClock.create());
        const dispatched = new Set<string>();
        const barred = new Set<string>();
        steps.forEach(({ id, operation }) => {
          if (operation === 'open') ledger.open(id);
          if (operation === 'bar' && ledger.bar(id) === ledgers.AttemptState.Barred) barred.add(id);
          if (operation === 'dispatch' && ledger.dispatch(id)) {
            expect(dispatched.has(id) || barred.has(id)).toBe(false);
            dispatched.add(id);
          }
        });
        barred.forEach((id) => expect(dispatched.has(id)).toBe(false));
      }),
    );
  });
});
