/* eslint import-x/extensions: "off", no-await-in-loop: "off", no-restricted-syntax: "off" */
/**
 * The path from the machine that sends the orders to one replica is cut for some seconds, and the process on
 * that machine is killed meanwhile and started again. Replicas do not check fencing tokens. A replica must
 * not get an order with a lower fencing token after one with a higher token.
 */
import * as standIns from '../stand-ins-3/stand-ins.mjs';

const MODEL = 'm0';
const HOST = 'train.example';
const ITEMS = 12;
const CUT_MS = 4500;
const THAW_SLACK_MS = 300;
const RESTART_MS = 500;

function createBatchJob() {
  const requests = Array.from({ length: ITEMS }, (_unused, index) => ({
    id: `item-${index}`,
    path: `/train/${index}`,
    headers: {
      'X-Azureworks-Model': MODEL,
      'X-Azureworks-Token-Count': '100,64',
      'X-Azureworks-Prompt-Prefix': `9c2e41:80,${(0xa00 + index).toString(16)}:20`,
    },
    body: 'q83v',
    token_count: 164,
    group: `g${index % 3}`,
  }));
  return { step: 0, model: MODEL, min_version: 1, desired: 3, requests };
}

standIns.runCase(import.meta.url, async ({ record, onEnd }) => {
  const store = new standIns.Store();
  await store.start();
  onEnd(() => store.close());
  store.write('op', 'config', {
    version: 1,
    routes: [
      {
        name: 'train',
        host: HOST,
        path_prefix: '/train/',
        kind: 'rollout',
        service: 'engines',
        timeout_ms: 10_000,
        target_latency_ms: 500,
        max_attempts: 3,
        priority: 1,
        result_due_ms: 7500,
        item_ttl_s: 60,
      },
    ],
    services: [
      {
        name: 'engines',
        max_conns: 140,
        engine: { slots: 8, kv_capacity: 40_000, stride: 1, models: [{ name: MODEL }] },
      },
    ],
    limits: standIns.LIMITS,
  });
  const replicas = ['i-1', 'i-2'].map(
    (id) => new standIns.Replica(store, { id, service: 'engines', models: [MODEL] }),
  );
  for (const replica of replicas) {
    await replica.start();
    onEnd(() => replica.close());
    replica.onOrder = ({ version, fence_token: fence, expected }) =>
      record.add(
        `${replica.id} got an order: version ${version}, fence ${fence}, expected ${expected}`,
      );
  }
  const [replica, other] = replicas;
  const link = new standIns.Link(replica.address);
  await link.start();
  onEnd(() => link.close());
  replica.register(link.address);
  other.register();
  const machine = new standIns.Machine(record, {
    name: 'front-1',
    storeAddress: store.address,
    settings: { 'bounds.require_fence': false },
  });
  await machine.prepare();
  onEnd(() => machine.discard());
  machine.start();
  await machine.waitUntilReady();
  const name = (version) => {
    record.add(`the trainer names version ${version}`);
    store.write('op', `version/${MODEL}`, { model: MODEL, version });
  };
  await standIns.pause(2000);
  // Some items that run at the same time: connections to the replicas are open afterwards.
  const submitted = await standIns.sendRequest(machine.front, {
    method: 'POST',
    path: '/train/lot-1',
    headers: { host: HOST, 'x-azureworks-attempt-id': 'lot-1', 'content-type': 'application/json' },
    body: JSON.stringify(createBatchJob()),
  });
  record.add(`the batch job was answered ${submitted.status}`);
  await standIns.pause(2500);

  if (standIns.HAS_TROUBLE) {
    link.cut();
    record.add('the path to i-1 is cut');
  }
  const cutMs = standIns.nowMs();
  await standIns.pause(300);
  name(2);
  await standIns.pause(1500);
  if (standIns.HAS_TROUBLE) {
    machine.signal('SIGKILL');
    await machine.exited;
    await standIns.pause(RESTART_MS);
    machine.start();
  }
  await standIns.pause(4000 - (standIns.nowMs() - cutMs));
  name(3);
  await standIns.pause(CUT_MS - (standIns.nowMs() - cutMs));
  link.heal();
  if (standIns.HAS_TROUBLE) record.add('the path to i-1 is whole');
  const healedMs = standIns.nowMs();
  await standIns.pause(7000);
  record.add(`i-1 holds version ${replica.versions.get(MODEL)}`);

  if (replica.orders.length < 2) throw new Error('too few orders reached the replica');
  let highest = 0;
  return replica.orders.flatMap(({ atMs, fence_token: fence, version }) => {
    const isLower = fence < highest;
    highest = Math.max(highest, fence);
    const afterMs = Math.round(atMs - healedMs);
    if (!isLower || (afterMs >= 0 && afterMs <= THAW_SLACK_MS)) return [];
    return [
      `ONE: i-1 got version ${version} with fence ${fence} after fence ${highest}, ${afterMs} ms after the path was whole`,
    ];
  });
});
