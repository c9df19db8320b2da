/**
 * Weight orders. What a trainer announces is kept at the table service; for each engine service one
 * entry holds a lease and turns announcements into orders under its fencing number. Orders spread
 * by gossip and over the links.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';
import type * as runtime from '@azureworks/runtime';
import * as leaseNames from '../core/lease-names';
import type * as configurationTask from '../entry/configuration-task';
import type * as knowledge from '../entry/knowledge';

/** What the weights task needs. */
export interface WeightsTaskOptions {
  /** The name and incarnation of this entry. */
  readonly holder: string;
  readonly name: string;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly knowledge: knowledge.Knowledge;
  readonly tables: storage.TableService;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  /** The names of the entries that serve, this one included. */
  listServingNames(): string[];
}

interface AnnouncedRow {
  readonly version: number;
  readonly trainer: string;
}

interface HeldLease {
  readonly lease: decisions.Lease;
  fence: number | undefined;
}

const ANNOUNCED_TABLE = 'weights';
const LEASE_DURATION_MS = 4000;
const TICK_MS = 1000;
const CONTENDERS = 3;
const ANNOUNCE_ATTEMPTS = 5;

/** Orders weights for the engine services. */
export class WeightsTask implements runtime.Task {
  readonly name = 'weights';

  private readonly leases = new Map<string, HeldLease>();

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: WeightsTaskOptions) {
    options.knowledge.newPositions.subscribe((position) => this.orderFor(position.trainer));
  }

  static create(options: WeightsTaskOptions): WeightsTask {
    return new WeightsTask(options);
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
  }

  /** Takes a trainer's announcement that a version of its weights is available. */
  async announce(
    trainerName: string,
    version: number,
  ): Promise<neverthrow.Result<void, decisions.Failure>> {
    const trainer = this.options.configuration.current.configuration.trainers.get(trainerName);
    if (!trainer) return neverthrow.err(decisions.createFailure('unknown-trainer'));
    const key = `${trainer.engine}/${this.readModel(trainer)}`;
    const isKept = await this.keep(key, { version, trainer: trainerName });
    if (!isKept) return neverthrow.err(decisions.createFailure('store-unavailable'));
    this.options.knowledge.notePosition({ trainer: trainerName, version });
    return neverthrow.ok(undefined);
  }

  /** Writes an announcement unless a later one is kept already. */
  private async keep(key: string, value: AnnouncedRow): Promise<boolean> {
    const { tables } = this.options;
    for (let attempt = 0; attempt < ANNOUNCE_ATTEMPTS; attempt += 1) {
      const read = await tables.read<AnnouncedRow>(ANNOUNCED_TABLE, key);
      if (read.isOk()) {
        if (read.value && read.value.value.version >= value.version) return true;
        const condition = read.value?.etag ?? storage.Condition.Absent;
        const written = await tables.transact([{ table: ANNOUNCED_TABLE, key, condition, value }]);
        if (written.isOk()) return true;
      }
    }
    return false;
  }

  private tick(): void {
    const { configuration: task, name, listServingNames } = this.options;
    task.current.configuration.engines.forEach((_engine, service) => {
      const ranked = decisions.rankNodes(service, listServingNames());
      if (ranked.slice(0, CONTENDERS).includes(name)) this.contend(service).catch(() => {});
      else this.leases.get(service)?.lease.drop();
    });
  }

  private async contend(service: string): Promise<void> {
    const held = this.openLease(service);
    const { tables, clock, log } = this.options;
    const key = leaseNames.createWeightsLeaseKey(service);
    const table = leaseNames.LEASE_TABLE;
    const read = await tables.read<decisions.LeaseRow>(table, key);
    if (read.isErr()) return;
    const step = held.lease.plan(read.value?.value);
    if (step.kind === 'wait') return;
    const sentMs = clock.nowMs();
    const condition = read.value?.etag ?? storage.Condition.Absent;
    const written = await tables.transact([{ table, key, condition, value: step.row }]);
    if (written.isErr()) return;
    held.lease.noteWritten(step.row, sentMs);
    if (held.fence !== step.row.fence) {
      held.fence = step.row.fence;
      log.change('lease taken', { lease: key, fence: step.row.fence });
      await this.learnAnnounced(service);
    }
    this.orderAll(service);
  }

  private openLease(service: string): HeldLease {
    const existing = this.leases.get(service);
    if (existing) return existing;
    const { holder, clock } = this.options;
    const lease = decisions.Lease.create(holder, LEASE_DURATION_MS, clock);
    const held: HeldLease = { lease, fence: undefined };
    this.leases.set(service, held);
    return held;
  }

  /** A new holder learns what was announced before its time. */
  private async learnAnnounced(service: string): Promise<void> {
    const rows = await this.options.tables.list<AnnouncedRow>(ANNOUNCED_TABLE, `${service}/`);
    if (rows.isErr()) return;
    rows.value.forEach((row) => {
      const { trainer, version } = row.value;
      this.options.knowledge.notePosition({ trainer, version });
    });
  }

  private orderAll(service: string): void {
    this.options.configuration.current.configuration.trainers.forEach((trainer, name) => {
      if (trainer.engine === service) this.orderFor(name);
    });
  }

  /** Gives the order for a trainer's version, when this entry holds the lease right now. */
  private orderFor(trainerName: string): void {
    const { knowledge: shared, configuration: task, metrics: sharedMetrics } = this.options;
    const trainer = task.current.configuration.trainers.get(trainerName);
    if (!trainer) return;
    const fence = this.leases.get(trainer.engine)?.lease.fence;
    const version = shared.getVersion(trainerName);
    if (fence === undefined || version === 0) return;
    const model = this.readModel(trainer);
    shared.noteOrder({ engine: trainer.engine, model, version, fence, trainer: trainerName });
    sharedMetrics.count('weight_orders_given');
  }

  private readModel(trainer: configuration.Trainer): string {
    const engine = this.options.configuration.current.configuration.engines.get(trainer.engine);
    return trainer.model ?? engine?.model ?? '';
  }
}
