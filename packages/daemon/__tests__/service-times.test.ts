import * as serviceTimes from '../src/entry/service-times';

describe('service times', () => {
  it('measure a slow target by attempts that were moved before they ended', () => {
    const times = serviceTimes.ServiceTimes.create();
    times.record({ target: 'fast', durationMs: 100, bytes: 1000, isAnswered: true });
    times.record({ target: 'slow', durationMs: 400, bytes: 1000, isAnswered: false });
    expect(times.getServiceTimeMs('fast')).toBe(100);
    expect(times.getServiceTimeMs('slow')).toBe(400);
  });

  it('assume the mean of the other targets for an unmeasured target, so that it never seems faster', () => {
    const times = serviceTimes.ServiceTimes.create();
    times.record({ target: 'a', durationMs: 200, bytes: 0, isAnswered: true });
    times.record({ target: 'b', durationMs: 400, bytes: 0, isAnswered: true });
    expect(times.getServiceTimeMs('new')).toBe(300);
  });

  it('discard the measurements of a replaced target', () => {
    const times = serviceTimes.ServiceTimes.create();
    times.record({ target: 'a', durationMs: 200, bytes: 0, isAnswered: true });
    times.record({ target: 'b', durationMs: 800, bytes: 0, isAnswered: true });
    times.forget('b');
    expect(times.getServiceTimeMs('b')).toBe(200);
  });
});
