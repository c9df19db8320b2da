/**
 * Several gateways in the test process that share an in-memory store and simulated replicas.
 */
import * as gateway from '@azureworks/gateway';
import type * as intake from '@azureworks/intake';
import * as standins from '@azureworks/standins';
import * as fakeReplicas from './fake-replicas';
import * as time from './virtual-time';

const ENGINE_SERVICE = 'engines';
const PLAIN_SERVICE = 'plain';
const OTHER_SERVICE = 'other';
/** One way between two gateways. */
const PEER_DELAY_MS = 1;
/** How often a held response checks whether it may arrive. */
const STALL_STEP_MS = 5;
export const HOST = 'trainer.example';
export const JOB_PATH = '/jobs/one';

/** Settings of the routes that differ between tests. */
export interface RouteOptions {
  readonly maximumAttempts?: number;
  readonly isSingleVersion?: boolean;
  readonly itemLifetimeMs?: number;
  /** Whether there is no rollout route. */
  readonly hasNoRollout?: boolean;
}

/** A configuration with a rollout route and a plain one. */
export function createConfiguration(
  version: number,
  options: RouteOptions = {},
): gateway.Configuration {
  const base = {
    host: HOST,
    timeoutMs: 10_000,
    latencyObjectiveMs: 200,
    priority: 0,
    isResumable: false,
    maximumAttempts: options.maximumAttempts ?? 3,
    isSingleVersion: options.isSingleVersion ?? false,
    resultsDueMs: 7500,
    itemLifetimeMs: options.itemLifetimeMs ?? 40_000,
  };
  return {
    version,
    routes: [
      {
        ...base,
        name: 'rollout',
        pathPrefix: '/jobs/',
        kind: gateway.RouteKind.Rollout,
        services: [{ service: ENGINE_SERVICE, weight: 1 }],
      },
      {
        ...base,
        name: 'plain',
        pathPrefix: '/plain/',
        kind: gateway.RouteKind.Idempotent,
        services: [{ service: PLAIN_SERVICE, weight: 1 }],
      },
      {
        ...base,
        name: 'stream',
        pathPrefix: '/stream/',
        kind: gateway.RouteKind.Streaming,
        isResumable: true,
        services: [{ service: ENGINE_SERVICE, weight: 1 }],
      },
      {
        ...base,
        name: 'other',
        pathPrefix: '/other/',
        kind: gateway.RouteKind.Idempotent,
        services: [{ service: OTHER_SERVICE, weight: 1 }],
      },
    ].filter((route) => !options.hasNoRollout || route.kind !== gateway.RouteKind.Rollout),
    services: new Map([
      [
        ENGINE_SERVICE,
        {
          name: ENGINE_SERVICE,
          connectionLimit: 100,
          engineSlots: 4,
          engineTokenCapacity: 10_000,
          tokensPerEvent: 1,
          models: ['model'],
        },
      ],
      [
        PLAIN_SERVICE,
        {
          name: PLAIN_SERVICE,
          connectionLimit: 100,
          engineSlots: undefined,
          engineTokenCapacity: undefined,
          tokensPerEvent: 1,
          models: [],
        },
      ],
    ]),
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** An item with a scoring call. */
export function createItem(id: string, group: string, expectedOutputTokens = 10): gateway.Item {
  return {
    id,
    path: `/jobs/items/${id}`,
    headers: [],
    body: Buffer.from(`body of ${id}`),
    group,
    model: 'model',
    tokens: 20,
    expectedOutputTokens,
    scoring: { id: `score-${id}`, host: HOST, path: '/plain/score', body: Buffer.from(id) },
  };
}

/** A batch job of groups of items. */
export function createJob(
  id: string,
  groups: number,
  size: number,
  oldestVersion = 1,
): gateway.BatchJob {
  const items = Array.from({ length: groups * size }, (_unused, index) =>
    createItem(`${id}-${index}`, `g${Math.floor(index / size)}`),
  );
  return {
    id,
    host: HOST,
    path: JOB_PATH,
    step: 0,
    model: 'model',
    oldestVersion,
    wantedGroups: groups,
    items,
  };
}

/** Which connections a gateway has. */
export interface Connectivity {
  /** The direct connection to the store is cut. */
  isDirectCut: boolean;
  /** The connections to the store through peers are cut as well. */
  isIsolated?: boolean;
  /** Its connections to replicas are silent, as are those of a process that stands still. */
  isCutFromReplicas?: boolean;
  /** Responses of the store do not arrive until this ends, as in a process that stands still. */
  isStalled?: boolean;
  /** The process has died: nothing that it still does reaches the store or a replica. */
  isDead?: boolean;
  /** How far its view of the store's clock is behind, because responses arrived late. */
  clockBehindMs?: number;
  /** Addresses at which it finds its peers before it has read the store. */
  readonly seeds?: readonly string[];
}

/** The store, the replicas and the gateways of a test. */
export class TestSystem {
  readonly store = standins.MemoryStore.create({ nowMs: time.nowMs, pause: time.pause });

  readonly replicas = fakeReplicas.FakeReplicas.create();

  /** Within which a key that was taken away must be out of force. */
  revocationMs: number | undefined;

  /** Whether no call of any gateway reaches the store. */
  isStoreAway = false;

  /** The duty of reporting usage; without it the gateways have none. */
  metering: gateway.MeteringSettings | undefined;

  private readonly gateways: gateway.Gateway[] = [];

  private readonly gatewaysByAddress = new Map<string, gateway.Gateway>();

  private readonly connectivityByAddress = new Map<string, Connectivity>();

  private readonly environments = new Map<string, gateway.Environment>();

  private configuration = createConfiguration(1);

  static create(): TestSystem {
    return new TestSystem();
  }

  /** Writes a configuration, which the gateways then activate. */
  configure(configuration: gateway.Configuration): void {
    this.configuration = configuration;
    this.store.write('operator', '', 'configuration', String(configuration.version));
  }

  /** Registers a replica of the engine service or of the plain service. */
  addReplica(
    id: string,
    options: {
      readonly isPlain?: boolean;
      /** Whether it is of the other plain service. */
      readonly isOther?: boolean;
      readonly version?: number;
      readonly bornMs?: number;
      readonly isDraining?: boolean;
      /** Its address; its own by default. */
      readonly address?: string;
      /** The version of its software; null: it names none. */
      readonly softwareVersion?: string | null;
      readonly failureDomain?: string;
    } = {},
  ): void {
    const value = JSON.stringify({
      service: chooseService(options),
      version: options.version ?? 1,
      isDraining: options.isDraining ?? false,
      bornMs: options.bornMs ?? 1,
      softwareVersion: options.softwareVersion === undefined ? 'v1' : options.softwareVersion,
      failureDomain: options.failureDomain ?? 'domain-a',
    });
    this.replicas.versions.set(id, options.version ?? 1);
    this.store.write('replicas', '', id, value);
  }

  /** Starts a gateway; a test may change `connectivity` while it runs. */
  async start(
    vm: string,
    incarnation = `${vm}-first`,
    connectivity: Connectivity = { isDirectCut: false },
  ): Promise<gateway.Gateway> {
    const isUnreachable = (): boolean =>
      this.isStoreAway || connectivity.isIsolated === true || connectivity.isDead === true;
    const environment = time.createEnvironment(vm, incarnation);
    this.environments.set(vm, environment);
    const started = gateway.Gateway.create({
      environment,
      failureDomains: ['domain-a'],
      seeds: connectivity.seeds ?? [],
      directStore: this.connect(() => connectivity.isDirectCut || isUnreachable(), connectivity),
      connectRelay: () => this.connect(isUnreachable, connectivity),
      replicaClient: this.callFrom(connectivity),
      peers: {
        waitForResult: (address, id, position, waitMs, signal) =>
          this.waitAt(address, id, position, waitMs, signal),
        requestPermits: (address, query, timeoutMs) =>
          this.requestPermitsAt(address, query, timeoutMs, connectivity),
      },
      tables: { operator: 'operator', replicas: 'replicas' },
      decodeOperatorRow: (row) => this.decodeOperatorRow(row),
      decodeReplica,
      decodeJob: () => Promise.resolve('not used'),
      callerHeaders: ['x-caller'],
      leaseMs: 3000,
      revocationMs: this.revocationMs,
      jobRetentionMs: 120_000,
      metering: this.metering,
    });
    this.gateways.push(started);
    this.gatewaysByAddress.set(`${vm}:1`, started);
    this.connectivityByAddress.set(`${vm}:1`, connectivity);
    await started.start();
    await time.advance(100);
    return started;
  }

  /** The memory budget of the gateway that was last started on a VM. */
  getMemory(vm: string): intake.Memory {
    return this.getEnvironment(vm).memory;
  }

  /** The metrics of the gateway that was last started on a VM. */
  getMetrics(vm: string): gateway.Environment['metrics'] {
    return this.getEnvironment(vm).metrics;
  }

  private getEnvironment(vm: string): gateway.Environment {
    const environment = this.environments.get(vm);
    if (!environment) throw new Error(`no gateway was started on ${vm}`);
    return environment;
  }

  /** Stops all gateways that were started. */
  async stopAll(): Promise<void> {
    this.connectivityByAddress.forEach((connectivity) => {
      Object.assign(connectivity, { isStalled: false });
    });
    const stops = this.gateways.map((started) => started.stop());
    await time.advance(5000);
    await Promise.all(stops);
  }

  private async waitAt(
    address: string,
    ...wait: Parameters<gateway.Gateway['jobs']['results']['waitForOwnedResult']>
  ): Promise<boolean> {
    const peer = this.gatewaysByAddress.get(address);
    return peer ? peer.jobs.results.waitForOwnedResult(...wait) : false;
  }

  /** Asks a peer; a query between processes takes some milliseconds, and gets no answer when cut. */
  private async requestPermitsAt(
    address: string,
    query: gateway.PermitQuery,
    timeoutMs: number,
    connectivity: Connectivity,
  ): Promise<gateway.PermitReply | undefined> {
    const peer = this.gatewaysByAddress.get(address);
    const isCut = (): boolean =>
      connectivity.isIsolated === true ||
      this.connectivityByAddress.get(address)?.isIsolated === true;
    if (!peer || isCut() || this.connectivityByAddress.get(address)?.isDead) {
      await time.pause(timeoutMs);
      return undefined;
    }
    await time.pause(PEER_DELAY_MS);
    const reply = peer.permitIssuer.answer(query);
    await time.pause(PEER_DELAY_MS);
    return reply;
  }

  private callFrom(connectivity: Connectivity): gateway.ReplicaClient {
    const { replicas } = this;
    const unlessDead = <Value>(act: () => Promise<Value>): Promise<Value> =>
      connectivity.isDead ? new Promise<Value>(() => {}) : act();
    return {
      call: (...call) => unlessDead(() => replicas.call(...call)),
      stream: (...stream) => unlessDead(() => this.streamUnlessCut(connectivity, ...stream)),
      order: (...order) => unlessDead(() => replicas.order(...order)),
      fetchReport: (replica, timeLimitMs) =>
        unlessDead(() => replicas.fetchReport(replica, timeLimitMs)),
      probe: (replica) => unlessDead(() => replicas.probe(replica)),
      closeConnections: (replica) => replicas.closeConnections(replica),
      close: () => Promise.resolve(),
    };
  }

  private async streamUnlessCut(
    connectivity: Connectivity,
    ...[replica, request, options, receiver]: Parameters<gateway.ReplicaClient['stream']>
  ): Promise<gateway.StreamOutcome> {
    let isInterrupted = false;
    const unlessCut = (act: () => void): void => {
      isInterrupted ||= connectivity.isCutFromReplicas === true;
      if (!isInterrupted) act();
    };
    const outcome = await this.replicas.stream(replica, request, options, {
      begin: (head) => unlessCut(() => receiver.begin(head)),
      receive: (event) => unlessCut(() => receiver.receive(event)),
    });
    if (!isInterrupted) return outcome;
    return { status: gateway.CallStatus.Broken, reason: 'silent for too long', isSilent: true };
  }

  private connect(isDirectCut: () => boolean, connectivity: Connectivity): gateway.ConnectedStore {
    const { store } = this;
    let hasResponse = false;
    const call = async <Outcome>(act: () => Promise<Outcome>): Promise<Outcome> => {
      const outcome = await act();
      while (connectivity.isStalled) await time.pause(STALL_STEP_MS);
      hasResponse = true;
      return outcome;
    };
    const failCall = async (): Promise<gateway.StoreFailure> => {
      await time.pause(100);
      return { status: gateway.StoreStatus.NotDone, reason: 'cut off' };
    };
    return {
      get nowMs() {
        if (!hasResponse) return -Infinity;
        return store.nowMs - (connectivity.clockBehindMs ?? 0);
      },
      transact: (transaction) =>
        isDirectCut() ? failCall() : call(() => store.transact(transaction)),
      read: (range) => (isDirectCut() ? failCall() : call(() => store.read(range))),
      listPartitions: (table) =>
        isDirectCut() ? failCall() : call(() => store.listPartitions(table)),
      waitForChanges: (table, after, waitMs) =>
        isDirectCut() ? failCall() : call(() => store.waitForChanges(table, after, waitMs)),
      close: () => {},
    };
  }

  private decodeOperatorRow(row: gateway.Row): gateway.OperatorRow {
    if (row.key === 'configuration') {
      return { kind: 'configuration', configuration: this.configuration };
    }
    const [model, version] = row.value.toString().split('=');
    return { kind: 'weights', model: model ?? '', version: Number(version) };
  }
}

function chooseService(options: {
  readonly isPlain?: boolean;
  readonly isOther?: boolean;
}): string {
  if (options.isOther) return OTHER_SERVICE;
  return options.isPlain ? PLAIN_SERVICE : ENGINE_SERVICE;
}

function decodeReplica(row: gateway.Row): gateway.Replica | undefined {
  try {
    const parsed = JSON.parse(row.value.toString()) as {
      readonly service: string;
      readonly version: number;
      readonly isDraining: boolean;
      readonly bornMs: number;
      readonly softwareVersion: string | null;
      readonly failureDomain: string;
      readonly address?: string;
    };
    return {
      id: row.key,
      service: parsed.service,
      address: parsed.address ?? `${row.key}:1`,
      failureDomain: parsed.failureDomain,
      slots: 4,
      isDraining: parsed.isDraining,
      bornMs: parsed.bornMs,
      softwareVersion: parsed.softwareVersion ?? undefined,
      modelVersions: new Map([['model', parsed.version]]),
    };
  } catch {
    return undefined;
  }
}
