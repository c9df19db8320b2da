/**
 * Which software the replicas of each service have had lately. While it was the same all the time, it
 * is known for every stream at which software it began.
 *
 * This process sees changes itself. For the time before it started, one gateway keeps a row for each
 * service in the store, which tells since when its replicas have the software that they have.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import type * as directories from '../replicas/directory';
import * as softwares from '../replicas/software';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import * as originRows from './origin-rows';

export interface SoftwareHistoryOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  /** The gateways of which one keeps the row of a service. */
  readonly listWorkers: () => readonly { readonly vm: string }[];
}

/** What is known of one service. */
interface ServiceHistory {
  /** The replicas with each software; those that name none have the empty one. */
  readonly replicas: Map<string, string>;
  /** When the set of software last changed here, on the monotonic clock. */
  changedMs: number;
  current: string;
  /** Whether the row told that the software was the same for long enough before this process. */
  isConfirmed: boolean;
  /** Whether the row was read since the last change. */
  isCompared: boolean;
  /** The comparison with the row that is in flight. */
  confirming: Promise<boolean> | undefined;
}

/** No stream lasts longer, with all of its resumptions. */
export const STREAM_LIFETIME_MS = 30_000;
/** Delay until the row of a service is compared with what is seen; spread over all gateways. */
const COMPARISON_DELAY_MS = 500;
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

  /** Compares the rows that another gateway may have kept before. */
  onMembersChanged(): void {
    this.services.forEach((_history, service) => this.scheduleComparison(service));
  }

  /**
   * The software that all replicas of a service have had for the lifetime of a stream; undefined when
   * there was more than one, or it is not known.
   */
  async findSole(service: string): Promise<string | undefined> {
    const history = this.services.get(service);
    const sole = history?.current;
    if (!history || !sole || sole.includes(SEPARATOR)) return undefined;
    if (this.isUnchanged(history)) return sole;
    await this.confirmOnce(service, history);
    return history.current === sole && history.isConfirmed ? sole : undefined;
  }

  /** Whether streams that begin now may have to be told apart by their software. */
  isMixed(service: string): boolean {
    const history = this.services.get(service);
    if (!history || history.current.includes(SEPARATOR)) return true;
    if (this.isUnchanged(history)) return false;
    if (!history.isCompared) this.confirmOnce(service, history);
    return true;
  }

  private confirmOnce(service: string, history: ServiceHistory): Promise<boolean> {
    history.isCompared = true;
    history.confirming ??= this.confirm(service, history).finally(() => {
      history.confirming = undefined;
    });
    return history.confirming;
  }

  private isUnchanged(history: ServiceHistory): boolean {
    if (history.isConfirmed) return true;
    return this.options.environment.nowMs() - history.changedMs >= STREAM_LIFETIME_MS;
  }

  private getService(service: string): ServiceHistory {
    const known = this.services.get(service);
    if (known) return known;
    const { nowMs } = this.options.environment;
    const history: ServiceHistory = {
      replicas: new Map(),
      changedMs: nowMs(),
      current: '',
      isConfirmed: false,
      isCompared: false,
      confirming: undefined,
    };
    this.services.set(service, history);
    return history;
  }

  private update(service: string, history: ServiceHistory): void {
    const current = [...new Set(history.replicas.values())].sort().join(SEPARATOR);
    if (current === history.current) return;
    const former = history.current;
    history.current = current;
    history.changedMs = this.options.environment.nowMs();
    history.isConfirmed = false;
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
      if (history && !(await this.confirm(service, history))) failed.push(service);
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
  private confirm(service: string, history: ServiceHistory): Promise<boolean> {
    return this.errors.settle(() => this.tryConfirm(service, history), false);
  }

  private async tryConfirm(service: string, history: ServiceHistory): Promise<boolean> {
    const { store } = this.options;
    const { current } = history;
    const outcome = await store.read(originRows.createSoftwareRange(service));
    if (outcome.status !== stores.StoreStatus.Done) return false;
    const [row] = outcome.rows;
    const stored = row && originRows.decodeSoftware(row);
    if (history.current !== current) return false;
    if (stored && [...stored.software].sort().join(SEPARATOR) === current) {
      const isOldEnough = store.nowMs - stored.sinceMs >= STREAM_LIFETIME_MS;
      history.isConfirmed = isOldEnough && current !== '' && !current.includes(SEPARATOR);
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
}
