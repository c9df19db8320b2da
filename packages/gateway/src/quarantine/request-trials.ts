/**
 * The trials of quarantined requests by one gateway: which attempt may be sent although its request is
 * in quarantine. A trial needs no end: the next one may start an interval later.
 */
import * as crypto from 'node:crypto';
import * as decisions from '@azureworks/decisions';
import type * as environments from '../types/environment';

interface Trial {
  readonly attempt: string;
  readonly startedMs: number;
}

const DRAW_DIGITS = 8;
const DRAW_RANGE = 16 ** DRAW_DIGITS;

/** Admits one attempt at a quarantined request at a time. */
export class RequestTrials {
  /** By fingerprint, in the order of their start. */
  private readonly trials = new Map<string, Trial>();

  private constructor(
    private readonly environment: environments.Environment,
    private readonly quarantine: decisions.Quarantine,
  ) {}

  static create(
    environment: environments.Environment,
    quarantine: decisions.Quarantine,
  ): RequestTrials {
    return new RequestTrials(environment, quarantine);
  }

  /** Starts a trial with this attempt, unless it is too early for one. */
  begin(fingerprint: string, attempt: string): boolean {
    if (this.getDelayMs(fingerprint) > 0) return false;
    const startedMs = this.environment.nowMs();
    this.trials.delete(fingerprint);
    this.trials.set(fingerprint, { attempt, startedMs });
    return true;
  }

  /** Time after which this gateway may start the next trial of a request. */
  getDelayMs(fingerprint: string): number {
    this.forgetFormer();
    const startedMs = this.trials.get(fingerprint)?.startedMs ?? -Infinity;
    const intervalMs = startedMs + decisions.TRIAL_INTERVAL_MS - this.environment.nowMs();
    return Math.max(intervalMs, this.getEvidenceDelayMs(fingerprint));
  }

  /** Whether an attempt is on trial, and no further replica has ended meanwhile. */
  isOnTrial(fingerprint: string, attempt: string): boolean {
    return (
      this.trials.get(fingerprint)?.attempt === attempt &&
      this.getEvidenceDelayMs(fingerprint) === 0
    );
  }

  private getEvidenceDelayMs(fingerprint: string): number {
    const hash = crypto.createHash('sha256').update(`${this.environment.vm} ${fingerprint}`);
    const draw = parseInt(hash.digest('hex').slice(0, DRAW_DIGITS), 16) / DRAW_RANGE;
    return this.quarantine.getTrialDelayMs(fingerprint, draw);
  }

  private forgetFormer(): void {
    const oldestMs = this.environment.nowMs() - decisions.TRIAL_INTERVAL_MS;
    [...this.trials]
      .filter(([, { startedMs }]) => startedMs <= oldestMs)
      .forEach(([fingerprint]) => this.trials.delete(fingerprint));
  }
}
