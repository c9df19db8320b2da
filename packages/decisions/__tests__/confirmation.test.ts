import * as decisions from '@azureworks/decisions';

const ENTRIES = ['a', 'b', 'c'];

describe('confirmation', () => {
  it('ends when neither the store nor peers confirm the revision', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.Confirmation.create(clock, 4000);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
    confirmation.confirm(0);
    clock.advance(4000);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBe(4000);
    clock.advance(1);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
  });

  it('is kept up without the store by contact with more than half of the entries', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.Confirmation.create(clock, 4000);
    confirmation.noteContact('b', 0);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBe(0);
    clock.advance(2001);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
  });

  it('is not kept up by a minority that lost the others', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.Confirmation.create(clock, 4000);
    confirmation.noteContact('b', 0);
    expect(confirmation.getAgeMs(['a', 'b', 'c', 'd', 'e'], 'a')).toBeNull();
  });

  it('is not kept up by an entry alone', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.Confirmation.create(clock, 4000);
    expect(confirmation.getAgeMs(['a'], 'a')).toBeNull();
  });

  it('does not take an answer for fresh that waited while this process was frozen', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.Confirmation.create(clock, 4000);
    clock.advance(6000);
    confirmation.noteContact('b', 6000);
    confirmation.confirm(6000);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
  });
});
