/**
 * Which software the replicas of each service have had lately. While it was the same all the time, it
 * is known for every stream at which software it began.
 *
 * This process sees changes itself, but late when it is cut off or stands still, and a stream may have
 * begun at software that it has not seen yet. That there was no change is therefore taken from the
 * store, up to the moment at which somebody asks. For the time before a full read of the replicas,
 * when the process started or the store dropped its history, one gateway keeps a row for each service
 * in the store, which tells since when its replicas have the software that they have.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import type * as directories from '../replicas/directory';
import * as softwares from '../replicas/software';
import * as sharedCalls from '../store/shared-call';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import * as originRows from './origin-rows';

export interface SoftwareHistoryOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  /** The gateways of which one keeps the row of a service. */
  readonly listWorkers: () => readonly { readonly vm: string }[];
  /** Learns all replicas that the store lists at the time of the call; returns whether it could. */
  readonly catchUp: () => Promise<boolean>;
  /** The shortest time between two reads of a row. */
  readonly getReadIntervalMs: () => number;
}

/** What is known of one service. */
interface ServiceHistory {
  /** The replicas with each software; those that name none have the empty one. */
  readonly replicas: Map<string, string>;
  /** Since when the replicas are known to have this software, on the monotonic clock. */
  sinceMs: number;
  current: string;
  /** When this process saw a change, on the store's clock; undefined when it only saw the outcome. */
  changedStoreMs: number | undefined;
  /** Since when the row tells that they have it, on the store's clock; undefined until compared. */
  storedSinceMs: number | undefined;
  /** Whether the row was read since the last change. */
  isCompared: boolean;
  /** Reads of the row. */
  readonly comparison: sharedCalls.SharedCall<boolean>;
}

/** No stream lasts longer, with all of its resumptions. */
export const STREAM_LIFETIME_MS = 30_000;
/** Delay until the row of a service is compared with what is seen; spread over all gateways. */
const COMPARISON_DELAY_MS = 500;
/** How long a caller who resumes a stream waits until it is known that there was no change. */
const CATCH_UP_TIMEOUT_MS = 1500;
const SEPARATOR = '\n';

/** The software of all services. */
export class SoftwareHistory implements runtime.Task, directories.DirectoryObserver {
  readonly name = 'software history';

  private readonly services = new Map<string, ServiceHistory>();

  /** Services whose row may differ from what is seen. */
  private readonly uncompared = new Set<string>();

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private onMixed: (service: string) => void = () => {};

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: SoftwareHistoryOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
  }

  static create(options: SoftwareHistoryOptions): SoftwareHistory {
    return new SoftwareHistory(options);
  }

  /** @param onMixed called when a service gets a second version of its software */
  subscribe(onMixed: (service: string) => void): void {
    this.onMixed = onMixed;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    return Promise.resolve();
  }

  onReplicaChanged({ replica }: directories.TrackedReplica): void {
    const history = this.getService(replica.service);
    const software = softwares.identifySoftware(replica) ?? '';
    if (history.replicas.get(replica.id) === software) return;
    history.replicas.set(replica.id, software);
    this.update(replica.service, history);
  }

  onReplicaRemoved({ replica }: directories.TrackedReplica): void {
    const history = this.getService(replica.service);
    history.replicas.delete(replica.id);
    this.update(replica.service, history);
  }

  /** Forgets for how long the software was the same: changes before a full read were not seen. */
  onFullRead(): void {
    const sinceMs = this.options.environment.nowMs();
    this.services.forEach((history, service) => {
      Object.assign(history, {
        sinceMs,
        changedStoreMs: undefined,
        storedSinceMs: undefined,
        isCompared: false,
      });
      this.scheduleComparison(service);
    });
  }

  /** Compares the rows that another gateway may have kept before. */
  onMembersChanged(): void {
    this.services.forEach((_history, service) => this.scheduleComparison(service));
  }

  /**
   * The software that all replicas of a service have had for the lifetime of a stream, up to this
   * call; undefined when there was more than one, or it is not known.
   */
  async findSole(service: string): Promise<string | undefined> {
    if (this.getSole(service) === undefined) return undefined;
    if (!(await this.catchUpInTime(service))) return undefined;
    const history = this.services.get(service);
    const sole = this.getSole(service);
    if (!history || sole === undefined) return undefined;
    if (this.isUnchanged(history)) return sole;
    if (history.storedSinceMs !== undefined) return undefined;
    await history.comparison.request();
    return this.getSole(service) === sole && this.isUnchanged(history) ? sole : undefined;
  }

  /**
   * Whether streams that begin now may have to be told apart by their software. When a change is seen
   * late, the streams that began meanwhile are stored then.
   */
  isMixed(service: string): boolean {
    const history = this.services.get(service);
    if (!history || this.getSole(service) === undefined) return true;
    if (this.isUnchanged(history)) return false;
    if (!history.isCompared) {
      history.isCompared = true;
      history.comparison.request();
    }
    return true;
  }

  /** The software of all replicas of a service; undefined when they have several, or name none. */
  private getSole(service: string): string | undefined {
    const current = this.services.get(service)?.current;
    return !current || current.includes(SEPARATOR) ? undefined : current;
  }

  private async catchUpInTime(service: string): Promise<boolean> {
    const { environment, catchUp } = this.options;
    const { log, metrics } = environment;
    const timeout = environment.pause(CATCH_UP_TIMEOUT_MS).then(() => false);
    const isDone = await Promise.race([catchUp(), timeout]);
    metrics.count('software_catch_ups', { isDone: String(isDone) });
    if (!isDone) log.info('software of a service not confirmed by the store', { service });
    return isDone;
  }

  private isUnchanged({ sinceMs, storedSinceMs }: ServiceHistory): boolean {
    const { environment, store } = this.options;
    if (environment.nowMs() - sinceMs >= STREAM_LIFETIME_MS) return true;
    return storedSinceMs !== undefined && store.nowMs - storedSinceMs >= STREAM_LIFETIME_MS;
  }

  private getService(service: string): ServiceHistory {
    const known = this.services.get(service);
    if (known) return known;
    const { environment, getReadIntervalMs } = this.options;
    const history: ServiceHistory = {
      replicas: new Map(),
      sinceMs: environment.nowMs(),
      current: '',
      changedStoreMs: undefined,
      storedSinceMs: undefined,
      isCompared: false,
      comparison: sharedCalls.SharedCall.create({
        clock: environment,
        call: () => this.compare(service, history),
        getIntervalMs: getReadIntervalMs,
      }),
    };
    this.services.set(service, history);
    return history;
  }

  private update(service: string, history: ServiceHistory): void {
    const current = [...new Set(history.replicas.values())].sort().join(SEPARATOR);
    if (current === history.current) return;
    const former = history.current;
    history.current = current;
    history.sinceMs = this.options.environment.nowMs();
    // Before the first replica of a service nothing is known that could have changed.
    history.changedStoreMs = former === '' ? history.changedStoreMs : this.options.store.nowMs;
    history.storedSinceMs = undefined;
    history.isCompared = false;
    this.scheduleComparison(service);
    const software = current.split(SEPARATOR).join(', ');
    this.options.environment.log.info('software of a service changed', { service, software });
    if (former !== '' && current.includes(SEPARATOR)) this.onMixed(service);
  }

  private scheduleComparison(service: string): void {
    this.uncompared.add(service);
    if (this.timer || this.isStopped) return;
    const delayMs = COMPARISON_DELAY_MS * (0.5 + this.options.environment.random());
    this.timer = setTimeout(() => this.compareRows(), delayMs);
  }

  /** Compares the rows that this gateway keeps. */
  private async compareRows(): Promise<void> {
    const services = [...this.uncompared].filter((service) => this.keepsRow(service));
    this.uncompared.clear();
    const failed: string[] = [];
    for (const service of services) {
      const history = this.services.get(service);
      if (history && !(await history.comparison.request())) failed.push(service);
    }
    this.timer = undefined;
    [...failed, ...this.uncompared].forEach((service) => this.scheduleComparison(service));
  }

  private keepsRow(service: string): boolean {
    const { listWorkers, environment } = this.options;
    const workers = listWorkers().map(({ vm }) => vm);
    return decisions.chooseNode(service, workers) === environment.vm;
  }

  /** Reads the row of a service, and writes it if this gateway keeps it; returns whether it could. */
  private compare(service: string, history: ServiceHistory): Promise<boolean> {
    return this.errors.settle(() => this.tryCompare(service, history), false);
  }

  private async tryCompare(service: string, history: ServiceHistory): Promise<boolean> {
    const { store } = this.options;
    const { current, sinceMs } = history;
    history.isCompared = true;
    const outcome = await store.read(originRows.createSoftwareRange(service));
    if (outcome.status !== stores.StoreStatus.Done) return false;
    const [row] = outcome.rows;
    const stored = row && originRows.decodeSoftware(row);
    if (history.current !== current || history.sinceMs !== sinceMs) return false;
    const isSame = stored && [...stored.software].sort().join(SEPARATOR) === current;
    // The gateway that keeps the row may have missed software that came and left.
    if (isSame && stored.sinceMs >= (history.changedStoreMs ?? -Infinity)) {
      this.learnStored(service, history, stored.sinceMs);
      return true;
    }
    if (!this.keepsRow(service)) return true;
    const written = await store.transact({
      conditions: [{ ...originRows.locateSoftware(service), revision: row?.revision ?? 0 }],
      writes: [
        originRows.encodeSoftware(service, {
          software: current === '' ? [] : current.split(SEPARATOR),
          sinceMs: store.nowMs,
        }),
      ],
      removals: [],
    });
    return written.status === stores.StoreStatus.Done;
  }

  private learnStored(service: string, history: ServiceHistory, storedSinceMs: number): void {
    const isFirst = history.storedSinceMs === undefined;
    Object.assign(history, { storedSinceMs });
    const hasMissedChange = history.changedStoreMs === undefined && !this.isUnchanged(history);
    // Other gateways cannot take the streams that began here for those of the only version.
    if (isFirst && hasMissedChange && this.getSole(service) !== undefined) this.onMixed(service);
  }
}
