/**
 * Which replicas a gateway with few requests prefers. Guards against hot replicas, against gateways that
 * are left without a replica, and against connections saved at the price of slow or busy replicas.
 */
import * as decisions from '@azureworks/decisions';
import * as placement from '../src/replicas/placement';
import * as preferredReplicas from '../src/replicas/preferred-replicas';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const DOMAINS = 5;
const IDLE_TIMEOUT_MS = 4000;
const DAY_MS = 34_000;

type Candidate = preferredReplicas.PreferenceCandidate;

function createCandidates(count: number, change: Partial<Candidate> = {}): Candidate[] {
  return Array.from({ length: count }, (_unused, index) => ({
    id: `r${index}`,
    slots: 8,
    load: 0,
    unitMs: undefined,
    isLocal: index % DOMAINS === 0,
    isEjected: false,
    tracked: { replica: { failureDomain: `zone-${index % DOMAINS}` } },
    ...change,
  }));
}

/** The candidates as the gateways of each failure domain see them. */
function createViews(count: number): Candidate[][] {
  const candidates = createCandidates(count);
  return Array.from({ length: DOMAINS }, (_unused, domain) =>
    candidates.map((candidate, index) => ({ ...candidate, isLocal: index % DOMAINS === domain })),
  );
}

/** The replicas that each gateway of a fleet prefers. */
function listPreferred(gateways: number, replicas: number, count: number): string[][] {
  const views = createViews(replicas);
  return Array.from({ length: gateways }, (_unused, index) => {
    const preferred = preferredReplicas.PreferredReplicas.create(`front-${index}`);
    return preferred.choosePreferred(views[index % DOMAINS], count).map(({ id }) => id);
  });
}

/** How many gateways prefer each replica, in ascending order. */
function countGateways(choices: readonly string[][], replicas: number): number[] {
  const numbers = new Map(createCandidates(replicas).map(({ id }) => [id, 0]));
  choices.flat().forEach((id) => numbers.set(id, (numbers.get(id) ?? 0) + 1));
  return [...numbers.values()].sort((first, second) => first - second);
}

/** A day of plain requests at random times: each gateway's requests, and the connections they open. */
function replayDay(perSecond: number, isNarrowed: boolean): Record<string, number> {
  const random = decisions.SeededRandom.create(20261206);
  const loads = new Map<string, number>();
  const views = createViews(14);
  let opened = 0;
  let requests = 0;
  for (let index = 0; index < 35; index += 1) {
    const preferred = preferredReplicas.PreferredReplicas.create(`front-${index}`);
    const lastUseMs = new Map<string, number>();
    const drawMs = (): number => (-Math.log(1 - random.next()) / perSecond) * 1000;
    for (let nowMs = drawMs(); nowMs < DAY_MS; nowMs += drawMs()) {
      const preference = preferred.countRequest('plain', nowMs);
      const all = views[index % DOMAINS];
      const candidates = isNarrowed ? preference.narrow(all) : all;
      const { id } = placement.choosePlacement(candidates, random.next()) ?? { id: '' };
      preference.recordChoice(id);
      if (nowMs - (lastUseMs.get(id) ?? -Infinity) > IDLE_TIMEOUT_MS) opened += 1;
      lastUseMs.set(id, nowMs);
      loads.set(id, (loads.get(id) ?? 0) + 1);
      requests += 1;
    }
  }
  return { opened, requests, busiest: (Math.max(...loads.values()) * 14) / requests };
}

/** The ids left of the candidates, at a rate of a few requests a minute. */
function narrow(candidates: readonly Candidate[], avoided: Partial<Candidate> = {}): string[] {
  const preferred = preferredReplicas.PreferredReplicas.create('front-0');
  const first = preferred.choosePreferred(candidates, 2).map(({ id }) => id);
  const changed = candidates.map((candidate) =>
    first.includes(candidate.id) ? { ...candidate, ...avoided } : candidate,
  );
  return [...preferred.countRequest('plain', 0).narrow(changed)].map(({ id }) => id);
}

describe('preferred replicas', () => {
  it.each([
    ['all replicas', 14],
    ['a third of them lost', 9],
  ])('belong to about as many gateways each in a fleet of today: %s', (_case, replicas) => {
    const choices = listPreferred(35, replicas, 2);
    [choices, choices.slice(0, 23)].forEach((present) => {
      const numbers = countGateways(present, replicas);
      expect(numbers.at(-1)).toBeLessThanOrEqual((2 * 2 * present.length) / replicas);
      expect(present.every((chosen) => chosen.length === 2)).toBe(true);
    });
  });

  it.each([
    ['all replicas', 12_000],
    ['a third of them lost', 8000],
  ])('belong to about as many gateways each in the largest fleet: %s', (_case, replicas) => {
    const choices = listPreferred(490, replicas, 75);
    [choices, choices.slice(0, 327)].forEach((present) => {
      const mean = (present.length * 75) / replicas;
      // Random choices would give some of so many replicas up to six standard deviations more.
      expect(countGateways(present, replicas).at(-1)).toBeLessThan(mean + 6 * Math.sqrt(mean));
      expect(present.every((chosen) => chosen.length === 75)).toBe(true);
    });
  });

  it('get most requests on a connection that is open, and none much more than its part', () => {
    const [present, narrowed] = [replayDay(0.3, false), replayDay(0.3, true)];
    expect(narrowed.opened).toBeLessThan(present.opened * 0.65);
    expect(narrowed.busiest).toBeLessThan(2);
  });

  it('are two at a low rate, and all where each replica gets a request within seconds', () => {
    expect(narrow(createCandidates(14))).toHaveLength(2);
    expect(narrow(createCandidates(3))).toHaveLength(3);
    const busy = preferredReplicas.PreferredReplicas.create('front-0');
    for (let nowMs = 0; nowMs < 20_000; nowMs += 40) busy.countRequest('plain', nowMs);
    const candidates = createCandidates(14);
    expect(busy.countRequest('plain', 20_000).narrow(candidates)).toHaveLength(14);
  });

  it.each([
    ['slow', { unitMs: 100 }],
    ['slow at the moment', { workFactor: 2 }],
    ['filling up', { load: 6 }],
  ])('are left for all when they are %s', (_case, avoided) => {
    expect(narrow(createCandidates(14, { unitMs: 40 }), avoided)).toHaveLength(14);
  });

  it('are replaced by others when they are ejected', () => {
    const narrowed = narrow(createCandidates(14), { isEjected: true });
    expect(narrowed).toHaveLength(2);
    expect(narrowed).not.toEqual(narrow(createCandidates(14)));
  });

  it('leave one request in sixteen to find out how fast the others are', () => {
    const preferred = preferredReplicas.PreferredReplicas.create('front-0');
    const candidates = createCandidates(14);
    const sizes = Array.from(
      { length: 32 },
      (_unused, index) => preferred.countRequest('plain', index * 4000).narrow(candidates).length,
    );
    expect(sizes.filter((size) => size === 14)).toHaveLength(2);
  });
});

describe('plain requests of a caller every second for a service of 14 replicas', () => {
  afterEach(() => {
    jest.useRealTimers();
  });

  it('go to two replicas, apart from the one that explores', async () => {
    jest.useFakeTimers();
    const system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1));
    createCandidates(14).forEach(({ id }) => system.addReplica(id, { isPlain: true }));
    const front = await system.start('vm', 'first');
    await time.advance(3000);
    for (let count = 0; count < 15; count += 1) {
      front.handle(
        {
          request: {
            id: `attempt-${count}`,
            method: 'POST',
            target: '/plain/x',
            host: systems.HOST,
            headers: [],
            body: Buffer.from(`body ${count}`),
          },
          path: '/plain/x',
          deadlineMs: 800,
          receivedMs: time.nowMs(),
          signal: new AbortController().signal,
          afterEvent: undefined,
        },
        { begin: () => {}, receive: () => {} },
      );
      await time.advance(1000);
    }
    await system.stopAll();
    expect(system.replicas.calls).toHaveLength(15);
    expect(new Set(system.replicas.calls.map(({ replica }) => replica)).size).toBeLessThanOrEqual(
      2,
    );
  });
});
