/**
 * Clients that all ask for the same page. The failure domain with the three replicas of its service fails, and
 * shortly after that all gateways are killed. Replicas and gateways come back.
 */
/* eslint-disable no-await-in-loop, import-x/extensions -- it runs as it stands, without a compiler */
import path from 'node:path';
import url from 'node:url';
import { Case, hasTrouble } from '../stand-ins-2/case.mjs';
import { createId, send } from '../stand-ins-2/client.mjs';
import { Gateway } from '../stand-ins-2/gateway.mjs';
import { Replica, pause } from '../stand-ins-2/replica.mjs';
import { Store } from '../stand-ins-2/store.mjs';

const HOST = 'shop.example';
const PAGE = '/pages/today';
const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'pages',
      host: HOST,
      path_prefix: '/pages/',
      kind: 'idempotent',
      service: 'shop-app',
      timeout_ms: 2000,
      target_latency_ms: 300,
      max_attempts: 3,
      priority: 1,
    },
  ],
  services: [{ name: 'shop-app', max_conns: 100, health_path: '/health' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_048_576,
    header_timeout_ms: 5000,
    idle_timeout_ms: 10_000,
  },
};
const INTERVAL_MS = 20;
const CRASH_AT_MS = 5000;
/** The longest that the site file gives for `srv_crash`. */
const CRASH_MS = 4500;
const FINAL_FAULT_AT_MS = 7000;
const DOWN_MS = 1000;
const RECOVER_MS = 12_000;
/** How long requests are counted after that. */
const COUNTED_MS = 10_000;
const LEAST_SHARE = 0.25;

const run = new Case(path.dirname(url.fileURLToPath(import.meta.url)));

function computeShare(answers) {
  const served = answers.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  return {
    served,
    sent: answers.length,
    share: answers.length === 0 ? 0 : served / answers.length,
  };
}

await run.run(async () => {
  const store = new Store();
  await store.listen();
  run.closeLater(() => store.close());
  store.write('op', 'config', CONFIGURATION);
  const replicas = [];
  const startReplica = async (number, port) => {
    const replica = new Replica(store, {
      id: `i-${number}-${replicas.length}`,
      service: 'shop-app',
      zone: 'zone-b',
      slots: 6,
      workMs: 150,
    });
    replicas.push(replica);
    await replica.start(port);
    return replica;
  };
  const first = await Promise.all([1, 2, 3].map((number) => startReplica(number)));
  const gateways = [1, 2].map(
    (number) =>
      new Gateway(`front-${number}`, 'zone-a', store.address, { 'zones.zone-b': 'region' }),
  );
  gateways.forEach((gateway) => run.closeLater(() => gateway.discard()));
  await Promise.all(gateways.map((gateway) => gateway.start()));
  await pause(4000);

  const startMs = performance.now();
  let backMs = hasTrouble ? Infinity : startMs + FINAL_FAULT_AT_MS + DOWN_MS;
  const crash = async () => {
    await pause(CRASH_AT_MS);
    run.note('the failure domain of the replicas fails');
    first.forEach((replica) => replica.crash());
    await pause(CRASH_MS);
    first.forEach((replica) => replica.unregister());
    await Promise.all([1, 2, 3].map((number) => startReplica(number)));
    run.note('the replicas are back');
  };
  const killAll = async () => {
    await pause(FINAL_FAULT_AT_MS);
    run.note('all gateways are killed');
    gateways.forEach((gateway) => gateway.signal('SIGKILL'));
    await pause(DOWN_MS);
    await Promise.all(gateways.map((gateway) => gateway.start()));
    backMs = performance.now();
    run.note('all gateways are back');
  };
  const trouble = hasTrouble ? Promise.all([crash(), killAll()]) : Promise.resolve();

  const answers = [];
  const pending = [];
  const isOver = () => performance.now() > backMs + RECOVER_MS + COUNTED_MS;
  for (let number = 0; !isOver(); number += 1) {
    const sentMs = performance.now();
    const gateway = gateways[number % 2];
    const id = createId();
    const attempt = send(gateway, {
      method: 'GET',
      path: PAGE,
      host: HOST,
      id,
      headers: { 'x-azureworks-deadline-ms': 1500 },
    });
    pending.push(attempt.then((answer) => answers.push({ id, gateway, sentMs, ...answer })));
    await pause(INTERVAL_MS);
  }
  await Promise.all([...pending, trouble]);

  const ran = new Set(replicas.flatMap((replica) => replica.runs).map(({ id }) => id));
  answers
    .sort((one, other) => one.sentMs - other.sentMs)
    .forEach(({ id, gateway, sentMs, status, body }) => {
      const at = ((sentMs - run.startMs) / 1000).toFixed(3);
      const text = status === 200 ? '' : ` ${/"code":"([^"]*)"/.exec(body)?.[1] ?? ''}`;
      run.note(`sent at ${at} ${id} to ${gateway.name}: ${status}, ran ${ran.has(id)}${text}`);
    });
  const before = computeShare(answers.filter(({ sentMs }) => sentMs < startMs + CRASH_AT_MS - 500));
  const after = computeShare(answers.filter(({ sentMs }) => sentMs > backMs + RECOVER_MS));
  run.note(`before the faults ${before.served} of ${before.sent} were served`);
  run.note(
    `from 12 s after the gateways were back on ${after.served} of ${after.sent} were served`,
  );
  return before.share >= LEAST_SHARE && after.share < LEAST_SHARE
    ? [`RECOVER: ${after.served} of ${after.sent} requests served after the final fault`]
    : [];
});
