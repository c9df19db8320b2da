import * as decisions from '@azureworks/decisions';

const ROUTE = 'route';
const FIXED_DELAY_MS = 500;
const DEADLINE_MS = 3000;
const INTERVAL_MS = 10;

type DrawLatency = (random: decisions.Random, index: number) => number;

interface Replay {
  readonly latenciesMs: readonly number[];
  readonly sent: number;
  /** By how much the extra attempts sent so far exceeded the share at any time. */
  readonly excess: number;
}

/** Replays requests of which each attempt takes a drawn time, whichever replica has it. */
function replay(
  settings: decisions.ExtraAttemptSettings,
  count: number,
  draw: DrawLatency,
  hasFreeReplica = true,
): Replay {
  const clock = decisions.ManualClock.create();
  const random = decisions.SeededRandom.create(7);
  const rules = decisions.ExtraAttempts.create(settings, clock);
  const latenciesMs: number[] = [];
  let sent = 0;
  let excess = -Infinity;
  for (let index = 0; index < count; index += 1) {
    clock.advance(INTERVAL_MS);
    rules.recordRequest();
    const firstMs = draw(random, index);
    const delayMs = rules.getDelayMs(ROUTE, FIXED_DELAY_MS);
    const isTaken = firstMs > delayMs && rules.tryTake(createRequest()) === undefined;
    if (isTaken && !hasFreeReplica) rules.giveBack();
    const isSent = isTaken && hasFreeReplica;
    const tookMs = isSent ? Math.min(firstMs, delayMs + draw(random, index)) : firstMs;
    sent += isSent ? 1 : 0;
    excess = Math.max(excess, sent - settings.share * (index + 1));
    rules.recordLatency(ROUTE, tookMs);
    latenciesMs.push(tookMs);
  }
  return { latenciesMs, sent, excess };
}

function createRequest(options: Partial<decisions.SlowRequest> = {}): decisions.SlowRequest {
  return {
    route: ROUTE,
    fixedDelayMs: FIXED_DELAY_MS,
    isIdempotent: true,
    isStopping: false,
    attempts: 1,
    maximumAttempts: 2,
    remainingMs: DEADLINE_MS,
    isMemoryShort: false,
    ...options,
  };
}

function findQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.floor(sorted.length * quantile)] ?? 0;
}

/** A tenth of the attempts takes 100 to 1000 ms, the others 20 to 30 ms. */
const drawWithSlowTenth: DrawLatency = (random) =>
  random.next() < 0.1 ? 100 + random.next() * 900 : 20 + random.next() * 10;

/** Of sums of shares. */
const TOLERANCE = 1e-6;
const CLOCK = decisions.ManualClock.create();

describe('extra attempts', () => {
  it.each([
    { share: 0.02, quantile: 0.98, tail: 0.99, atMost: 0.95 },
    { share: 0.05, quantile: 0.95, tail: 0.98, atMost: 0.8 },
    { share: 0.12, quantile: 0.88, tail: 0.98, atMost: 0.5 },
  ])('shorten the tail of a load with a slow tenth within a share of $share', (options) => {
    const alone = replay({ ...options, share: 1e-9 }, 20_000, drawWithSlowTenth);
    const helped = replay(options, 20_000, drawWithSlowTenth);
    expect(alone.sent).toBe(0);
    expect(helped.excess).toBeLessThanOrEqual(TOLERANCE);
    const ratio =
      findQuantile(helped.latenciesMs, options.tail) /
      findQuantile(alone.latenciesMs, options.tail);
    expect(ratio).toBeLessThan(options.atMost);
  });

  it('stay within the share when everything becomes slow at once', () => {
    const settings = { share: 0.02, quantile: 0.95 };
    const slowFrom = 5000;
    const { sent, excess } = replay(
      settings,
      10_000,
      (random, index) => drawWithSlowTenth(random, index) * (index < slowFrom ? 1 : 20),
    );
    expect(sent).toBeGreaterThan(0);
    expect(excess).toBeLessThanOrEqual(TOLERANCE);
  });

  it('are not sent, and do not use up the budget, while no replica is free', () => {
    const settings = { share: 0.02, quantile: 0.95 };
    expect(replay(settings, 5000, drawWithSlowTenth, false).sent).toBe(0);
    const rules = decisions.ExtraAttempts.create({ share: 1, quantile: 0.95 }, CLOCK);
    rules.recordRequest();
    expect(rules.tryTake(createRequest())).toBeUndefined();
    rules.giveBack();
    expect(rules.tryTake(createRequest())).toBeUndefined();
  });

  it('are withheld at the start and never saved up for a burst', () => {
    const rules = decisions.ExtraAttempts.create({ share: 0.5, quantile: 0.95 }, CLOCK);
    expect(rules.tryTake(createRequest())).toBe('no-budget');
    for (let count = 0; count < 1000; count += 1) rules.recordRequest();
    const taken = Array.from({ length: 10 }, () => rules.tryTake(createRequest()));
    expect(taken.filter((reason) => reason === undefined)).toHaveLength(4);
  });

  it.each([
    ['not-idempotent', { isIdempotent: false }],
    ['stopping', { isStopping: true }],
    ['attempts-exhausted', { attempts: 2 }],
    ['no-time', { remainingMs: FIXED_DELAY_MS - 1 }],
    ['memory', { isMemoryShort: true }],
  ])('are withheld as %s, which leaves the budget as it is', (reason, options) => {
    const rules = decisions.ExtraAttempts.create({ share: 1, quantile: 0.95 }, CLOCK);
    rules.recordRequest();
    expect(rules.tryTake(createRequest(options))).toBe(reason);
    expect(rules.tryTake(createRequest())).toBeUndefined();
  });

  it('wait for the fixed delay until enough recent latencies of the route are known', () => {
    const clock = decisions.ManualClock.create();
    const rules = decisions.ExtraAttempts.create({ share: 1, quantile: 0.95 }, clock);
    const record = (route: string, count: number): void => {
      for (let latencyMs = 101; latencyMs <= 100 + count; latencyMs += 1) {
        rules.recordLatency(route, latencyMs);
      }
    };
    record(ROUTE, 10);
    expect(rules.getDelayMs(ROUTE, FIXED_DELAY_MS)).toBe(FIXED_DELAY_MS);
    record(ROUTE, 100);
    expect(rules.getDelayMs(ROUTE, FIXED_DELAY_MS)).toBeCloseTo(195, -1);
    for (let other = 0; other < 300; other += 1) record(`other-${other}`, 1);
    expect(rules.getDelayMs(ROUTE, FIXED_DELAY_MS)).toBe(FIXED_DELAY_MS);
    record(ROUTE, 100);
    clock.advance(600_000);
    expect(rules.getDelayMs(ROUTE, FIXED_DELAY_MS)).toBe(FIXED_DELAY_MS);
  });
});
