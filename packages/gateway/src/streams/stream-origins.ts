/**
 * At which software the streams of callers began, so that a caller can resume a stream at any gateway,
 * also when the one that began it has lost power.
 *
 * Load pattern: tens of thousands of streams begin each second, a few of them break off, mostly many
 * at once when replicas or gateways fail, and their callers resume them at other gateways. A row for
 * each stream is out of the question. While all replicas of a service have the same software nothing
 * is stored, as it is the same for all streams. Otherwise each gateway adds the streams that it began
 * to the store a few times a second, many in one row; these rows are read only when a caller resumes a
 * stream that is not known here. A stream of unknown software is not resumed.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import type * as environments from '../types/environment';
import * as errorGuards from '../core/error-guard';
import * as boundedMaps from '../jobs/bounded-map';
import * as stores from '../types/store';
import * as originRows from './origin-rows';
import * as softwareHistories from './software-history';

export interface StreamOriginsOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly history: Pick<softwareHistories.SoftwareHistory, 'findSole' | 'isMixed'>;
  readonly listWorkers: () => readonly { readonly vm: string }[];
}

/** A stream that began, and where. */
interface KnownOrigin {
  readonly service: string;
  readonly software: string;
  readonly sinceMs: number;
}

/** Streams that are remembered, of this gateway and of others. */
const MAXIMUM_ORIGINS = 65_536;
/** Streams that wait to be stored; the oldest are dropped first. */
const MAXIMUM_BACKLOG = 16_384;
/** How often new streams are stored; each gateway adds to it, to keep within the store's rates. */
const MINIMUM_STORE_INTERVAL_MS = 250;
const STORE_INTERVAL_PER_GATEWAY_MS = 2.5;
/** Rows are read again from this much before the last read, as writes may take effect late. */
const READ_OVERLAP_MS = 4000;
const CLEANUP_INTERVAL_MS = 30_000;
const CLEANUP_ROWS = 80;

/** The origins of streams. */
export class StreamOrigins implements runtime.Task {
  readonly name = 'stream origins';

  private readonly known = boundedMaps.BoundedMap.create<KnownOrigin>(MAXIMUM_ORIGINS);

  private backlog: originRows.StreamOrigin[] = [];

  private storeTimer: NodeJS.Timeout | undefined;

  private cleanupTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private writeCount = 0;

  /** Whether rows may be left that no stream needs any more. */
  private needsCleanup = true;

  /** The time of the store up to which the rows have been read. */
  private readUntilMs = -Infinity;

  private reading: Promise<boolean> | undefined;

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: StreamOriginsOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: StreamOriginsOptions): StreamOrigins {
    return new StreamOrigins(options);
  }

  start(): Promise<void> {
    this.cleanupTimer = setInterval(
      () => this.errors.settle(() => this.cleanUp(), undefined),
      CLEANUP_INTERVAL_MS,
    );
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.cleanupTimer);
    clearTimeout(this.storeTimer);
    await this.storeBacklog();
  }

  /** Records that the first event of a stream was received. */
  record(attemptId: string, service: string, software: string): void {
    const { environment, history } = this.options;
    this.known.set(attemptId, { service, software, sinceMs: environment.nowMs() });
    if (history.isMixed(service)) this.addToBacklog({ attemptId, software });
  }

  /** Stores the streams that began before a service got a second version of its software. */
  onMixed(service: string): void {
    this.needsCleanup = true;
    const oldestMs = this.options.environment.nowMs() - softwareHistories.STREAM_LIFETIME_MS;
    this.known
      .list()
      .filter(([, origin]) => origin.service === service && origin.sinceMs >= oldestMs)
      .forEach(([attemptId, { software }]) => this.addToBacklog({ attemptId, software }));
  }

  /**
   * Finds the software at which a stream of a service began; undefined when it is not known.
   * @param attemptId the caller's attempt that brought the first event, if the caller named it
   */
  async find(attemptId: string | undefined, service: string): Promise<string | undefined> {
    const here = attemptId === undefined ? undefined : this.known.get(attemptId);
    if (here) return here.software;
    const sole = await this.options.history.findSole(service);
    if (sole !== undefined || attemptId === undefined) return sole;
    if (!(await this.readRows())) return undefined;
    const stored = this.known.get(attemptId);
    if (stored) return stored.software;
    // The gateway that began it may be about to store it.
    await this.options.environment.pause(this.storeIntervalMs);
    const [laterSole] = await Promise.all([
      this.options.history.findSole(service),
      this.readRows(),
    ]);
    return this.known.get(attemptId)?.software ?? laterSole;
  }

  private get storeIntervalMs(): number {
    const gateways = this.options.listWorkers().length;
    return Math.max(MINIMUM_STORE_INTERVAL_MS, gateways * STORE_INTERVAL_PER_GATEWAY_MS);
  }

  private addToBacklog(origin: originRows.StreamOrigin): void {
    this.backlog.push(origin);
    const excess = this.backlog.length - MAXIMUM_BACKLOG;
    if (excess > 0) {
      this.backlog.splice(0, excess);
      this.options.environment.metrics.count('stream_origins_dropped', {}, excess);
    }
    if (this.isStopped) return;
    this.storeTimer ??= setTimeout(() => this.storeBacklog(), this.storeIntervalMs);
  }

  private async storeBacklog(): Promise<void> {
    await this.errors.settle(() => this.storeOldest(), undefined);
    this.storeTimer = undefined;
    if (this.backlog.length > 0 && !this.isStopped) {
      this.storeTimer = setTimeout(() => this.storeBacklog(), this.storeIntervalMs);
    }
  }

  private async storeOldest(): Promise<void> {
    const { environment, store } = this.options;
    const { vm, incarnation } = environment;
    const origins = this.backlog.slice(0, originRows.MAXIMUM_STREAMS_PER_ROW);
    if (origins.length === 0) return;
    this.writeCount += 1;
    const writer = { vm, writeId: `${incarnation}.${this.writeCount}` };
    const write = originRows.encodeOrigins(origins, store.nowMs, writer);
    const outcome = await store.transact({ conditions: [], writes: [write], removals: [] });
    environment.metrics.count('stream_origin_writes', { outcome: outcome.status });
    if (outcome.status === stores.StoreStatus.Done) this.backlog.splice(0, origins.length);
  }

  /** Reads the rows that were added since the last time; returns whether the store answered. */
  private async readRows(): Promise<boolean> {
    // A read that is in flight may have begun before the row was written.
    if (this.reading) await this.reading;
    this.reading ??= this.readNewRows().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  private async readNewRows(): Promise<boolean> {
    const { store, environment } = this.options;
    const startMs = store.nowMs;
    const oldestMs = startMs - softwareHistories.STREAM_LIFETIME_MS;
    const fromMs = Math.max(oldestMs, this.readUntilMs - READ_OVERLAP_MS);
    const outcomes = await Promise.all(
      originRows.listOriginRanges(fromMs).map((range) => store.read(range)),
    );
    let count = 0;
    let isComplete = true;
    outcomes.forEach((outcome) => {
      if (outcome.status !== stores.StoreStatus.Done) {
        isComplete = false;
        return;
      }
      count += outcome.rows.length;
      outcome.rows.flatMap(originRows.decodeOrigins).forEach((origin) => this.learn(origin));
    });
    if (isComplete) this.readUntilMs = startMs;
    environment.metrics.count('stream_origin_reads', { isComplete: String(isComplete) });
    environment.log.info('origins of streams read', { rows: count, isComplete });
    return isComplete;
  }

  private learn({ attemptId, software }: originRows.StreamOrigin): void {
    if (this.known.get(attemptId)) return;
    this.known.set(attemptId, { service: '', software, sinceMs: -Infinity });
  }

  /** Removes the rows of streams that have ended, if this gateway is the one that does. */
  private async cleanUp(): Promise<void> {
    const { environment, store, listWorkers } = this.options;
    const workers = listWorkers().map(({ vm }) => vm);
    const isResponsible = decisions.chooseNode(this.name, workers) === environment.vm;
    if (!this.needsCleanup || !isResponsible) return;
    this.needsCleanup = false;
    const beforeMs = store.nowMs - 2 * softwareHistories.STREAM_LIFETIME_MS;
    for (const range of originRows.listOriginRanges(0)) {
      const outcome = await store.read(range);
      const all = outcome.status === stores.StoreStatus.Done ? outcome.rows : [];
      const rows = all.filter((row) => originRows.isOlder(row, beforeMs));
      // Rows that are still needed, or could not be read, are left to a later search.
      this.needsCleanup ||= rows.length < all.length || outcome.status !== stores.StoreStatus.Done;
      for (let start = 0; start < rows.length; start += CLEANUP_ROWS) {
        const removals = rows
          .slice(start, start + CLEANUP_ROWS)
          .map(({ table, partition, key }) => ({ table, partition, key }));
        const { status } = await store.transact({ conditions: [], writes: [], removals });
        environment.log.info('expired origins of streams removed', {
          rows: removals.length,
          status,
        });
        if (status !== stores.StoreStatus.Done) return;
      }
    }
  }
}
