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
