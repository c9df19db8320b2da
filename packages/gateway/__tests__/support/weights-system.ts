/**
 * A gateway's controller of weights with simulated replicas.
 */
import * as activeConfigurations from '../../src/configuration/active-configuration';
import * as directories from '../../src/replicas/directory';
import type * as environments from '../../src/types/environment';
import type * as stores from '../../src/types/store';
import * as weightsTasks from '../../src/weights/weights-task';
import * as fakeReplicas from './fake-replicas';
import * as leaseStores from './lease-store';
import * as systems from './test-system';
import * as time from './virtual-time';

const LEASE_MS = 3000;

const ROW: stores.Row = {
  table: 'replicas',
  partition: '',
  key: '',
  value: Buffer.alloc(0),
  revision: 1,
};

/** The controller and what it works with. */
export class WeightsSystem {
  readonly store = leaseStores.LeaseStore.create();

  readonly replicas = fakeReplicas.FakeReplicas.create();

  readonly directory: directories.ReplicaDirectory;

  readonly task: weightsTasks.WeightsTask;

  private readonly configuration: activeConfigurations.ActiveConfiguration;

  private revision = 1;

  private constructor(environment: environments.Environment) {
    this.configuration = activeConfigurations.ActiveConfiguration.create(environment, (row) =>
      row.key === 'configuration'
        ? { kind: 'configuration', configuration: systems.createConfiguration(1) }
        : { kind: 'weights', model: 'model', version: row.revision },
    );
    this.directory = directories.ReplicaDirectory.create({
      environment,
      isStoreStable: () => true,
      decode: ({ key, value }) => ({
        id: key,
        service: 'engines',
        address: `${key}:1`,
        failureDomain: 'domain-a',
        slots: 4,
        isDraining: false,
        bornMs: 1,
        softwareVersion: 'v1',
        modelVersions: new Map([['model', Number(value.toString())]]),
      }),
    });
    this.task = weightsTasks.WeightsTask.create({
      environment,
      store: this.store,
      configuration: this.configuration,
      directory: this.directory,
      replicaClient: this.replicas,
      leaseMs: LEASE_MS,
      countGateways: () => 1,
    });
    this.configuration.onSnapshot([{ ...ROW, table: 'operator', key: 'configuration' }]);
  }

  /** Starts the controller; it takes the lease. */
  static async start(
    replicaIds: readonly string[],
    environment = time.createEnvironment('vm-1'),
  ): Promise<WeightsSystem> {
    const system = new WeightsSystem(environment);
    replicaIds.forEach((id) => system.register(id, 1));
    await system.task.start();
    await time.advance(100);
    return system;
  }

  /** Writes the row of a replica. */
  register(id: string, version: number): void {
    this.revision += 1;
    const value = Buffer.from(String(version));
    const row = { ...ROW, key: id, value, revision: this.revision, isRemoved: false };
    this.directory.onChanges([row]);
  }

  /** Names the version that replicas are to load. */
  name(version: number): void {
    const row = { ...ROW, table: 'operator', key: 'version', revision: version, isRemoved: false };
    this.configuration.onChanges([row]);
    this.task.planOrders();
  }
}
