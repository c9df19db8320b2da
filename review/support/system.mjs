/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// A small deployment on loopback addresses: a store, replicas, and gateways as processes.
import * as gateways from './gateway.mjs';
import * as replicas from './replica.mjs';
import * as stores from './store.mjs';

export const HOST = 'azw.example';
const ZONES = ['klang-a', 'klang-b'];

export function createConfiguration({
  models,
  version = 1,
  extraRoutes = [],
  engineSlots,
  idleMs = 15_000,
}) {
  const common = { host: HOST, max_attempts: 3, priority: 1 };
  return {
    version,
    routes: [
      ...models.map((model) => ({
        ...common,
        name: `rollout-${model}`,
        path_prefix: `/${model}/`,
        kind: 'rollout',
        service: 'saran-lm',
        timeout_ms: 10_000,
        target_latency_ms: 500,
        result_due_ms: 7500,
        item_ttl_s: 40,
      })),
      {
        ...common,
        name: 'slot-sync',
        path_prefix: '/sync/',
        kind: 'idempotent',
        service: 'tempah-app',
        timeout_ms: 1500,
        target_latency_ms: 150,
        max_attempts: 4,
        priority: 2,
      },
      ...extraRoutes,
    ],
    services: [
      {
        name: 'saran-lm',
        max_conns: 140,
        engine: {
          slots: engineSlots,
          kv_capacity: 40_578,
          stride: 1,
          models: models.map((name) => ({ name })),
        },
      },
      { name: 'tempah-app', max_conns: 100 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 33_554_432,
      header_timeout_ms: 3000,
      idle_timeout_ms: idleMs,
    },
  };
}

export class System {
  /** @param options gatewayCount, engineCount, engineSlots, models, eventMs, meanEvents, extraRoutes */
  static async create(options, onRun) {
    const system = new System();
    const { models, engineCount, engineSlots, eventMs, meanEvents, gatewayCount } = options;
    const { hasEqualLengths = false, chooseEvents } = options;
    const host = gateways.createHost(250);
    system.store = await stores.Store.create(host);
    system.store.write('op', '', 'config', createConfiguration(options));
    const startReplica = (id, service, extra) =>
      replicas.Replica.create(
        system.store,
        {
          id,
          service,
          host,
          zone: ZONES[0],
          slots: 8,
          models: [],
          eventMs,
          meanEvents,
          hasEqualLengths,
          chooseEvents,
          workMs: 25,
          ...extra,
        },
        onRun,
      );
    system.startReplica = startReplica;
    system.replicas = [];
    for (let index = 0; index < engineCount; index += 1) {
      system.replicas.push(
        await startReplica(`i-engine${index}`, 'saran-lm', {
          models,
          slots: engineSlots,
          zone: ZONES[index % 2],
        }),
      );
    }
    for (let index = 0; index < 2; index += 1) {
      system.replicas.push(
        await startReplica(`i-plain${index}`, 'tempah-app', {
          slots: options.plainSlots ?? 12,
          zone: ZONES[index],
          workMs: options.plainWorkMs ?? 25,
        }),
      );
    }
    const hosts = Array.from({ length: gatewayCount }, (_unused, index) =>
      gateways.createHost(1 + index),
    );
    system.gateways = hosts.map((gatewayHost, index) =>
      gateways.Gateway.create({
        name: `front-${ZONES[index % 2]}-${1 + index}`,
        host: gatewayHost,
        zone: ZONES[index % 2],
        zones: ZONES,
        storeAddress: options.storeAddresses?.[index] ?? system.store.address,
        seeds: hosts.slice(0, 3),
      }),
    );
    system.gateways.forEach((gateway) => gateway.start());
    await Promise.all(system.gateways.map((gateway) => gateway.waitUntilReady()));
    return system;
  }

  async stop() {
    await Promise.all(this.gateways.map((gateway) => gateway.stop()));
    this.replicas.forEach((replica) => replica.close());
    this.store.close();
  }
}
