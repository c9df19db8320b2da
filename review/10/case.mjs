/**
 * A route under the prefix of an application's items, added by a change of the configuration, on a host that
 * has no batch jobs.
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
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_048_576,
  header_timeout_ms: 5000,
  idle_timeout_ms: 10_000,
};
const SECONDS = 10;
const CHANGE_AT_MS = 2000;
/** After the acknowledgement, `config_apply_ms`, and a second more. */
const SETTLED_MS = 3000;
const INTERVAL_MS = 50;
/** Own answers with 4xx that the rule allows, besides one in 500. */
const ALLOWED = 5;

function createRoute(name, prefix) {
  return {
    name,
    host: HOST,
    path_prefix: prefix,
    kind: 'idempotent',
    service: 'shop-app',
    timeout_ms: 2000,
    target_latency_ms: 200,
    max_attempts: 3,
    priority: 1,
  };
}

const run = new Case(path.dirname(url.fileURLToPath(import.meta.url)));

await run.run(async () => {
  const store = new Store();
  await store.listen();
  run.closeLater(() => store.close());
  const writeConfiguration = (version, routes) => {
    store.write('op', 'config', {
      version,
      routes,
      services: [{ name: 'shop-app', max_conns: 100, health_path: '/health' }],
      limits: LIMITS,
    });
    run.note(`configuration ${version}: ${routes.map(({ path_prefix: prefix }) => prefix)}`);
  };
  writeConfiguration(1, [createRoute('pages', '/pages/')]);
  const replicas = Array.from(
    { length: 3 },
    (_unused, index) =>
      new Replica(store, {
        id: `i-${index}`,
        service: 'shop-app',
        zone: 'zone-a',
        slots: 6,
        workMs: 20,
      }),
  );
  await Promise.all(replicas.map((replica) => replica.start()));
  const gateways = [1, 2].map((number) => new Gateway(`front-${number}`, 'zone-a', store.address));
  gateways.forEach((gateway) => run.closeLater(() => gateway.discard()));
  await Promise.all(gateways.map((gateway) => gateway.start()));
  await pause(4000);

  const answers = [];
  const pending = [];
  const startMs = performance.now();
  let changedMs;
  for (let number = 0; performance.now() - startMs < SECONDS * 1000; number += 1) {
    const nowMs = performance.now();
    if (hasTrouble && changedMs === undefined && nowMs - startMs >= CHANGE_AT_MS) {
      changedMs = nowMs;
      writeConfiguration(4, [createRoute('pages', '/pages/'), createRoute('items', '/items/')]);
    }
    const isSettled = changedMs !== undefined && nowMs - changedMs >= SETTLED_MS;
    const target = isSettled && number % 2 === 0 ? `/items/${number}` : `/pages/${number}`;
    const id = createId();
    const gateway = gateways[Math.floor(number / 2) % 2];
    const attempt = send(gateway, {
      method: 'GET',
      path: target,
      host: HOST,
      id,
      headers: { 'x-azureworks-deadline-ms': 1500 },
    });
    pending.push(
      attempt.then((answer) => {
        answers.push({ target, ...answer });
        const stamp = answer.headers['x-azureworks-server-stamp'] ?? 'none';
        run.note(`${gateway.name} ${id} GET ${target}: ${answer.status}, stamp ${stamp}`);
      }),
    );
    await pause(INTERVAL_MS);
  }
  await Promise.all(pending);

  const ran = replicas.flatMap((replica) => replica.runs).length;
  const denied = answers.filter(
    ({ status, headers }) =>
      status >= 300 && status < 500 && headers['x-azureworks-server-stamp'] === undefined,
  );
  run.note(`${answers.length} requests, ${ran} ran, ${denied.length} were denied`);
  return denied.length <= ALLOWED + answers.length / 500
    ? []
    : [`DENIED: ${denied.length} of ${answers.length} requests, all of them proper`];
});
