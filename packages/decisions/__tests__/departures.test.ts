import * as decisions from '@azureworks/decisions';

const DAY_MS = 86_400_000;

describe('departures', () => {
  let clock: decisions.ManualClock;
  let departures: decisions.Departures;

  beforeEach(() => {
    clock = decisions.ManualClock.create();
    departures = decisions.Departures.create(clock);
  });

  it('are news once, and concern one incarnation only', () => {
    expect(departures.record('a#1')).toBe(true);
    expect(departures.record('a#1')).toBe(false);
    expect(departures.isLeaving('a#1')).toBe(true);
    expect(departures.isLeaving('a#2')).toBe(false);
  });

  it('are forgotten long after the target must have left', () => {
    departures.record('a#1');
    clock.advance(DAY_MS);
    expect(departures.isLeaving('a#1')).toBe(false);
  });

  it('are remembered for a bounded number of targets, the latest ones', () => {
    for (let index = 0; index < 100_000; index += 1) departures.record(`target ${index}`);
    expect(departures.isLeaving('target 0')).toBe(false);
    expect(departures.isLeaving('target 90000')).toBe(true);
  });
});
