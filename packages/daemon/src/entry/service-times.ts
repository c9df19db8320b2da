/**
 * Service times of the targets of one service, estimated from attempts.
 *
 * Answers differ in length, and an attempt at a slow target may be moved before it ends. For
 * streamed answers the estimate is therefore based on the output speed of the target, which is
 * measured even when the attempt did not complete. The service time is the time that an answer of
 * average length takes at that speed.
 */
import * as decisions from '@azureworks/decisions';

/** An attempt that has ended. */
export interface FinishedAttempt {
  readonly target: string;
  readonly durationMs: number;
  /** Bytes of a streamed answer that the attempt produced; 0 if the answer was not streamed. */
  readonly bytes: number;
  /** Whether the attempt answered the request. */
  readonly isAnswered: boolean;
}

const SMOOTHING_FACTOR = 0.1;
const MINIMUM_MEASURED_DURATION_MS = 20;
const DEFAULT_SERVICE_TIME_MS = 1;

/** Estimates service times. */
export class ServiceTimes {
  private readonly bytesPerMs = new Map<string, decisions.MovingAverage>();

  private readonly durationsMs = new Map<string, decisions.MovingAverage>();

  private answerBytes: decisions.MovingAverage | undefined;

  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  /** Updates the estimates with an attempt. */
  record({ target, durationMs, bytes, isAnswered }: FinishedAttempt): void {
    if (bytes === 0) {
      if (isAnswered) addSample(this.durationsMs, target, durationMs);
      return;
    }
    if (durationMs >= MINIMUM_MEASURED_DURATION_MS)
      addSample(this.bytesPerMs, target, bytes / durationMs);
    if (!isAnswered) return;
    if (this.answerBytes) this.answerBytes.add(bytes);
    else this.answerBytes = decisions.MovingAverage.create(SMOOTHING_FACTOR, bytes);
  }

  /** The service time of a target; the mean of the other targets while it has no measurements. */
  getServiceTimeMs(target: string): number {
    if (this.answerBytes) {
      const targetBytesPerMs = this.bytesPerMs.get(target)?.value ?? computeMean(this.bytesPerMs);
      return targetBytesPerMs === undefined
        ? DEFAULT_SERVICE_TIME_MS
        : this.answerBytes.value / targetBytesPerMs;
    }
    const durationMs = this.durationsMs.get(target)?.value ?? computeMean(this.durationsMs);
    return durationMs ?? DEFAULT_SERVICE_TIME_MS;
  }

  /** The median output speed of the targets; 0 while there are no measurements. */
  getMedianBytesPerMs(): number {
    const sorted = [...this.bytesPerMs.values()]
      .map((average) => average.value)
      .sort((first, second) => first - second);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  }

  /** Forgets a target that was replaced. */
  forget(target: string): void {
    this.bytesPerMs.delete(target);
    this.durationsMs.delete(target);
  }
}

function addSample(
  values: Map<string, decisions.MovingAverage>,
  target: string,
  value: number,
): void {
  const existing = values.get(target);
  if (existing) existing.add(value);
  else values.set(target, decisions.MovingAverage.create(SMOOTHING_FACTOR, value));
}

function computeMean(values: ReadonlyMap<string, decisions.MovingAverage>): number | undefined {
  if (values.size === 0) return undefined;
  const sum = [...values.values()].reduce((total, average) => total + average.value, 0);
  return sum / values.size;
}
