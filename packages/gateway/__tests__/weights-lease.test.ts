import * as activeConfigurations from '../src/configuration/active-configuration';
import * as directories from '../src/replicas/directory';
import * as stores from '../src/types/store';
import * as weightsTasks from '../src/weights/weights-task';
import * as fakeReplicas from './support/fake-replicas';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

const REPLICA_ROW: stores.Row = {
  table: 'replicas',
  partition: '',
  key: 'e1',
  value: Buffer.alloc(0),
  revision: 1,
};

/** A store with one row, the lease, whose reads can be held back. */
class LeaseStore implements stores.Store {
  readonly nowMs = 0;

  lease: stores.Row | undefined;

  private release: (() => void) | undefined;

  private held: Promise<void> | undefined;

  static create(): LeaseStore {
    return new LeaseStore();
  }

  /** Answers of reads from now on arrive only when the returned function is called. */
  holdReads(): () => void {
    this.held = new Promise((resolve) => {
      this.release = resolve;
    });
    return () => this.release?.();
  }

  async read(): Promise<stores.ReadOutcome> {
    const rows = this.lease ? [this.lease] : [];
    await this.held;
    return { status: stores.StoreStatus.Done, rows, revision: 1 };
  }

  async transact({ conditions, writes }: stores.Transaction): Promise<stores.TransactionOutcome> {
    const current = this.lease?.revision ?? 0;
    if (conditions.some(({ revision }) => revision !== current)) {
      return { status: stores.StoreStatus.Conflict, rows: this.lease ? [this.lease] : [] };
    }
    writes.forEach((write) => {
      this.lease = { ...write, revision: current + 1 };
    });
    return { status: stores.StoreStatus.Done, revision: current + 1 };
  }

  async listPartitions(): Promise<stores.PartitionsOutcome> {
    return { status: stores.StoreStatus.Done, partitions: [] };
  }

  async waitForChanges(): Promise<stores.ChangesOutcome> {
    return { status: stores.StoreStatus.HistoryLost };
  }
}

describe('the holder of the lease of orders', () => {
  beforeEach(() => jest.useFakeTimers());

  afterEach(() => jest.useRealTimers());

  // The renewal discarded the news of a suspension, and the holder went on ordering beside the next one.
  it('gives no order after a suspension that its renewal notices first', async () => {
    let suspendedMs = 0;
    const environment = {
      ...time.createEnvironment('vm-1'),
      wallClockMs: () => time.nowMs() + suspendedMs,
    };
    const replicas = fakeReplicas.FakeReplicas.create();
    const configuration = activeConfigurations.ActiveConfiguration.create(environment, (row) =>
      row.key === 'configuration'
        ? { kind: 'configuration', configuration: systems.createConfiguration(1) }
        : { kind: 'weights', model: 'model', version: row.revision },
    );
    const directory = directories.ReplicaDirectory.create({
      environment,
      isStoreStable: () => true,
      decode: (row) => ({
        id: row.key,
        service: 'engines',
        address: 'e1:1',
        failureDomain: 'domain-a',
        slots: 4,
        isDraining: false,
        bornMs: 1,
        softwareVersion: 'v1',
        modelVersions: new Map([['model', 1]]),
      }),
    });
    const store = LeaseStore.create();
    const task = weightsTasks.WeightsTask.create({
      environment,
      store,
      configuration,
      directory,
      replicaClient: replicas,
      leaseMs: 3000,
      countGateways: () => 1,
    });
    configuration.onSnapshot([{ ...REPLICA_ROW, table: 'operator', key: 'configuration' }]);
    directory.onSnapshot([REPLICA_ROW]);
    await task.start();
    await time.advance(100);
    const releaseReads = store.holdReads();
    await time.advance(1000);

    suspendedMs = 10_000;
    const value = Buffer.from(JSON.stringify({ holder: 'vm-2', fence: 2, renewal: 0 }));
    store.lease = { ...store.lease!, value, revision: 100 };
    configuration.onChanges([
      { ...REPLICA_ROW, table: 'operator', key: 'version', revision: 2, isRemoved: false },
    ]);
    releaseReads();
    await time.advance(100);
    task.planOrders();
    await time.advance(100);
    expect(replicas.orders).toEqual([]);
    await task.stop();
  });
});
