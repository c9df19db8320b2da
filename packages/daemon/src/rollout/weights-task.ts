/**
 * Issues weight orders. The weight versions that trainers announce are stored in the table service.
 * For each engine service, one entry holds a lease and turns announcements into orders that carry
 * the fencing number of the lease. Orders reach other entries by gossip and targets over links.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';
import type * as runtime from '@azureworks/runtime';
import * as leaseNames from '../core/lease-names';
import type * as configurationTask from '../entry/configuration-task';
import type * as gossipStates from '../entry/gossip-state';

export interface WeightsTaskOptions {
  /** This entry as a lease holder: its name and incarnation. */
  readonly holder: string;
  readonly name: string;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly gossipState: gossipStates.GossipState;
  readonly tables: storage.TableService;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  /** The names of the serving entries, including this one. */
  listServingNames(): string[];
}

interface AnnouncementRow {
  readonly version: number;
  readonly trainer: string;
}

interface HeldLease {
  readonly lease: decisions.Lease;
  fence: number | undefined;
}

const ANNOUNCEMENT_TABLE = 'weights';
const LEASE_DURATION_MS = 4000;
const LEASE_CHECK_INTERVAL_MS = 1000;
/** Only this many entries, the first in rendezvous order, contend for a lease. */
const LEASE_CANDIDATES = 3;
const MAXIMUM_WRITE_ATTEMPTS = 5;

/** Issues the weight orders of the engine services whose lease this entry holds. */
export class WeightsTask implements runtime.Task {
  readonly name = 'weights';

  private readonly leases = new Map<string, HeldLease>();

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: WeightsTaskOptions) {
    options.gossipState.positionUpdates.subscribe((position) =>
      this.publishOrder(position.trainer),
    );
  }

  static create(options: WeightsTaskOptions): WeightsTask {
    return new WeightsTask(options);
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.updateLeases(), LEASE_CHECK_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
  }

  /** Accepts a trainer's announcement that a version of its weights is available. */
  async announce(
    trainerName: string,
    version: number,
  ): Promise<neverthrow.Result<void, decisions.Failure>> {
    const trainer = this.options.configuration.current.configuration.trainers.get(trainerName);
    if (!trainer) return neverthrow.err(decisions.createFailure('unknown-trainer'));
    const key = `${trainer.engine}/${this.getModel(trainer)}`;
    const isStored = await this.store(key, { version, trainer: trainerName });
    if (!isStored) return neverthrow.err(decisions.createFailure('store-unavailable'));
    this.options.gossipState.updatePosition({ trainer: trainerName, version });
    return neverthrow.ok(undefined);
  }

  /** Stores an announcement unless the same or a later version is stored already. */
  private async store(key: string, value: AnnouncementRow): Promise<boolean> {
    const { tables } = this.options;
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt += 1) {
      const read = await tables.read<AnnouncementRow>(ANNOUNCEMENT_TABLE, key);
      if (read.isOk()) {
        if (read.value && read.value.value.version >= value.version) return true;
        const condition = read.value?.etag ?? storage.Condition.Absent;
        const written = await tables.transact([
          { table: ANNOUNCEMENT_TABLE, key, condition, value },
        ]);
        if (written.isOk()) return true;
      }
    }
    return false;
  }

  private updateLeases(): void {
    const { configuration: configurationSource, name, listServingNames } = this.options;
    configurationSource.current.configuration.engines.forEach((_engine, service) => {
      const ranked = decisions.rankNodes(service, listServingNames());
      if (ranked.slice(0, LEASE_CANDIDATES).includes(name)) this.contend(service).catch(() => {});
      else this.leases.get(service)?.lease.drop();
    });
  }

  /** Acquires or renews the lease of a service; issues its orders while this entry is the holder. */
  private async contend(service: string): Promise<void> {
    const held = this.getLease(service);
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
    held.lease.recordWrite(step.row, sentMs);
    if (held.fence !== step.row.fence) {
      held.fence = step.row.fence;
      log.info('lease taken', { lease: key, fence: step.row.fence });
      await this.loadAnnouncements(service);
    }
    this.publishOrders(service);
  }

  private getLease(service: string): HeldLease {
    const existing = this.leases.get(service);
    if (existing) return existing;
    const { holder, clock } = this.options;
    const lease = decisions.Lease.create(holder, LEASE_DURATION_MS, clock);
    const held: HeldLease = { lease, fence: undefined };
    this.leases.set(service, held);
    return held;
  }

  /** Reads the announcements that were made before this entry became the holder. */
  private async loadAnnouncements(service: string): Promise<void> {
    const rows = await this.options.tables.list<AnnouncementRow>(ANNOUNCEMENT_TABLE, `${service}/`);
    if (rows.isErr()) return;
    rows.value.forEach((row) => {
      const { trainer, version } = row.value;
      this.options.gossipState.updatePosition({ trainer, version });
    });
  }

  private publishOrders(service: string): void {
    this.options.configuration.current.configuration.trainers.forEach((trainer, name) => {
      if (trainer.engine === service) this.publishOrder(name);
    });
  }

  /** Issues the order for a trainer's current version, if this entry holds the lease. */
  private publishOrder(trainerName: string): void {
    const { gossipState: sharedState, configuration: configurationSource, metrics } = this.options;
    const trainer = configurationSource.current.configuration.trainers.get(trainerName);
    if (!trainer) return;
    const fence = this.leases.get(trainer.engine)?.lease.fence;
    const version = sharedState.getTrainerVersion(trainerName);
    if (fence === undefined || version === 0) return;
    const model = this.getModel(trainer);
    sharedState.updateOrder({
      engine: trainer.engine,
      model,
      version,
      fence,
      trainer: trainerName,
    });
    metrics.count('weight_orders_given');
  }

  private getModel(trainer: configuration.Trainer): string {
    const engine = this.options.configuration.current.configuration.engines.get(trainer.engine);
    return trainer.model ?? engine?.model ?? '';
  }
}
