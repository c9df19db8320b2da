import * as decisions from '@azureworks/decisions';
import * as fastCheck from 'fast-check';
import * as ledgers from '../src/target/ledger';

describe('ledger', () => {
  it('tells that an attempt did not run which the target refused to receive', () => {
    const ledger = ledgers.Ledger.create(decisions.ManualClock.create());
    ledger.open('a');
    ledger.dispatch('a');
    ledger.retract('a');
    expect(ledger.bar('a')).toBe(ledgers.AttemptState.Barred);
    expect(ledger.dispatch('a')).toBe(false);
  });

  it('never hands an attempt over that it said was barred, nor one twice', () => {
    const action = fastCheck.record({
      id: fastCheck.constantFrom('a', 'b', 'c'),
      what: fastCheck.constantFrom('open', 'dispatch', 'bar'),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(action), (actions) => {
        const ledger = ledgers.Ledger.create(decisions.ManualClock.create());
        const handedOver = new Set<string>();
        const barred = new Set<string>();
        actions.forEach(({ id, what }) => {
          if (what === 'open') ledger.open(id);
          if (what === 'bar' && ledger.bar(id) === ledgers.AttemptState.Barred) barred.add(id);
          if (what === 'dispatch' && ledger.dispatch(id)) {
            expect(handedOver.has(id) || barred.has(id)).toBe(false);
            handedOver.add(id);
          }
        });
        barred.forEach((id) => expect(handedOver.has(id)).toBe(false));
      }),
    );
  });
});
