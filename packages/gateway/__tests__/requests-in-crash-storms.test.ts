/**
 * Something else crashes replicas one after another while callers repeat requests that harm none: no
 * request is refused for long, although replicas ended under many of them.
 */
import * as decisions from '@azureworks/decisions';
import type * as gateway from '@azureworks/gateway';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const REPLICAS = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'];
const FAILURE_DOMAINS = 3;
const SEEDS = [1, 2, 3, 4, 5, 6];
/** Mean times between two crashes. */
const CRASH_INTERVALS_MS = [50, 100, 200];
const STORM_MS = 20_000;
const STEP_MS = 20;
const REQUESTS = 30;
const ANSWER_MS = 60;
const REPETITION_DELAY_MS = 100;
/** Until the last replica that crashed is back. */
const RECOVERY_MS = 3000;
const RETURN_INTERVAL_MS = 1000;
/** The longest time from the second end of a replica to the first trial at a gateway. */
const LATEST_TRIAL_MS = 120_000;

describe('a request that runs on replicas which something else crashes one after another', () => {
  let system: systems.TestSystem;
  let gateways: gateway.Gateway[];
  let attempts: number;
  let starts: number;

  beforeEach(async () => {
    jest.useFakeTimers();
    attempts = 0;
    starts = 0;
    system = systems.TestSystem.create();
    system.configure(systems.createConfiguration(1, { maximumAttempts: 2 }));
    REPLICAS.forEach(addReplica);
    system.replicas.onRestart = addReplica;
    gateways = [await system.start('vm1'), await system.start('vm2')];
  });

  afterEach(async () => {
    await system.stopAll();
    jest.useRealTimers();
  });

  function addReplica(id: string): void {
    starts += 1;
    system.replicas.getBehaviour(id).answerMs = ANSWER_MS;
    const failureDomain = `domain-${REPLICAS.indexOf(id) % FAILURE_DOMAINS}`;
    system.addReplica(id, { isPlain: true, bornMs: starts, failureDomain });
  }

  async function send(body: string): Promise<string> {
    attempts += 1;
    const reply = await gateways[attempts % gateways.length].handle(
      {
        request: {
          id: `attempt-${attempts}`,
          method: 'POST',
          target: '/plain/x',
          host: systems.HOST,
          headers: [],
          body: Buffer.from(body),
        },
        path: '/plain/x',
        deadlineMs: 800,
        receivedMs: time.nowMs(),
        signal: new AbortController().signal,
        afterEvent: undefined,
      },
      { begin: () => {}, receive: () => {} },
    );
    if (reply.kind === 'failure') return reply.failure.code;
    return reply.kind === 'answer' ? String(reply.answer.status) : reply.kind;
  }

  async function repeat(body: string, untilMs: number): Promise<void> {
    while (time.nowMs() < untilMs) {
      await send(body);
      await time.pause(REPETITION_DELAY_MS);
    }
  }

  /** Crashes replicas at random, but never the last one that is up. */
  async function crashReplicas(random: decisions.SeededRandom, intervalMs: number): Promise<void> {
    const downUntilMs = new Map<string, number>();
    const endMs = time.nowMs() + STORM_MS;
    for (let nextMs = time.nowMs(); time.nowMs() < endMs; await time.advance(STEP_MS)) {
      const up = REPLICAS.filter((id) => (downUntilMs.get(id) ?? 0) <= time.nowMs());
      const victim = up[Math.floor(random.next() * up.length)] ?? '';
      if (time.nowMs() >= nextMs && up.length > 1) {
        system.replicas.crash(victim);
        downUntilMs.set(victim, time.nowMs() + RECOVERY_MS);
        nextMs = time.nowMs() + intervalMs * (0.5 + random.next());
      }
    }
  }

  const cases = SEEDS.flatMap((seed) => CRASH_INTERVALS_MS.map((intervalMs) => [seed, intervalMs]));

  it.each(cases)(
    'is answered soon after they hold (seed %d, every %d ms)',
    async (seed, intervalMs) => {
      const bodies = Array.from({ length: REQUESTS }, (_unused, index) => `body ${index}`);
      const untilMs = time.nowMs() + STORM_MS + RECOVERY_MS;
      const repetitions = bodies.map((body) => repeat(body, untilMs));
      await crashReplicas(decisions.SeededRandom.create(seed), intervalMs);
      await time.advance(RECOVERY_MS);
      await time.settle(Promise.all(repetitions));
      const stormEndMs = time.nowMs();
      const unanswered = new Set(bodies);
      while (unanswered.size > 0 && time.nowMs() - stormEndMs < LATEST_TRIAL_MS) {
        const replies = [...unanswered].map(async (body) => {
          if ((await send(body)) === '200') unanswered.delete(body);
        });
        await time.settle(Promise.all(replies));
        await time.advance(RETURN_INTERVAL_MS);
      }
      expect(unanswered).toEqual(new Set());
    },
  );
});
