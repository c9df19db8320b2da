/**
 * Service times of the targets of one service, learned from attempts.
 *
 * Answers differ in length, and an attempt on a slow target may be moved before it ends. A streamed
 * attempt therefore teaches the speed of its target, in bytes a millisecond, whether it ended or
 * not; the service time is that of an average answer at that speed.
 */
import * as decisions from '@azureworks/decisions';

/** One attempt that is over. */
export interface ObservedAttempt {
  readonly target: string;
  readonly durationMs: number;
  /** Bytes of a streamed answer that the attempt produced; 0 for any other. */
  readonly bytes: number;
  /** Whether the attempt answered the request. */
  readonly isAnswered: boolean;
}

const SMOOTHING = 0.1;
const SHORTEST_OBSERVATION_MS = 20;
const UNKNOWN_SERVICE_TIME_MS = 1;

/** Learns and tells service times. */
export class ServiceTimes {
  private readonly speeds = new Map<string, decisions.MovingAverage>();

  private readonly durations = new Map<string, decisions.MovingAverage>();

  private answerBytes: decisions.MovingAverage | undefined;

  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  /** Learns from an attempt. */
  observe({ target, durationMs, bytes, isAnswered }: ObservedAttempt): void {
    if (bytes === 0) {
      if (isAnswered) addTo(this.durations, target, durationMs);
      return;
    }
    if (durationMs >= SHORTEST_OBSERVATION_MS) addTo(this.speeds, target, bytes / durationMs);
    if (!isAnswered) return;
    if (this.answerBytes) this.answerBytes.add(bytes);
    else this.answerBytes = decisions.MovingAverage.create(SMOOTHING, bytes);
  }

  /** The service time of a target in milliseconds; that of the others while it is not known. */
  getServiceTimeMs(target: string): number {
    if (this.answerBytes) {
      const speed = this.speeds.get(target)?.value ?? computeMean(this.speeds);
      return speed === undefined ? UNKNOWN_SERVICE_TIME_MS : this.answerBytes.value / speed;
    }
    const durationMs = this.durations.get(target)?.value ?? computeMean(this.durations);
    return durationMs ?? UNKNOWN_SERVICE_TIME_MS;
  }

  /** The speed of the middle target in bytes a millisecond; 0 while none is known. */
  getTypicalSpeed(): number {
    const sorted = [...this.speeds.values()]
      .map((average) => average.value)
      .sort((first, second) => first - second);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  }

  /** Forgets a target that was replaced. */
  forget(target: string): void {
    this.speeds.delete(target);
    this.durations.delete(target);
  }
}

function addTo(values: Map<string, decisions.MovingAverage>, target: string, value: number): void {
  const known = values.get(target);
  if (known) known.add(value);
  else values.set(target, decisions.MovingAverage.create(SMOOTHING, value));
}

function computeMean(values: ReadonlyMap<string, decisions.MovingAverage>): number | undefined {
  if (values.size === 0) return undefined;
  const sum = [...values.values()].reduce((total, average) => total + average.value, 0);
  return sum / values.size;
}
