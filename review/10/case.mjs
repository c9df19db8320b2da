/**
 * A route of batch jobs that is split between two engine services. A change of the configuration takes the
 * whole weight from one of them while a job runs; after that a replica there crashes.
 */
/* eslint-disable no-await-in-loop, import-x/extensions -- it runs as it stands, without a compiler */
import path from 'node:path';
import url from 'node:url';
import { Case, hasTrouble } from '../stand-ins-2/case.mjs';
import { createId, send } from '../stand-ins-2/client.mjs';
import { Gateway } from '../stand-ins-2/gateway.mjs';
import { Replica, pause } from '../stand-ins-2/replica.mjs';
import { Store } from '../stand-ins-2/store.mjs';

const HOST = 'train.example';
const MODEL = 'model-0';
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_048_576,
  header_timeout_ms: 5000,
  idle_timeout_ms: 10_000,
};
const ITEMS = 24;
const EVENTS = 110;
const EVENT_MS = 60;
const CONFIG_APPLY_MS = 2000;
const CHANGE_AT_MS = 1000;
/** After the change is in force, and a second more. */
const CRASH_AT_MS = CHANGE_AT_MS + CONFIG_APPLY_MS + 1000;
const CRASH_MS = 4500;
const RESULTS_WAIT_MS = 60_000;

const run = new Case(path.dirname(url.fileURLToPath(import.meta.url)));

function createConfiguration(version, weightOfB) {
  return {
    version,
    routes: [
      {
        name: 'rollouts',
        host: HOST,
        path_prefix: '/rollouts/',
        kind: 'rollout',
        traffic_split: [
          { service: 'llm-a', weight: 1 },
          { service: 'llm-b', weight: weightOfB },
        ],
        timeout_ms: 10_000,
        target_latency_ms: 500,
        result_due_ms: 7500,
        item_ttl_s: 90,
        max_attempts: 3,
        priority: 1,
      },
    ],
    services: ['llm-a', 'llm-b'].map((name) => ({
      name,
      max_conns: 140,
      health_path: '/health',
      engine: { slots: 8, kv_capacity: 40_578, stride: 1, models: [{ name: MODEL }] },
    })),
    limits: LIMITS,
  };
}

await run.run(async () => {
  const store = new Store();
  await store.listen();
  run.closeLater(() => store.close());
  store.write('op', 'config', createConfiguration(1, 1));
  store.write('op', `version/${MODEL}`, { model: MODEL, version: 1 });
  const createReplica = (service, number) =>
    new Replica(store, {
      id: `i-${service}-${number}`,
      service,
      zone: 'zone-a',
      slots: 8,
      workMs: EVENT_MS,
      isStreaming: true,
      models: { [MODEL]: 1 },
      countEvents: () => EVENTS,
      createData: (id, event) => `${id}/${event}`,
    });
  const replicas = ['llm-a', 'llm-b'].flatMap((service) =>
    [1, 2, 3].map((number) => createReplica(service, number)),
  );
  await Promise.all(replicas.map((replica) => replica.start()));
  const gateways = [1, 2].map((number) => new Gateway(`front-${number}`, 'zone-a', store.address));
  gateways.forEach((gateway) => run.closeLater(() => gateway.discard()));
  await Promise.all(gateways.map((gateway) => gateway.start()));
  await pause(5000);

  const job = createId();
  const requests = Array.from({ length: ITEMS }, (_unused, index) => ({
    id: createId(),
    path: '/rollouts/generate',
    headers: { 'X-Azureworks-Model': MODEL, 'X-Azureworks-Token-Count': `16,${EVENTS}` },
    body: Buffer.from(`prompt ${index}`).toString('base64'),
    token_count: 16 + EVENTS,
    group: `group-${index % 6}`,
  }));
  const submitted = await send(gateways[0], {
    method: 'POST',
    path: '/rollouts/submit',
    host: HOST,
    id: job,
    body: JSON.stringify({ step: 0, model: MODEL, min_version: 1, desired: 6, requests }),
  });
  run.note(`job ${job} with ${ITEMS} items: ${submitted.status}`);
  if (submitted.status !== 202) throw new Error('the job was not accepted');

  let changedMs = Infinity;
  if (hasTrouble) {
    await pause(CHANGE_AT_MS);
    store.write('op', 'config', createConfiguration(4, 0));
    changedMs = performance.now();
    run.note('configuration 4 acknowledged: llm-a has weight 1, llm-b has weight 0');
    await pause(CRASH_AT_MS - CHANGE_AT_MS);
    const crashed = replicas.find(({ options }) => options.service === 'llm-b');
    run.note(`${crashed.options.id} crashes with ${crashed.running} runs`);
    crashed.crash();
    setTimeout(async () => {
      crashed.unregister();
      const next = createReplica('llm-b', 4);
      await next.start();
      replicas.push(next);
    }, CRASH_MS);
  }

  let listed = [];
  const endMs = performance.now() + RESULTS_WAIT_MS;
  while (listed.length < ITEMS && performance.now() < endMs) {
    const page = await send(gateways[1], {
      method: 'GET',
      path: `/lots/${job}?after=0`,
      host: HOST,
    });
    if (page.status === 200) listed = JSON.parse(page.body).results;
    await pause(500);
  }
  run.note(`${listed.length} of ${ITEMS} items are listed`);

  const runs = replicas
    .flatMap((replica) => replica.runs)
    .sort((first, second) => first.atMs - second.atMs);
  const stale = runs.filter(
    ({ service, atMs }) => service === 'llm-b' && atMs > changedMs + CONFIG_APPLY_MS,
  );
  runs.forEach(({ id, replica, atMs, lastEventId }) => {
    const seconds = ((atMs - run.startMs) / 1000).toFixed(3);
    run.note(`at ${seconds} item ${id} reached ${replica}, after event ${lastEventId ?? 'none'}`);
  });
  return stale.map(
    ({ id, replica, atMs }) =>
      `CONFIG: item ${id} reached ${replica} ${Math.round(atMs - changedMs)} ms after the acknowledgement`,
  );
});
