import * as decisions from '@azureworks/decisions';

const ENTRIES = ['a', 'b', 'c'];

describe('revision confirmation', () => {
  it('expires when neither the store nor peers confirm the revision', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.RevisionConfirmation.create(clock, 4000);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
    confirmation.confirm(0);
    clock.advance(4000);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBe(4000);
    clock.advance(1);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
  });

  it('lasts without the store while more than half of the entries are in contact', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.RevisionConfirmation.create(clock, 4000);
    confirmation.recordContact('b', 0);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBe(0);
    clock.advance(2001);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
  });

  it('does not last through contact with a minority of the entries', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.RevisionConfirmation.create(clock, 4000);
    confirmation.recordContact('b', 0);
    expect(confirmation.getAgeMs(['a', 'b', 'c', 'd', 'e'], 'a')).toBeNull();
  });

  it('is not given by an entry to itself', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.RevisionConfirmation.create(clock, 4000);
    expect(confirmation.getAgeMs(['a'], 'a')).toBeNull();
  });

  it('counts the age of an answer from the request, even if the process was suspended since', () => {
    const clock = decisions.ManualClock.create();
    const confirmation = decisions.RevisionConfirmation.create(clock, 4000);
    clock.advance(6000);
    confirmation.recordContact('b', 6000);
    confirmation.confirm(6000);
    expect(confirmation.getAgeMs(ENTRIES, 'a')).toBeNull();
  });
});
