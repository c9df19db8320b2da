/**
 * The trials of quarantined requests: which attempt may be sent although its request is in quarantine.
 *
 * All gateways together have one trial of a request at a time, so that the trials of a large fleet do not
 * add up to an outage: a gateway claims it in the store, for as long as a request usually takes. A trial
 * that reached no replica is repeated soon; one that showed nothing is followed by ever longer pauses.
 * While the store gives no answer, each gateway has trials of its own, the rarer the more gateways there are.
 */
import * as crypto from 'node:crypto';
import * as decisions from '@azureworks/decisions';
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import type * as fleetTrials from './fleet-trials';

export interface RequestTrialsOptions {
  readonly environment: environments.Environment;
  readonly quarantine: decisions.Quarantine;
  readonly fleet: Pick<fleetTrials.FleetTrials, 'get' | 'isStored' | 'write' | 'assume' | 'remove'>;
  readonly listWorkers: () => readonly { readonly vm: string }[];
}

/** A trial that this gateway has claimed. */
interface ClaimedTrial {
  readonly untilMs: number;
  /** Undefined until an attempt arrives for it. */
  attempt?: string;
}

/** How long a claim lasts if its gateway does not end it. */
const CLAIM_MS = 10_000;
/** How long an attempt waits for the claim; if it takes longer, a later attempt is on trial. */
const CLAIM_WAIT_MS = 250;
/** The pause after a trial that reached no replica; doubles with each one that showed nothing. */
const MINIMUM_PAUSE_MS = 500;
/** When a refused request may come again while a trial of it is under way. */
const TRIAL_RETRY_AFTER_MS = 200;
const DRAW_DIGITS = 8;
const DRAW_RANGE = 16 ** DRAW_DIGITS;

/** Admits one attempt at a quarantined request at a time. */
export class RequestTrials {
  /** By fingerprint. */
  private readonly claimed = new Map<string, ClaimedTrial>();

  /** The requests for which a claim is on its way to the store. */
  private readonly claiming = new Set<string>();

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: RequestTrialsOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, 'request trials');
  }

  static create(options: RequestTrialsOptions): RequestTrials {
    return new RequestTrials(options);
  }

  /** Whether this gateway has claimed no trial. */
  get isEmpty(): boolean {
    return this.claimed.size === 0;
  }

  /** Puts an attempt on trial, unless it is too early for one or another gateway has one. */
  async begin(fingerprint: string, attempt: string): Promise<boolean> {
    this.forgetUnused();
    if (this.assign(fingerprint, attempt)) return true;
    if (this.claiming.has(fingerprint) || this.getDelayMs(fingerprint) > 0) return false;
    this.claiming.add(fingerprint);
    const claim = this.errors
      .settle(() => this.claim(fingerprint), undefined)
      .finally(() => this.claiming.delete(fingerprint));
    await Promise.race([claim, this.options.environment.pause(CLAIM_WAIT_MS)]);
    return this.assign(fingerprint, attempt);
  }

  /** Whether an attempt is on trial, whatever was learned meanwhile. */
  hasBegun(fingerprint: string, attempt: string): boolean {
    return this.claimed.get(fingerprint)?.attempt === attempt;
  }

  /** Whether an attempt is on trial, and no further replica has ended meanwhile. */
  isOnTrial(fingerprint: string, attempt: string): boolean {
    return this.hasBegun(fingerprint, attempt) && this.getEvidenceDelayMs(fingerprint) === 0;
  }

  /**
   * Ends the trial of an attempt that is over.
   * @param hasReachedReplica whether a replica may have run the attempt
   */
  async end(fingerprint: string, attempt: string, hasReachedReplica: boolean): Promise<void> {
    if (!this.hasBegun(fingerprint, attempt)) return;
    this.claimed.delete(fingerprint);
    const { fleet } = this.options;
    const known = fleet.get(fingerprint);
    // An answer has cleared the request, or the claim is not in the store.
    if (!known || !fleet.isStored(fingerprint)) return;
    const inconclusive = known.inconclusive + (hasReachedReplica ? 1 : 0);
    const pauseMs = hasReachedReplica ? MINIMUM_PAUSE_MS * 2 ** inconclusive : MINIMUM_PAUSE_MS;
    const change = { isRunning: false, inconclusive, pauseMs };
    await this.errors.settle(() => fleet.write(fingerprint, change), undefined);
  }

  /** Forgets the trials of a request that was cleared. */
  async remove(fingerprint: string): Promise<void> {
    this.claimed.delete(fingerprint);
    await this.options.fleet.remove(fingerprint);
  }

  /** When a refused request may come again. */
  getRetryAfterMs(fingerprint: string): number {
    const isUnderWay = this.options.fleet.get(fingerprint)?.isRunning === true;
    const delayMs = isUnderWay
      ? this.getEvidenceDelayMs(fingerprint)
      : this.getDelayMs(fingerprint);
    return Math.max(TRIAL_RETRY_AFTER_MS, Math.ceil(delayMs));
  }

  /** Time after which the next trial of a request may start. */
  private getDelayMs(fingerprint: string): number {
    const nextMs = this.options.fleet.get(fingerprint)?.nextMs ?? -Infinity;
    const pauseMs = Math.max(0, nextMs - this.options.environment.nowMs());
    return Math.max(pauseMs, this.getEvidenceDelayMs(fingerprint));
  }

  /** Gives an attempt the trial that was claimed, unless another one has it. */
  private assign(fingerprint: string, attempt: string): boolean {
    const trial = this.claimed.get(fingerprint);
    if (!trial || trial.attempt !== undefined) return false;
    if (this.getEvidenceDelayMs(fingerprint) > 0) return false;
    trial.attempt = attempt;
    return true;
  }

  private async claim(fingerprint: string): Promise<void> {
    const { environment, fleet } = this.options;
    const untilMs = environment.nowMs() + CLAIM_MS;
    const inconclusive = fleet.get(fingerprint)?.inconclusive ?? 0;
    const change = { isRunning: true, inconclusive, pauseMs: CLAIM_MS };
    const status = await fleet.write(fingerprint, change);
    environment.metrics.count('quarantine_claims', { outcome: status });
    if (status === stores.StoreStatus.Done) this.claimed.set(fingerprint, { untilMs });
    else if (status !== stores.StoreStatus.Conflict) this.claimAlone(fingerprint);
  }

  /** Claims a trial of this gateway alone, as the store gave no answer. */
  private claimAlone(fingerprint: string): void {
    const { environment, quarantine, listWorkers, fleet } = this.options;
    const nowMs = environment.nowMs();
    const spreadMs = decisions.TRIAL_INTERVAL_MS * Math.max(1, listWorkers().length);
    const { ageMs } = quarantine.judge(fingerprint);
    const waitMs = decisions.TRIAL_INTERVAL_MS + this.draw(fingerprint) * spreadMs - ageMs;
    const mayBegin = waitMs <= 0;
    if (mayBegin) this.claimed.set(fingerprint, { untilMs: nowMs + CLAIM_MS });
    const nextMs = nowMs + (mayBegin ? spreadMs : MINIMUM_PAUSE_MS);
    fleet.assume(fingerprint, { isRunning: mayBegin, inconclusive: 0, nextMs });
  }

  /** Forgets claims that no attempt used in time. */
  private forgetUnused(): void {
    const nowMs = this.options.environment.nowMs();
    [...this.claimed]
      .filter(([, { attempt, untilMs }]) => attempt === undefined && untilMs <= nowMs)
      .forEach(([fingerprint]) => this.claimed.delete(fingerprint));
  }

  private getEvidenceDelayMs(fingerprint: string): number {
    return this.options.quarantine.getTrialDelayMs(fingerprint, this.draw(fingerprint));
  }

  /** A draw of this gateway for a request, in [0, 1). */
  private draw(fingerprint: string): number {
    const hash = crypto.createHash('sha256');
    hash.update(`${this.options.environment.vm} ${fingerprint}`);
    return parseInt(hash.digest('hex').slice(0, DRAW_DIGITS), 16) / DRAW_RANGE;
  }
}
