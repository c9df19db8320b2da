/**
 * Learns the evidence of other gateways from the store, and removes rows that have expired.
 *
 * Every gateway learns from the watch of a table, never from another gateway, and writes only what
 * it observed itself, so the traffic grows with the evidence and not with the square of the fleet.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import * as boundedMaps from '../jobs/bounded-map';
import type * as rowReporters from '../store/row-reporter';
import type * as tableWatches from '../store/table-watch';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import * as evidenceRows from './evidence-rows';

export interface EvidenceTaskOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly quarantine: decisions.Quarantine;
  readonly reporter: Pick<rowReporters.RowReporter, 'stop'>;
  /** The gateways of which one removes expired rows. */
  readonly listWorkers: () => readonly { readonly vm: string }[];
}

/** Interval between searches for expired rows. */
const CLEANUP_INTERVAL_MS = 60_000;
/** Rows removed by one transaction. */
const CLEANUP_ROWS = 100;
/** Rows outlive their evidence by this time, so that clocks need not agree exactly. */
const CLEANUP_GRACE_MS = 10_000;
/** How far the known time of the store may be behind. */
const MAXIMUM_CLOCK_LAG_MS = 60_000;
/** Rows that are remembered, to know what a removal withdraws; the oldest are forgotten first. */
const MAXIMUM_STORED_ROWS = 16_384;
/** Fingerprints named in one log line. */
const MAXIMUM_LOGGED_FINGERPRINTS = 5;

/** Maintains the shared evidence. */
export class EvidenceTask implements runtime.Task, tableWatches.TableObserver {
  readonly name = 'evidence';

  /** The evidence in the store, by key: a change that reports a removal has no value. */
  private readonly stored =
    boundedMaps.BoundedMap.create<evidenceRows.StoredEvidence>(MAXIMUM_STORED_ROWS);

  private timer: NodeJS.Timeout | undefined;

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: EvidenceTaskOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: EvidenceTaskOptions): EvidenceTask {
    return new EvidenceTask(options);
  }

  start(): Promise<void> {
    this.timer = setInterval(
      () => this.errors.settle(() => this.cleanUp(), undefined),
      CLEANUP_INTERVAL_MS,
    );
    return Promise.resolve();
  }

  stop(): Promise<void> {
    clearInterval(this.timer);
    this.options.reporter.stop();
    return Promise.resolve();
  }

  onSnapshot(allRows: readonly stores.Row[]): void {
    const rows = allRows.filter(({ partition }) => partition === evidenceRows.EVIDENCE_PARTITION);
    const present = new Set(rows.map((row) => row.key));
    this.stored
      .list()
      .filter(([key]) => !present.has(key))
      .forEach(([key]) => this.forget(key));
    this.learn(rows);
  }

  onChanges(changes: readonly stores.RowChange[]): void {
    const relevant = changes.filter(
      ({ partition }) => partition === evidenceRows.EVIDENCE_PARTITION,
    );
    // The last change of a row counts; one answer of the store may hold several of them.
    const latest = [...new Map(relevant.map((change) => [change.key, change])).values()];
    latest.filter((change) => change.isRemoved).forEach((change) => this.forget(change.key));
    this.learn(latest.filter((change) => !change.isRemoved));
  }

  private learn(rows: readonly stores.Row[]): void {
    const { quarantine, store, environment } = this.options;
    const learned = rows.flatMap((row) => {
      const evidence = evidenceRows.decodeEvidence(row);
      if (!evidence) return [];
      const ended = evidenceRows.toEndedReplica(evidence, store.nowMs);
      if (ended.ageMs >= decisions.QUARANTINE_EVIDENCE_LIFETIME_MS) return [];
      if (this.isAhead(evidence)) return [];
      this.stored.set(row.key, evidence);
      return quarantine.record(ended) ? [evidence.fingerprint] : [];
    });
    if (learned.length === 0) return;
    const fingerprints = [...new Set(learned)];
    const isQuarantined = (fingerprint: string): boolean =>
      quarantine.judge(fingerprint).state === decisions.QuarantineState.Quarantined;
    environment.metrics.count('quarantine_evidence', { source: 'store' }, learned.length);
    environment.log.info('evidence learned', {
      rows: learned.length,
      fingerprints: fingerprints.slice(0, MAXIMUM_LOGGED_FINGERPRINTS).join(' '),
      quarantined: fingerprints.filter(isQuarantined).length,
    });
  }

  private forget(key: string): void {
    const evidence = this.stored.get(key);
    this.stored.delete(key);
    if (!evidence) return;
    this.options.quarantine.withdraw(evidence.fingerprint, evidence.replica);
    this.options.environment.log.info('evidence withdrawn', {
      fingerprint: evidence.fingerprint,
      replica: evidence.replica,
    });
  }

  /** Removes expired rows, if this gateway is the one that does. */
  private async cleanUp(): Promise<void> {
    const { environment, store, quarantine, listWorkers } = this.options;
    quarantine.expireAll();
    this.dropExpired();
    const workers = listWorkers().map(({ vm }) => vm);
    if (decisions.chooseNode(evidenceRows.EVIDENCE_PARTITION, workers) !== environment.vm) return;
    const outcome = await store.read(evidenceRows.EVIDENCE_RANGE);
    if (outcome.status !== stores.StoreStatus.Done) return;
    const expired = outcome.rows.filter((row) => this.isExpired(row));
    for (let start = 0; start < expired.length; start += CLEANUP_ROWS) {
      const removals = expired
        .slice(start, start + CLEANUP_ROWS)
        .map(({ table, partition, key }) => ({ table, partition, key }));
      const { status } = await store.transact({ conditions: [], writes: [], removals });
      environment.log.info('expired evidence removed', { rows: removals.length, status });
      if (status !== stores.StoreStatus.Done) return;
    }
  }

  private dropExpired(): void {
    const oldestMs = this.options.store.nowMs - decisions.QUARANTINE_EVIDENCE_LIFETIME_MS;
    this.stored
      .list()
      .filter(([, { endedMs }]) => endedMs <= oldestMs)
      .forEach(([key]) => this.stored.delete(key));
  }

  /** Whether evidence is of a time that the store has not reached, so that it would never expire. */
  private isAhead({ endedMs }: evidenceRows.StoredEvidence): boolean {
    return endedMs - this.options.store.nowMs > MAXIMUM_CLOCK_LAG_MS;
  }

  private isExpired(row: stores.Row): boolean {
    const evidence = evidenceRows.decodeEvidence(row);
    const lifetimeMs = decisions.QUARANTINE_EVIDENCE_LIFETIME_MS + CLEANUP_GRACE_MS;
    if (!evidence || this.isAhead(evidence)) return true;
    return this.options.store.nowMs - evidence.endedMs >= lifetimeMs;
  }
}
