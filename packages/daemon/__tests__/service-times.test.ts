import * as serviceTimes from '../src/entry/service-times';

describe('service times', () => {
  it('learn a slow target from attempts that were moved before they ended', () => {
    const times = serviceTimes.ServiceTimes.create();
    times.observe({ target: 'fast', durationMs: 100, bytes: 1000, isAnswered: true });
    times.observe({ target: 'slow', durationMs: 400, bytes: 1000, isAnswered: false });
    expect(times.getServiceTimeMs('fast')).toBe(100);
    expect(times.getServiceTimeMs('slow')).toBe(400);
  });

  it('take an unknown target for one like the others, never for a faster one', () => {
    const times = serviceTimes.ServiceTimes.create();
    times.observe({ target: 'a', durationMs: 200, bytes: 0, isAnswered: true });
    times.observe({ target: 'b', durationMs: 400, bytes: 0, isAnswered: true });
    expect(times.getServiceTimeMs('new')).toBe(300);
  });

  it('forget a target that was replaced', () => {
    const times = serviceTimes.ServiceTimes.create();
    times.observe({ target: 'a', durationMs: 200, bytes: 0, isAnswered: true });
    times.observe({ target: 'b', durationMs: 800, bytes: 0, isAnswered: true });
    times.forget('b');
    expect(times.getServiceTimeMs('b')).toBe(200);
  });
});
