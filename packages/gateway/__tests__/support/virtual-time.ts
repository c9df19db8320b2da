/**
 * Time that passes only when a test lets it: jest's timers, with the parts of an environment that
 * depend on them.
 */
import * as decisions from '@azureworks/decisions';
import * as runtime from '@azureworks/runtime';
import type * as gateway from '@azureworks/gateway';

/** Resolves after simulated milliseconds. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** The simulated time. */
export function nowMs(): number {
  return Date.now();
}

/** Lets time pass. */
export function pass(durationMs: number): Promise<void> {
  return jest.advanceTimersByTimeAsync(durationMs);
}

/** How long a promise may stay open while time passes, and in which steps it passes. */
const SETTLE_LIMIT_MS = 10_000;
const SETTLE_STEP_MS = 50;

/** Lets time pass until a promise is settled; one that stays open fails the test. */
export async function settle<Value>(
  promise: Promise<Value>,
  limitMs = SETTLE_LIMIT_MS,
): Promise<Value> {
  let isDone = false;
  promise.finally(() => {
    isDone = true;
  });
  for (let waitedMs = 0; !isDone && waitedMs < limitMs; waitedMs += SETTLE_STEP_MS) {
    await pass(SETTLE_STEP_MS);
  }
  expect(isDone).toBe(true);
  return promise;
}

/** An environment on simulated time. */
export function createEnvironment(
  vm: string,
  incarnation = `${vm}-first`,
  seed = 1,
): gateway.Environment {
  const random = decisions.SeededRandom.create(seed);
  return {
    vm,
    incarnation,
    failureDomain: 'domain-a',
    capacity: 1,
    peerAddress: `${vm}:1`,
    log: runtime.SilentLog.create(),
    metrics: runtime.Metrics.create(),
    nowMs,
    wallMs: nowMs,
    random: () => random.next(),
    pause,
  };
}
