/**
 * Streams that may not run twice, at replicas of which some fail a part of their requests after they have
 * begun to run them.
 */
/* eslint-disable no-await-in-loop, import-x/extensions -- it runs as it stands, without a compiler */
import path from 'node:path';
import url from 'node:url';
import { Case, hasTrouble } from '../stand-ins-2/case.mjs';
import { createId, send } from '../stand-ins-2/client.mjs';
import { Gateway } from '../stand-ins-2/gateway.mjs';
import { Replica, pause } from '../stand-ins-2/replica.mjs';
import { Store } from '../stand-ins-2/store.mjs';

const HOST = 'talk.example';
const ROUTE = {
  name: 'talk',
  host: HOST,
  path_prefix: '/talk/',
  kind: 'streaming',
  service: 'talk-lm',
  timeout_ms: 6000,
  target_latency_ms: 500,
  max_attempts: 3,
  priority: 1,
};
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_048_576,
  header_timeout_ms: 5000,
  idle_timeout_ms: 10_000,
};
const EVENTS = 8;
const REPLICAS = 7;
/** One of seven replicas fails two of five requests for 5 s, as `srv_grey` does at most. */
const GREY_SHARE = 0.4;
const GREY_MS = 5000;
const SECONDS = 9;
const INTERVAL_MS = 20;
const REFUSALS = [408, 421, 429, 503];

const run = new Case(path.dirname(url.fileURLToPath(import.meta.url)));

await run.run(async () => {
  const store = new Store();
  await store.listen();
  run.closeLater(() => store.close());
  store.write('op', 'config', {
    version: 1,
    routes: [ROUTE],
    services: [{ name: 'talk-lm', max_conns: 100, health_path: '/health' }],
    limits: LIMITS,
  });

  let isGrey = false;
  let greyRequests = 0;
  const replicas = Array.from(
    { length: REPLICAS },
    (_unused, index) =>
      new Replica(store, {
        id: `i-${index}`,
        service: 'talk-lm',
        zone: 'zone-a',
        slots: 8,
        workMs: 20,
        isStreaming: true,
        countEvents: () => EVENTS,
        createData: (id, event) => `${id}/${event}`,
        onRequest: async (ran, request, response, common) => {
          if (!isGrey || index !== 0) return false;
          greyRequests += 1;
          if ((greyRequests * GREY_SHARE) % 1 >= GREY_SHARE) return false;
          // It has worked on the request for a while, and does not say that it has not run.
          await pause(30);
          response.writeHead(503, {
            ...common,
            'x-azureworks-server-stamp': `i-${index}.${ran.id}`,
            'content-length': 0,
          });
          response.end();
          return true;
        },
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
  for (let number = 0; performance.now() - startMs < SECONDS * 1000; number += 1) {
    const sinceMs = performance.now() - startMs;
    isGrey = hasTrouble && sinceMs >= 2000 && sinceMs < 2000 + GREY_MS;
    const id = createId();
    const gateway = gateways[number % 2];
    const attempt = send(gateway, {
      method: 'POST',
      path: `/talk/${number}`,
      host: HOST,
      id,
      headers: { 'x-azureworks-deadline-ms': 5000 },
      body: `prompt ${number}`,
    });
    pending.push(
      attempt.then((answer) => answers.push({ id, gateway: gateway.name, sinceMs, ...answer })),
    );
    await pause(INTERVAL_MS);
  }
  await Promise.all(pending);

  const runs = new Map();
  replicas.flatMap((replica) => replica.runs).forEach((ran) => runs.set(ran.id, ran));
  const counts = {};
  answers.forEach(({ status }) => Object.assign(counts, { [status]: (counts[status] ?? 0) + 1 }));
  run.note(`answers by status: ${JSON.stringify(counts)}; requests that ran: ${runs.size}`);
  answers.forEach(({ id, gateway, sinceMs, status, isWhole }) => {
    const ran = runs.get(id);
    const at = ran ? `ran at ${ran.replica}` : 'did not run';
    run.note(
      `${id} sent to ${gateway} after ${Math.round(sinceMs)} ms: ${status}, whole ${isWhole}, ${at}`,
    );
  });
  const refused = answers.filter(({ id, status }) => REFUSALS.includes(status) && runs.has(id));
  refused.forEach(({ id, status }) =>
    run.note(`request ${id} began to run at ${runs.get(id).replica}, and was answered ${status}`),
  );
  return refused.length === 0
    ? []
    : [`REFUSED: ${refused.length} streams were answered with a promise, and have run`];
});
