import * as decisions from '@azureworks/decisions';
import * as fleets from './support/permit-fleet';
import * as sendRates from './support/send-rate';
import * as time from './support/virtual-time';

const STEP_MS = 10;
const DURATION_MS = 20_000;

describe('gateways before a replica that names a rate limit', () => {
  let random: decisions.SeededRandom;

  beforeEach(() => {
    jest.useFakeTimers();
    random = decisions.SeededRandom.create(11);
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  /** Requests come to random gateways, on average `perStep` each 10 ms. */
  async function load(
    fleet: fleets.PermitFleet,
    perStep: number,
    durationMs: number,
    onStep: (elapsedMs: number) => void = () => {},
  ): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      const vms = [...fleet.gateways.keys()];
      onStep(elapsedMs);
      for (let count = perStep; count > random.next(); count -= 1) {
        fleet.send(vms[Math.floor(random.next() * vms.length)] ?? '');
      }
      await time.advance(STEP_MS);
    }
  }

  function countMost(fleet: fleets.PermitFleet, fromMs: number): number {
    const timesMs = fleet.sends.filter(({ atMs }) => atMs >= fromMs).map(({ atMs }) => atMs);
    return sendRates.countMostInWindow(timesMs);
  }

  it.each([
    [7, 1, 1],
    [7, 20, 1],
    [88, 1, 3],
    [490, 1, 5],
    [490, 0.3, 5],
  ])(
    'send no more than it takes: %d gateways, %d requests a second',
    async (size, rateLimit, perStep) => {
      const fleet = fleets.PermitFleet.create(size);
      fleet.rateLimit = rateLimit;
      // Every gateway hears of the limit at nearly the same time.
      fleet.gateways.forEach((gateway) => fleet.send(gateway.vm));
      await time.advance(sendRates.STABLE_WINDOW_MS);
      const startMs = time.nowMs();
      fleet.queries = 0;
      await load(fleet, perStep, DURATION_MS);
      const most = countMost(fleet, startMs);
      expect(most).toBeLessThanOrEqual(sendRates.getAllowance(rateLimit));
      // What it takes is used: few permits are lost.
      const sent = fleet.sends.filter(({ atMs }) => atMs >= startMs).length;
      expect(sent).toBeGreaterThanOrEqual((rateLimit * DURATION_MS * 0.8) / 1000);
      // The queries do not grow with the square of the fleet.
      expect(fleet.queries).toBeLessThan((size + rateLimit * 5) * (DURATION_MS / 1000));
    },
  );

  it('send no more than it takes while the gateway that issues the permits is killed and replaced', async () => {
    const fleet = fleets.PermitFleet.create(7);
    fleet.rateLimit = 1;
    fleet.gateways.forEach((gateway) => fleet.send(gateway.vm));
    const startMs = time.nowMs() + sendRates.STABLE_WINDOW_MS;
    const vms = [...fleet.gateways.keys()];
    await load(fleet, 1, 30_000, (elapsedMs) => {
      if (elapsedMs % 5000 !== 2500) return;
      const issuer = decisions.chooseNode(fleets.REPLICA.id, vms) ?? '';
      fleet.start(issuer, vms).limits.learn({ replica: fleets.REPLICA, requestsPerSecond: 1 });
    });
    expect(countMost(fleet, startMs)).toBeLessThanOrEqual(sendRates.getAllowance(1));
  });

  it('send no more than it takes while half of them see another member', async () => {
    const fleet = fleets.PermitFleet.create(7);
    fleet.rateLimit = 2;
    fleet.gateways.forEach((gateway) => fleet.send(gateway.vm));
    const startMs = time.nowMs() + sendRates.STABLE_WINDOW_MS;
    const vms = [...fleet.gateways.keys()];
    await load(fleet, 1, 30_000, (elapsedMs) => {
      if (elapsedMs % 6000 !== 3000) return;
      // The former issuer has left for half of the gateways; it does not know that itself.
      const issuer = decisions.chooseNode(fleets.REPLICA.id, vms);
      const others = vms.filter((vm) => vm !== issuer);
      const isSplit = elapsedMs % 12_000 === 3000;
      others.slice(0, 3).forEach((vm) => {
        const gateway = fleet.gateways.get(vm);
        if (gateway) gateway.view = isSplit ? others : vms;
        gateway?.issuer.onMembersChanged();
      });
      const former = fleet.gateways.get(issuer ?? '');
      if (former) former.term = isSplit ? undefined : elapsedMs;
    });
    expect(countMost(fleet, startMs)).toBeLessThanOrEqual(sendRates.getAllowance(2));
  });

  it('keep the limit when the issuer is back after a gap and others still ask another one', async () => {
    const settlingMs = 8000;
    const fleet = fleets.PermitFleet.create(7, settlingMs);
    fleet.rateLimit = 10;
    fleet.gateways.forEach((gateway) => fleet.send(gateway.vm));
    await load(fleet, 1, 2 * settlingMs);
    const vms = [...fleet.gateways.keys()];
    const issuer = decisions.chooseNode(fleets.REPLICA.id, vms);
    const others = vms.filter((vm) => vm !== issuer);
    const setView = (vm: string, view: readonly string[]): void => {
      const gateway = fleet.gateways.get(vm);
      if (gateway) gateway.view = view;
      gateway?.issuer.onMembersChanged();
    };
    const former = fleet.gateways.get(issuer ?? '');
    if (former) former.term = undefined;
    others.forEach((vm) => setView(vm, others));
    await load(fleet, 1, 2 * settlingMs);
    if (former) former.term = 2;
    const interim = decisions.chooseNode(fleets.REPLICA.id, others);
    const returning = others.filter((vm) => vm !== interim).slice(0, 3);
    returning.forEach((vm) => setView(vm, vms));
    const returnMs = time.nowMs();
    await load(fleet, 1, settlingMs);
    expect(countMost(fleet, returnMs)).toBeLessThanOrEqual(sendRates.getAllowance(10));
  });

  it('send nothing from a gateway that is cut off from the others', async () => {
    const fleet = fleets.PermitFleet.create(7);
    fleet.rateLimit = 1;
    fleet.gateways.forEach((gateway) => fleet.send(gateway.vm));
    await time.advance(1000);
    const vms = [...fleet.gateways.keys()];
    const issuer = decisions.chooseNode(fleets.REPLICA.id, vms);
    const cut = fleet.gateways.get(vms.find((vm) => vm !== issuer) ?? '');
    if (cut) cut.isCut = true;
    const sent = fleet.sends.length;
    await load(fleet, 1, 10_000);
    const late = fleet.sends.slice(sent);
    expect(late.filter(({ vm }) => vm === cut?.vm)).toEqual([]);
    expect(late.length).toBeGreaterThanOrEqual(8);
    expect(countMost(fleet, time.nowMs() - 10_000)).toBeLessThanOrEqual(sendRates.getAllowance(1));
  });

  it('send without a limit again once an answer names none', async () => {
    const fleet = fleets.PermitFleet.create(7);
    fleet.rateLimit = 0;
    fleet.gateways.forEach((gateway) => fleet.send(gateway.vm));
    await load(fleet, 1, 8000);
    expect(fleet.sends.length).toBeLessThan(15);
    fleet.rateLimit = undefined;
    await load(fleet, 1, 9000);
    const fromMs = time.nowMs();
    await load(fleet, 1, 1000);
    expect(fleet.sends.filter(({ atMs }) => atMs >= fromMs).length).toBeGreaterThanOrEqual(80);
  });

  it('give the permits to the more urgent requests, wherever they come in', async () => {
    const fleet = fleets.PermitFleet.create(7);
    fleet.rateLimit = 1;
    fleet.gateways.forEach((gateway) => fleet.send(gateway.vm));
    await time.advance(2000);
    const before = fleet.sends.length;
    for (let elapsedMs = 0; elapsedMs < DURATION_MS; elapsedMs += STEP_MS) {
      fleet.send('vm1', 0);
      fleet.send('vm2', 1);
      await time.advance(STEP_MS);
    }
    const late = fleet.sends.slice(before);
    const urgent = late.filter(({ vm }) => vm === 'vm1').length;
    const other = late.filter(({ vm }) => vm === 'vm2').length;
    expect(urgent).toBeGreaterThan(4 * other);
  });
});
