/**
 * Simulated time on jest's fake timers, and an environment for gateways that uses it.
 */
import * as decisions from '@azureworks/decisions';
import * as runtime from '@azureworks/runtime';
import type * as gateway from '@azureworks/gateway';
import * as intake from '@azureworks/intake';

/** What open work of a gateway may hold. */
export const MEMORY_BYTES = 96 * 1024 * 1024;

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

/** Advances the simulated time. */
export function advance(durationMs: number): Promise<void> {
  return jest.advanceTimersByTimeAsync(durationMs);
}

/** How long `settle` waits for a promise, and the steps in which it advances the time. */
const SETTLE_LIMIT_MS = 10_000;
const SETTLE_STEP_MS = 50;

/** Advances the time until a promise is settled; fails the test if it stays pending. */
export async function settle<Value>(
  promise: Promise<Value>,
  limitMs = SETTLE_LIMIT_MS,
): Promise<Value> {
  let isSettled = false;
  promise.finally(() => {
    isSettled = true;
  });
  for (let elapsedMs = 0; !isSettled && elapsedMs < limitMs; elapsedMs += SETTLE_STEP_MS) {
    await advance(SETTLE_STEP_MS);
  }
  expect(isSettled).toBe(true);
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
    memory: intake.MemoryBudget.create(MEMORY_BYTES),
    log: runtime.SilentLog.create(),
    metrics: runtime.Metrics.create(),
    nowMs,
    wallClockMs: nowMs,
    random: () => random.next(),
    pause,
  };
}

/** The grace period of gateways that stop. */
export const GRACE_PERIOD_MS = 8000;

/** What a gateway that does not stop tells its calls. */
export const NO_STOP = {
  lastAnswerAtMs: Infinity,
  mayPassOn: (): boolean => true,
  onLastMoment: (): (() => void) => () => {},
};

/** Trials of a gateway that never sends a quarantined request. */
export const NO_TRIALS = {
  isEmpty: true,
  begin: (): Promise<boolean> => Promise.resolve(false),
  end: (): Promise<void> => Promise.resolve(),
  remove: (): Promise<void> => Promise.resolve(),
  hasBegun: (): boolean => false,
  isOnTrial: (): boolean => false,
  getRetryAfterMs: (): number => 0,
};
