/**
 * What is known about the trials of quarantined requests in the whole fleet: the rows in which gateways
 * claim and end them, learned from the watch of a table, and the changes that this gateway makes to them.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import * as boundedMaps from '../jobs/bounded-map';
import type * as tableWatches from '../store/table-watch';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import * as trialRows from './trial-rows';

export interface FleetTrialsOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly quarantine: decisions.Quarantine;
  /** The gateways of which one removes the row of a request that is no longer needed. */
  readonly listWorkers: () => readonly { readonly vm: string }[];
}

/** The trials of one request. */
export interface FleetTrial {
  /** Whether one has begun and not ended. */
  readonly isRunning: boolean;
  /** Trials that reached a replica and showed nothing. */
  readonly inconclusive: number;
  /** When the next trial may begin, on the monotonic clock. */
  readonly nextMs: number;
}

/** A change of the trials of one request. */
export interface TrialChange extends Pick<FleetTrial, 'isRunning' | 'inconclusive'> {
  /** Time until the next trial may begin; at most the usual interval between trials. */
  readonly pauseMs: number;
}

interface KnownTrial extends FleetTrial {
  /** The revision of the row; 0: there is none. */
  readonly revision: number;
}

/** Requests whose trials are remembered; the oldest are forgotten first. */
const MAXIMUM_TRIALS = 4096;
const CLEANUP_INTERVAL_MS = 60_000;

/** Learns and changes the trials of the fleet. */
export class FleetTrials implements runtime.Task, tableWatches.TableObserver {
  readonly name = 'request trials';

  /** By fingerprint. */
  private readonly known = boundedMaps.BoundedMap.create<KnownTrial>(MAXIMUM_TRIALS);

  private readonly errors: errorGuards.ErrorGuard;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: FleetTrialsOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: FleetTrialsOptions): FleetTrials {
    return new FleetTrials(options);
  }

  start(): Promise<void> {
    this.timer = setInterval(
      () => this.errors.settle(() => this.removeExpired(), undefined),
      CLEANUP_INTERVAL_MS,
    );
    return Promise.resolve();
  }

  stop(): Promise<void> {
    clearInterval(this.timer);
    return Promise.resolve();
  }

  onSnapshot(allRows: readonly stores.Row[]): void {
    const rows = allRows.filter(trialRows.isTrialRow);
    const present = new Set(rows.map(({ key }) => key));
    this.known
      .list()
      .filter(([key]) => !present.has(key))
      .forEach(([key]) => this.known.delete(key));
    rows.forEach((row) => this.learn(row));
  }

  onChanges(changes: readonly stores.RowChange[]): void {
    changes.filter(trialRows.isTrialRow).forEach((change) => {
      if (!change.isRemoved) this.learn(change);
      else if (change.revision > this.getRevision(change.key)) this.known.delete(change.key);
    });
  }

  get(fingerprint: string): FleetTrial | undefined {
    return this.known.get(fingerprint);
  }

  /** Whether the store holds the trials of a request, as far as this gateway knows. */
  isStored(fingerprint: string): boolean {
    return this.getRevision(fingerprint) > 0;
  }

  /** Changes the trials of a request, unless another gateway has changed them meanwhile. */
  async write(fingerprint: string, change: TrialChange): Promise<stores.StoreStatus> {
    const { environment, store } = this.options;
    // Before its first answer the time of the store is not known.
    if (!Number.isFinite(store.nowMs)) return stores.StoreStatus.NotDone;
    const { isRunning, inconclusive } = change;
    const pauseMs = Math.min(change.pauseMs, decisions.TRIAL_INTERVAL_MS);
    const nextMs = environment.nowMs() + pauseMs;
    const stored = { fingerprint, isRunning, inconclusive, nextMs: store.nowMs + pauseMs };
    const revision = this.getRevision(fingerprint);
    const outcome = await store.transact({
      conditions: [{ ...trialRows.locateTrial(fingerprint), revision }],
      writes: [trialRows.encodeTrial(stored)],
      removals: [],
    });
    if (outcome.status === stores.StoreStatus.Done) {
      const written = { revision: outcome.revision, isRunning, inconclusive, nextMs };
      this.known.set(fingerprint, written);
    } else if (outcome.status === stores.StoreStatus.Conflict) {
      this.known.delete(fingerprint);
      outcome.rows.filter(trialRows.isTrialRow).forEach((row) => this.learn(row));
    }
    return outcome.status;
  }

  /** Notes a change that the store does not learn of, as it gives no answer. */
  assume(fingerprint: string, trial: FleetTrial): void {
    this.known.set(fingerprint, { ...trial, revision: this.getRevision(fingerprint) });
  }

  /** Forgets the trials of a request. */
  async remove(fingerprint: string): Promise<void> {
    const isStored = this.isStored(fingerprint);
    this.known.delete(fingerprint);
    if (!isStored) return;
    const removals = [trialRows.locateTrial(fingerprint)];
    const removal = { conditions: [], writes: [], removals };
    await this.errors.settle(() => this.options.store.transact(removal), undefined);
  }

  private learn(row: stores.Row): void {
    if (row.revision <= this.getRevision(row.key)) return;
    const { environment, store } = this.options;
    const { isRunning, nextMs, inconclusive } = trialRows.decodeTrial(row);
    const pauseMs = Math.min(decisions.TRIAL_INTERVAL_MS, nextMs - store.nowMs);
    this.known.set(row.key, {
      revision: row.revision,
      isRunning: isRunning && pauseMs > 0,
      inconclusive,
      nextMs: environment.nowMs() + pauseMs,
    });
  }

  private getRevision(fingerprint: string): number {
    return this.known.get(fingerprint)?.revision ?? 0;
  }

  /** Removes the rows of requests against which there is no evidence any more, at one of the gateways. */
  private async removeExpired(): Promise<void> {
    const { environment, quarantine, listWorkers } = this.options;
    const workers = listWorkers().map(({ vm }) => vm);
    const nowMs = environment.nowMs();
    const expired = this.known
      .list()
      .filter(([, { nextMs }]) => nextMs <= nowMs)
      .map(([fingerprint]) => fingerprint)
      .filter(
        (fingerprint) =>
          quarantine.judge(fingerprint).state === decisions.QuarantineState.Clear &&
          decisions.chooseNode(fingerprint, workers) === environment.vm,
      );
    for (const fingerprint of expired) await this.remove(fingerprint);
  }
}
