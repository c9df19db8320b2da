/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// Trainers submit batch jobs with long prompts and end each of them a second after it was accepted, in the
// disruption some of them at once. No item of an ended job may run more than `cancel_ms` after the end was
// acknowledged.
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as clients from '../support/client.mjs';
import * as records from '../support/record.mjs';
import * as systems from '../support/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CANCEL_MS = 3000;
/** The largest dose of `give_up` in the site file: a share of 0.4, for 6 s, within 900 ms. */
const PROMPT_SHARE = 0.4;
const WINDOW_MS = 6000;
const WINDOW_INTERVAL_MS = 8000;
const JOBS = 96;
const SUBMISSION_INTERVAL_MS = 1000;
const USUAL_END_DELAY_MS = 1000;
const ITEMS = 32;
const PROMPT_BYTES = 100_000;
const MODELS = ['m0', 'm1', 'm2', 'm3'];

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const record = records.Record.create(path.join(folder, 'record.txt'));
const runs = [];
/** When the end of a job was acknowledged. */
const ends = new Map();
let promptEnds = 0;

/** How long a trainer waits before it ends a job that was just accepted. */
function chooseEndDelayMs() {
  const isInWindow = (performance.now() - record.startMs) % WINDOW_INTERVAL_MS < WINDOW_MS;
  if (!HAS_TROUBLE || !isInWindow || Math.random() >= PROMPT_SHARE) return USUAL_END_DELAY_MS;
  promptEnds += 1;
  return 0;
}

function createJob(id, model) {
  const requests = Array.from({ length: ITEMS }, (_unused, index) => ({
    id: `${id}-${index}`,
    path: `/${model}/items/${id}-${index}`,
    headers: {
      'X-Azureworks-Model': model,
      'X-Azureworks-Token-Count': '25000,400',
      'X-Azureworks-Length-Hint': '78',
    },
    body: Buffer.alloc(PROMPT_BYTES, `${id}-${index} `).toString('base64'),
    token_count: 25_400,
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

async function submitAndEnd({ gateways }, number) {
  const id = `job${process.pid}x${number}`;
  const model = MODELS[number % MODELS.length];
  const body = createJob(id, model);
  const call = async (what, method, target, options) => {
    const gateway = gateways[Math.floor(Math.random() * gateways.length)];
    const answer = await clients.send(gateway.address, method, target, options);
    record.add(`${id} ${what} at ${gateway.options.name}: ${answer.status}`);
    return answer.status;
  };
  const headers = { host: systems.HOST, 'content-type': 'application/json' };
  const submission = { headers: { ...headers, 'x-azureworks-attempt-id': id }, body };
  if ((await call('submitted', 'POST', `/${model}/${id}`, submission)) !== 202) return;
  await timers.setTimeout(chooseEndDelayMs());
  for (let attempt = 0; attempt < 5 && !ends.has(id); attempt += 1) {
    const status = await call('ended', 'DELETE', `/lots/${id}`, { headers });
    if (status === 200) ends.set(id, performance.now());
  }
}

async function run() {
  const system = await systems.System.create(
    {
      gatewayCount: 3,
      engineCount: 2,
      engineSlots: 8,
      models: MODELS,
      eventMs: 40,
      meanEvents: 78,
      hasEqualLengths: true,
    },
    (ran) => runs.push({ id: ran.id, replica: ran.replica, atMs: ran.atMs }),
  );
  try {
    await timers.setTimeout(4000);
    const jobs = [];
    for (let number = 0; number < JOBS; number += 1) {
      jobs.push(submitAndEnd(system, number));
      await timers.setTimeout(SUBMISSION_INTERVAL_MS);
    }
    await Promise.all(jobs);
    await timers.setTimeout(6000);
  } finally {
    await system.stop();
  }
  const getEndMs = ({ id }) => ends.get(id.split('-')[0]) ?? Infinity;
  const late = runs.filter((ran) => ran.atMs - getEndMs(ran) > CANCEL_MS);
  runs.forEach((ran) => {
    const afterMs = Math.round(ran.atMs - getEndMs(ran));
    const text = `${ran.replica} runs ${ran.id}, ${afterMs} ms after the end of its job`;
    if (afterMs > 0) record.add(`${late.includes(ran) ? 'BROKEN: ' : ''}${text}`, ran.atMs);
  });
  const jobs = new Set(late.map(({ id }) => id.split('-')[0]));
  const counts = `${JOBS} jobs, ${ends.size} ended, ${promptEnds} at once, ${runs.length} runs`;
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
