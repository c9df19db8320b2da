/**
 * The duty of reporting usage through failures of its holder, the store and the platform.
 */
import * as decisions from '@azureworks/decisions';
import * as fleets from './support/metering-fleet';
import * as time from './support/virtual-time';

const START_MS = Date.UTC(2030, 0, 1);
const FIRST_WINDOW = START_MS / fleets.WINDOW_MS;

describe.each([true, false])('the duty of usage reports, tokens checked: %s', (checks) => {
  let fleet: fleets.MeteringFleet;
  let first: fleets.MeteredGateway;
  let second: fleets.MeteredGateway;
  let third: fleets.MeteredGateway;

  beforeEach(async () => {
    jest.useFakeTimers({ now: START_MS });
    fleet = fleets.MeteringFleet.create(checks);
    first = await fleet.start('vm-1');
    second = await fleet.start('vm-2');
    third = await fleet.start('vm-3');
  });

  afterEach(async () => {
    await fleet.stopAll();
    jest.useRealTimers();
    expect(fleet.api.violations).toEqual([]);
  });

  function listWindows(count: number): number[] {
    return Array.from({ length: count }, (_unused, index) => FIRST_WINDOW + index);
  }

  it('reports each window once, in time, with the counts of all gateways', async () => {
    await fleets.send(first, 'a', 3);
    await fleets.send(second, 'a', 2);
    await fleets.send(third, 'b', 1);
    await time.advance(5 * fleets.WINDOW_MS + 3000);
    expect(fleet.api.listWindows()).toEqual(listWindows(5));
    expect(fleet.api.calls).toHaveLength(5);
    expect(fleet.api.calls[0].counts).toEqual({ a: 5, b: 1 });
    expect(fleet.api.calls[1].counts).toEqual({});
  });

  it('goes on with another gateway after the holder was killed', async () => {
    await time.advance(7000);
    await fleets.send(third, 'a', 4);
    await time.advance(3000);
    fleets.kill(fleet.caller);
    await time.advance(25_000);
    expect(fleet.api.listWindows()).toEqual(listWindows(6));
    expect(fleet.sumReports()).toEqual({ a: 4 });
  });

  // A holder that thaws must not make a call that it prepared before.
  it('makes no call with a token that was overtaken while the holder was frozen', async () => {
    await time.advance(8000);
    const frozen = fleet.caller;
    fleet.freezesAtNextCall = true;
    await time.advance(20_000);
    expect(frozen.isFrozen).toBe(true);
    frozen.isFrozen = false;
    await time.advance(14_000);
    expect(fleet.api.listWindows()).toEqual(listWindows(8));
    expect(fleet.caller.vm).not.toBe(frozen.vm);
  });

  // The monotonic clock of a suspended VM stands still, so the lease seems valid when it resumes.
  it('is given up at once by a holder that was suspended', async () => {
    await time.advance(8000);
    const suspended = fleet.caller;
    const isHeld = (): string | undefined =>
      /duty_held\{.*\} (\d)/.exec(suspended.environment.metrics.format())?.[1];
    expect(isHeld()).toBe('1');
    suspended.wallAheadMs += 60_000;
    expect(isHeld()).toBe('0');
  });

  it('passes on from a holder that reaches nothing, and to a gateway that was cut off', async () => {
    await time.advance(8000);
    const cut = fleet.caller;
    cut.isCut = true;
    await fleets.send(cut, 'a', 2);
    await time.advance(8000);
    cut.isCut = false;
    await time.advance(13_000);
    expect(fleet.api.listWindows()).toEqual(listWindows(5));
    expect(fleet.sumReports()).toEqual({ a: 2 });
  });

  it('sends the same counts again after an answer was lost', async () => {
    await fleets.send(first, 'a', 1);
    fleet.api.faults.loseAnswers = 2;
    await time.advance(10_000);
    expect(fleet.api.calls.length).toBeGreaterThanOrEqual(3);
    expect(fleet.sumReports()).toEqual({ a: 1 });
  });

  // Without a check of tokens the successor has to let a call that may be on its way arrive first.
  it('survives a call that is carried out seconds after its sender was killed', async () => {
    fleet.api.faults.carryOutLate = 1;
    while (fleet.api.faults.carryOutLate > 0) await time.advance(50);
    const holder = fleet.gateways.find(({ environment }) =>
      /duty_held\{.*\} 1/.test(environment.metrics.format()),
    );
    if (holder) fleets.kill(holder);
    await time.advance(30_000);
    expect(fleet.api.listWindows()).toEqual(expect.arrayContaining(listWindows(6)));
  });

  // A retry is accepted while the first call is still on its way.
  it('lets a call without an answer arrive before a successor calls', async () => {
    fleet.api.faults.carryOutLate = 1;
    fleet.api.faults.delayMs = 7000;
    while (fleet.api.calls.length === 0) await time.advance(50);
    await time.advance(300);
    fleets.kill(fleet.caller);
    await time.advance(30_000);
    expect(fleet.api.listWindows()).toEqual(expect.arrayContaining(listWindows(6)));
  });

  it('sends what was stored while the platform was down', async () => {
    await fleets.send(second, 'a', 3);
    fleet.api.faults.isDown = true;
    await time.advance(30_000);
    expect(fleet.api.calls).toEqual([]);
    fleet.api.faults.isDown = false;
    await time.advance(5000);
    expect(fleet.api.listWindows().slice(0, 6)).toEqual(listWindows(6));
    expect(fleet.sumReports()).toEqual({ a: 3 });
  });

  it('reports after an outage of the store what was counted during it', async () => {
    await time.advance(1000);
    fleet.store.faults.isUnreachable = true;
    await fleets.send(first, 'a', 3);
    await time.advance(20_000);
    fleet.store.faults.isUnreachable = false;
    await time.advance(15_000);
    expect(fleet.api.listWindows()).toEqual(expect.arrayContaining(listWindows(6)));
    expect(fleet.sumReports()).toEqual({ a: 3 });
  });

  it('takes the true time from most of the gateways', async () => {
    third.wallAheadMs = -3_600_000;
    const fourth = await fleet.start('vm-4', 'vm-4-first', { wallAheadMs: 7_200_000 });
    await fleet.start('vm-5');
    await time.advance(1000);
    await Promise.all([third, fourth].map((wrong) => fleets.send(wrong, 'a', 2)));
    await time.advance(12_000);
    expect(fleet.api.listWindows()).toEqual(listWindows(2));
    expect(fleet.api.calls[0]?.counts).toEqual({ a: 4 });
  });

  it('is continued with the same token by a process that was restarted on the VM', async () => {
    await time.advance(8000);
    const former = fleet.caller;
    const fence = fleet.api.calls.at(-1)?.fence;
    fleets.kill(former);
    await fleet.start(former.vm, 'restarted');
    await time.advance(8000);
    expect(fleet.api.calls.at(-1)).toMatchObject({ holder: former.vm, fence });
  });

  // It took itself for the only gateway, and reported its own counts.
  it('is not continued before the members are known', async () => {
    await time.advance(4500);
    await fleets.send(third, 'a', 4);
    fleets.kill(first);
    fleets.kill(second);
    const restarts = [first, second].map(({ vm }) =>
      fleet.start(vm, 'restarted', { areMembersKnown: false }),
    );
    const restarted = await Promise.all(restarts);
    third.isCut = true;
    await time.advance(4000);
    Object.assign(third, { isCut: false });
    restarted.forEach((each) => Object.assign(each, { areMembersKnown: true }));
    await time.advance(10_000);
    expect(fleet.sumReports()).toEqual({ a: 4 });
  });

  it('includes what a gateway counted before it was stopped', async () => {
    await time.advance(5500);
    await fleets.send(third, 'a', 5);
    const stopped = Promise.all(third.metering.tasks.map((task) => task.stop()));
    await time.advance(10);
    await stopped;
    third.diedMs = -Infinity;
    await time.advance(12_000);
    expect(fleet.sumReports()).toEqual({ a: 5 });
  });

  it('removes the rows of windows that were reported', async () => {
    await time.advance(180_000);
    const partitions = new Set(fleet.store.inspect('usage').map(({ partition }) => partition));
    expect(partitions.size).toBeLessThan(30);
    expect(fleet.api.calls).toHaveLength(fleet.api.listWindows().length);
  });

  // Any of the failures at any step, also writes that take effect seconds later.
  it.each([1, 2, 3, 4, 5, 6])('stands any sequence of failures: %i', async (seed) => {
    const random = decisions.SeededRandom.create(seed);
    const draw = (count: number): number => Math.floor(random.next() * count);
    let sent = 0;
    for (let step = 0; step < 60; step += 1) {
      const running = fleet.gateways.filter(({ isDead }) => !isDead);
      const hit = running[draw(running.length)];
      const kind = draw(9);
      if (kind === 0) hit.isFrozen = !hit.isFrozen;
      if (kind === 1) hit.isCut = !hit.isCut;
      if (kind === 2) fleet.store.faults.applyLate += 1 + draw(3);
      if (kind === 3) fleet.store.faults.loseAnswers += 1 + draw(3);
      if (kind === 4) fleet.api.faults.carryOutLate += 1;
      if (kind === 5) fleet.api.faults.loseAnswers += 1;
      if (kind === 6) fleet.api.faults.isDown = !fleet.api.faults.isDown;
      if (kind === 7) fleets.kill(hit);
      if (kind >= 7) await fleet.start(kind === 7 ? hit.vm : `vm-${step}`, `process-${step}`);
      fleet.store.faults.applyDelayMs = 100 + draw(5000);
      if (!hit.isDead && !hit.isFrozen) await fleets.send(hit, 'a', (sent += 1));
      await time.advance(draw(4000));
    }
    fleet.gateways.forEach((each) => Object.assign(each, { isFrozen: false, isCut: false }));
    Object.assign(fleet.store.faults, { applyLate: 0, loseAnswers: 0 });
    Object.assign(fleet.api.faults, { carryOutLate: 0, loseAnswers: 0, isDown: false });
    await time.advance(40_000);
    const last = Math.floor(Date.now() / fleets.WINDOW_MS) - 3;
    expect(fleet.api.listWindows()).toContain(last);
  });
});

describe('a token that is rejected', () => {
  beforeEach(() => jest.useFakeTimers({ now: START_MS }));

  afterEach(() => jest.useRealTimers());

  // The row of the lease was lost, and the tokens began anew.
  it('ends the tenure, and is not used again', async () => {
    const fleet = fleets.MeteringFleet.create();
    await fleet.api.reportUsage({ holder: 'vm-0', fence: 6 }, { windowNo: 1, counts: {} });
    await fleet.start('vm-1');
    await time.advance(15_000);
    expect(fleet.api.rejections).toBe(1);
    expect(fleet.api.calls.at(-1)?.fence).toBeGreaterThan(6);
    await fleet.stopAll();
  });
});
