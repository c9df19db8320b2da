/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// Trainers submit batch jobs. At that moment the store falls silent for 4.5 s: it has carried the submissions
// out and answers none. When it is back, the trainers submit the jobs again, which are accepted, and end them at
// once. No item of an ended job may run more than `cancel_ms` after the end was acknowledged.
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as clients from '../support/client.mjs';
import * as records from '../support/record.mjs';
import * as systems from '../support/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CANCEL_MS = 3000;
const STABLE_WINDOW_MS = 3000;
/** The length of `platform_down` with `how = "silent"` in the list of troubles of the site. */
const SILENCE_MS = 4500;
const ROUNDS = 5;
const ROUND_MS = 20_000;
const ITEMS = 48;
const MODELS = ['m0', 'm1', 'm2', 'm3', 'm4', 'm5'];

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const record = records.Record.create(path.join(folder, 'record.txt'));
const runs = [];
/** When the end of a job was first acknowledged. */
const ends = new Map();
const silences = [];
let jobCount = 0;

function createJob(id, model) {
  const requests = Array.from({ length: ITEMS }, (_unused, index) => ({
    id: `${id}-${index}`,
    path: `/${model}/items/${id}-${index}`,
    headers: {
      'X-Azureworks-Model': model,
      'X-Azureworks-Token-Count': '271,400',
      'X-Azureworks-Length-Hint': '40',
    },
    body: Buffer.from(`prompt of ${id}-${index}`).toString('base64'),
    token_count: 671,
    group: `${id}-g${Math.floor(index / 8)}`,
    scoring_endpoint: {
      id: `score-${id}-${index}`,
      host: systems.HOST,
      path: `/sync/${id}-${index}`,
      body: '',
    },
  }));
  return JSON.stringify({ step: 0, model, min_version: 1, desired: ITEMS / 8, requests });
}

/** Submits a job, at one gateway after the other until it is accepted, and ends it then. */
async function submitAndEnd({ gateways }, model) {
  jobCount += 1;
  const id = `job${process.pid}x${jobCount}`;
  const body = createJob(id, model);
  const first = Math.floor(Math.random() * gateways.length);
  const call = async (what, attempt, method, target, options) => {
    const gateway = gateways[(first + attempt) % gateways.length];
    const answer = await clients.send(gateway.address, method, target, options);
    record.add(`${id} ${what} at ${gateway.options.name}: ${answer.status}`);
    return answer.status;
  };
  const headers = { host: systems.HOST, 'content-type': 'application/json' };
  const submission = { headers: { ...headers, 'x-azureworks-attempt-id': id }, body };
  let attempt = 0;
  while ((await call('submitted', attempt, 'POST', `/${model}/${id}`, submission)) !== 202) {
    attempt += 1;
    if (attempt === 40) return;
    await timers.setTimeout(50);
  }
  while ((await call('ended', attempt, 'DELETE', `/lots/${id}`, { headers })) !== 200) {
    attempt += 1;
    if (attempt === 60) return;
  }
  ends.set(id, performance.now());
}

/** Lets the store fall silent while it carries out the submissions that come next. */
function fallSilentAtSubmission(store) {
  let isDue = true;
  Object.assign(store, {
    onCall: (_url, body) => {
      if (!isDue || !body.set_keys?.some(({ table, key }) => table === 'jobs' && key === 'head'))
        return;
      isDue = false;
      setTimeout(async () => {
        store.setSilent(true);
        record.add('the store falls silent');
        const fromMs = performance.now();
        await timers.setTimeout(SILENCE_MS);
        store.setSilent(false);
        record.add('the store is back');
        silences.push({ fromMs, toMs: performance.now() });
      }, 8);
    },
  });
}

function isInTouch(atMs) {
  return silences.every(({ fromMs, toMs }) => atMs < fromMs || atMs > toMs + STABLE_WINDOW_MS);
}

async function run() {
  const system = await systems.System.create(
    {
      gatewayCount: 2,
      engineCount: 2,
      engineSlots: 8,
      models: MODELS,
      eventMs: 40,
      meanEvents: 40,
    },
    (ran) => runs.push(ran),
  );
  try {
    await timers.setTimeout(4000);
    for (let round = 0; round < ROUNDS; round += 1) {
      if (HAS_TROUBLE) fallSilentAtSubmission(system.store);
      await Promise.all([
        timers.setTimeout(ROUND_MS),
        ...MODELS.map((model) => submitAndEnd(system, model)),
      ]);
    }
  } finally {
    await system.stop();
    const log = path.join(os.tmpdir(), `review-1-${process.pid}.log`);
    if (process.env.KEEP_LOG)
      fs.writeFileSync(log, system.gateways.flatMap(({ logLines }) => logLines).join(''));
  }
  const getEndMs = ({ id }) => ends.get(id.split('-')[0]) ?? Infinity;
  const late = runs.filter((ran) => ran.atMs - getEndMs(ran) > CANCEL_MS && isInTouch(ran.atMs));
  late.forEach((ran) => {
    const afterMs = Math.round(ran.atMs - getEndMs(ran));
    record.add(
      `BROKEN: ${ran.replica} runs ${ran.id}, ${afterMs} ms after the end of its job`,
      ran.atMs,
    );
  });
  const jobs = new Set(late.map(({ id }) => id.split('-')[0]));
  const counts = `${jobCount} jobs, ${ends.size} ended, ${silences.length} silences, ${runs.length} runs`;
  record.write(
    late.length > 0
      ? `UNASKED broken: ${late.length} items of ${jobs.size} ended jobs ran too late (${counts})`
      : `UNASKED held (${counts})`,
  );
  return late.length > 0 ? 1 : 0;
}

try {
  process.exit(await run());
} catch (error) {
  record.write(`the case could not run: ${error.stack}`);
  process.exit(2);
}
