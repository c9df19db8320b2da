/* eslint n/no-sync: "off", n/no-process-exit: "off", no-await-in-loop: "off", no-restricted-syntax: "off" */
/* eslint max-classes-per-file: "off", no-promise-executor-return: "off", no-use-before-define: "off" */
/* eslint class-methods-use-this: "off", no-param-reassign: ["error", { props: false }] */
/**
 * Stand-ins for the cases of the third review, by the published pages only: the platform's metadata
 * store, plain replicas, model replicas, a link that can be cut, and the start of gateways with the
 * command of the deploy file. Everything listens on loopback addresses and free ports.
 */
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
export const nowMs = () => performance.now();

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Writes record.txt in the folder of the case. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.startMs = nowMs();
    this.lines = [];
    fs.writeFileSync(this.file, '');
  }

  add(text) {
    const line = `${((nowMs() - this.startMs) / 1000).toFixed(3).padStart(8)} ${text}`;
    this.lines.push(line);
    fs.appendFileSync(this.file, `${line}\n`);
  }
}

/** Runs a case and exits with 0 (rule held), 1 (rule broken) or 2 (could not run). */
export async function runCase(importUrl, run, limitMs = 110_000) {
  const record = new Record(path.dirname(fileURLToPath(importUrl)));
  const cleanups = [];
  const clean = () => cleanups.splice(0).forEach((cleanup) => cleanup());
  process.on('exit', clean);
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) =>
    process.on(signal, () => process.exit(COULD_NOT_RUN)),
  );
  setTimeout(() => {
    record.add('the case took too long');
    process.exit(COULD_NOT_RUN);
  }, limitMs).unref();
  let code = COULD_NOT_RUN;
  try {
    record.add(HAS_TROUBLE ? 'with the disruption' : 'without the disruption');
    const findings = await run({ record, onEnd: (cleanup) => cleanups.push(cleanup) });
    findings.forEach((finding) => record.add(`BROKEN ${finding}`));
    code = findings.length > 0 ? BROKEN : HELD;
    record.add(code === BROKEN ? 'rule broken' : 'rule held');
  } catch (error) {
    record.add(`could not run: ${error.stack ?? error}`);
  }
  process.exit(code);
}

export async function listen(server, host = '127.0.0.1', port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const { address, port: boundPort } = server.address();
  return `${address}:${boundPort}`;
}

async function readBody(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

const rowId = ({ table, part, key }) => `${table}\0${part ?? ''}\0${key}`;
const compareText = (first, second) => Buffer.compare(Buffer.from(first), Buffer.from(second));

/** The platform's metadata store. */
export class Store {
  /** What happens to a call: 'serve', or 'silent' (no answer until it is closed). */
  choose = () => 'serve';

  constructor() {
    this.rows = new Map();
    this.history = [];
    this.ver = 0;
    this.waiters = new Set();
    this.held = new Set();
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    this.address = await listen(this.server);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row for the operator, a trainer or a replica. */
  write(table, key, value) {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    this.apply({ set_keys: [{ table, part: '', key, value: encoded }] });
  }

  remove(table, key) {
    this.apply({ remove: [{ table, part: '', key }] });
  }

  read(table) {
    return [...this.rows.values()].filter((row) => row.table === table);
  }

  apply({ expected = [], set_keys: writes = [], remove: removals = [] }) {
    const isMet = expected.every((row) => (this.rows.get(rowId(row))?.ver ?? 0) === row.ver);
    if (!isMet) {
      const rows = expected.flatMap((row) => this.rows.get(rowId(row)) ?? []);
      return { status: 412, body: { rows } };
    }
    this.ver += 1;
    const { ver } = this;
    writes.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, ver };
      this.rows.set(rowId(row), row);
      this.history.push(row);
    });
    removals.forEach(({ table, part = '', key }) => {
      if (!this.rows.delete(rowId({ table, part, key }))) return;
      this.history.push({ table, part, key, ver, deleted: true });
    });
    [...this.waiters].forEach((wake) => wake());
    return { status: 200, body: {} };
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    if (this.choose(url, request) === 'silent') {
      this.held.add(response);
      return;
    }
    const { status, body: answer } = await this.respond(url, body, response);
    const text = JSON.stringify({
      ...answer,
      ver: answer.ver ?? this.ver,
      now_ms: Math.round(nowMs()),
    });
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async respond(url, body, response) {
    const query = url.searchParams;
    if (url.pathname === '/rows-tx') {
      await pause(4);
      const call = JSON.parse(body.toString());
      const changed = [...(call.set_keys ?? []), ...(call.remove ?? [])];
      if (changed.some(({ table }) => table === 'op' || table === 'servers'))
        return { status: 403, body: {} };
      if (body.length > 1_000_000 || changed.length + (call.expected ?? []).length > 100)
        return { status: 413, body: {} };
      return this.apply(call);
    }
    if (url.pathname === '/rows-get') return this.get(query);
    if (url.pathname === '/rows-parts') {
      const after = query.get('after') ?? '';
      const rows = this.read(query.get('table'));
      const all = [...new Set(rows.map(({ part }) => part))].sort(compareText);
      const parts = all.filter((part) => compareText(part, after) > 0);
      return {
        status: 200,
        body: { parts: parts.slice(0, 1000), more_pages: parts.length > 1000 },
      };
    }
    if (url.pathname === '/rows-feed') return this.feed(query, response);
    return { status: 404, body: {} };
  }

  get(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = this.read(query.get('table'))
      .filter(({ part, key }) => part === (query.get('part') ?? '') && compareText(key, from) >= 0)
      .filter(({ key }) => to === null || compareText(key, to) < 0)
      .sort((first, second) => compareText(first.key, second.key));
    return { status: 200, body: { rows: rows.slice(0, limit), more_pages: rows.length > limit } };
  }

  async feed(query, response) {
    const endMs = nowMs() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const after = Number(query.get('after') ?? 0);
    for (;;) {
      const rows = this.history.filter(
        ({ table, ver }) => table === query.get('table') && ver > after,
      );
      const { ver } = this;
      if (rows.length > 0 || nowMs() >= endMs || response.destroyed)
        return { status: 200, body: { rows, ver } };
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endMs - nowMs());
        this.waiters.add(wake);
      });
    }
  }
}

/** What a replica says of itself in the store. */
const HEARTBEAT_MS = 1200;

/** A replica: a plain service, or one that generates text when it has models. */
export class Replica {
  constructor(store, options) {
    this.store = store;
    this.options = { slots: 8, zone: 'zone-a', models: [], workMs: 20, ...options };
    this.born = Date.now();
    this.state = 'ready';
    this.runs = [];
    this.orders = [];
    this.running = 0;
    this.seqNo = 0;
    this.versions = new Map(this.options.models.map((name) => [name, 1]));
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
  }

  get id() {
    return this.options.id;
  }

  async start() {
    this.address = await listen(this.server);
    this.registeredAddress = this.address;
  }

  /** Registers under an address, which may be that of a link. */
  register(address = this.address) {
    this.registeredAddress = address;
    this.beat();
    this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.heartbeat);
    this.server.closeAllConnections();
    this.server.close();
  }

  listModels() {
    return [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }));
  }

  beat() {
    const { service, zone, slots } = this.options;
    this.store.write('servers', this.id, {
      service,
      address: this.registeredAddress,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      cold_left_ms: 0,
      seq_no: 0,
      stage: 'mixed',
      models: this.listModels(),
      born: this.born,
    });
  }

  async handle(request, response) {
    const { headers } = request;
    const expected = headers['x-azureworks-expect-instance'];
    const attempt = headers['x-azureworks-attempt-id'];
    const common = {
      ...(attempt !== undefined && { 'x-azureworks-attempt-id': attempt }),
      'x-azureworks-replica-load': `${this.running},0,${this.options.slots}`,
      'keep-alive': 'timeout=30',
    };
    const body = await readBody(request);
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...common, 'x-azureworks-not-run': '1' }).end();
      return;
    }
    if (request.url === '/report') this.report(response);
    else if (request.url === '/order') this.order(JSON.parse(body.toString()), response);
    else await this.run(request, response, common, body);
  }

  report(response) {
    const answer = JSON.stringify({
      stage: 'mixed',
      models: this.listModels(),
      busy: this.loading !== undefined,
      seq_no: this.seqNo,
      waiting: 0,
      running: this.running,
      kv_used: 0,
      kv_total: 40_000,
      handles: 0,
    });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(answer),
    });
    if (this.breaksOffReport?.() === true) {
      response.write(answer.slice(0, answer.length / 2));
      setTimeout(() => response.destroy(), 5);
    } else response.end(answer);
  }

  order(order, response) {
    this.orders.push({ atMs: nowMs(), ...order });
    this.onOrder?.(order);
    const lateMs = this.delaysOrder?.(order);
    if (lateMs !== undefined) {
      setTimeout(() => this.onLateOrder?.(order, this.carryOut(order)), lateMs);
      return;
    }
    response.writeHead(this.carryOut(order)).end();
  }

  /** Carries an order out if it may be; returns the status that says so. */
  carryOut(order) {
    const status = this.judgeOrder(order);
    if (status !== 202) return status;
    this.seqNo += 1;
    this.loading = order.model;
    setTimeout(() => {
      this.loading = undefined;
      this.versions.set(order.model, order.version);
      this.beat();
    }, this.options.loadMs ?? 900);
    return status;
  }

  judgeOrder({ model, version, expected }) {
    if (!this.versions.has(model)) return 400;
    if (this.loading !== undefined || (expected ?? this.seqNo) !== this.seqNo) return 409;
    return this.versions.get(model) === version ? 200 : 202;
  }

  async run(request, response, common, body) {
    const { headers, method, url } = request;
    const id = headers['x-azureworks-attempt-id'] ?? '';
    if (this.loading !== undefined && this.loading === headers['x-azureworks-model']) {
      response.writeHead(503, { ...common, 'x-azureworks-not-run': '1' }).end();
      return;
    }
    const run = { id, replica: this.id, atMs: nowMs(), headers, method, url, body, isDone: false };
    this.runs.push(run);
    this.onRun?.(run);
    this.running += 1;
    const stamp = { ...common, 'x-azureworks-server-stamp': `3e1b.${id}.${this.id}` };
    try {
      if (this.options.models.length > 0) await this.generate(run, response, stamp);
      else {
        await pause(this.options.workMs);
        run.isDone = true;
        if (!response.destroyed) {
          response.writeHead(200, { ...stamp, 'content-length': 6 });
          response.end('answer');
        }
      }
    } finally {
      this.running -= 1;
    }
  }

  async generate(run, response, stamp) {
    const { headers, id } = run;
    const model = headers['x-azureworks-model'] ?? '';
    let version = this.versions.get(model) ?? 1;
    response.writeHead(200, {
      ...stamp,
      'content-type': 'text/event-stream',
      'x-azureworks-weight-versions': String(version),
    });
    response.flushHeaders();
    const last = headers['last-event-id'];
    const first = last === undefined ? 1 : Number(last) + 1;
    for (let event = first; event <= countEvents(id); event += 1) {
      await pause(this.options.workMs);
      if (response.destroyed) return;
      const current = this.versions.get(model) ?? 1;
      const change = current === version ? '' : `x-azureworks-weight-versions: ${current}\n`;
      version = current;
      this.onEvent?.(run, event, version);
      response.write(`${change}id: ${event}\ndata: ${createEvent(id, event)}\n\n`);
    }
    run.isDone = true;
    response.end();
  }
}

export const createEvent = (id, event) => `${id}/${event}`;

/** The number of events of an item or stream, by its id. */
export function countEvents(id) {
  return 8 + ([...id].reduce((sum, character) => sum + character.charCodeAt(0), 0) % 8);
}

/** When TCP sends bytes again that were not acknowledged, in milliseconds after the first time. */
const RETRANSMISSIONS_MS = [200, 600, 1400, 3000, 6200, 12_600];

/**
 * The path from one machine to a replica. While it is cut, no packet passes. Bytes that were sent meanwhile
 * on an open connection arrive when TCP sends them again after the cut, also when their sender has closed
 * the connection; they are lost if it has reset it. A connection that is opened meanwhile comes to nothing.
 */
export class Link {
  constructor(target) {
    this.target = target;
    this.isCut = false;
    this.healedMs = -Infinity;
    this.connections = new Set();
    this.server = net.createServer({ allowHalfOpen: true }, (socket) => this.open(socket));
  }

  async start() {
    this.address = await listen(this.server);
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    this.healedMs = nowMs();
    this.connections.forEach((connection) => connection.onHealed());
  }

  open(socket) {
    if (this.isCut) {
      socket.on('error', () => {});
      socket.resume();
      return;
    }
    const [host, port] = this.target.split(':');
    const other = net.connect({ host, port: Number(port), allowHalfOpen: true });
    const ways = [new Way(this, socket, other), new Way(this, other, socket)];
    const connection = { socket, other, onHealed: () => ways.forEach((way) => way.plan()) };
    this.connections.add(connection);
    const end = () => {
      this.connections.delete(connection);
      socket.destroy();
      other.destroy();
    };
    [socket, other].forEach((side) => side.on('error', end));
    let closed = 0;
    [socket, other].forEach((side) =>
      side.on('close', () => {
        closed += 1;
        if (closed === 2) end();
      }),
    );
  }

  close() {
    this.connections.forEach(({ socket, other }) => {
      socket.destroy();
      other.destroy();
    });
    this.server.close();
  }
}

/** One direction of a connection. */
class Way {
  constructor(link, from, to) {
    this.link = link;
    this.to = to;
    this.held = [];
    from.on('data', (bytes) => this.pass(() => to.write(bytes)));
    from.on('end', () => this.pass(() => to.end()));
  }

  pass(deliver) {
    if (!this.link.isCut && this.held.length === 0) {
      deliver();
      return;
    }
    this.held.push({ deliver, sentMs: nowMs() });
    if (!this.link.isCut) this.plan();
  }

  /** Delivers everything at the first retransmission of the oldest bytes after the cut. */
  plan() {
    const [oldest] = this.held;
    if (!oldest || this.timer) return;
    const next = RETRANSMISSIONS_MS.map((ms) => oldest.sentMs + ms).find((ms) => ms >= nowMs());
    if (next === undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      if (this.link.isCut || this.to.destroyed) return;
      this.held.splice(0).forEach(({ deliver }) => deliver());
    }, next - nowMs());
  }
}

const [, RUN_COMMAND] = /^run = "(.*)"$/m.exec(
  fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'),
);
let machineCount = 0;

/** A machine with one gateway, started with the command of the deploy file. */
export class Machine {
  constructor(record, { name, zone = 'zone-a', storeAddress, settings = {} }) {
    machineCount += 1;
    const { pid } = process;
    this.record = record;
    this.name = name;
    this.zone = zone;
    this.ip = `127.${1 + (Math.floor(pid / 256) % 254)}.${pid % 256}.${machineCount}`;
    this.storeAddress = storeAddress;
    this.extraSettings = settings;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.file = path.join(this.folder, 'node.conf');
    this.log = [];
  }

  get front() {
    return `${this.ip}:${this.ports.front}`;
  }

  async prepare() {
    const servers = [net.createServer(), net.createServer(), net.createServer()];
    const addresses = [];
    for (const server of servers) addresses.push(await listen(server, this.ip));
    await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
    const [front, ready, control] = addresses.map((address) => Number(address.split(':')[1]));
    this.ports = { front, ready, control };
    fs.writeFileSync(this.file, this.createSettings());
  }

  createSettings() {
    const { front, ready, control } = this.ports;
    const settings = {
      node_name: this.name,
      role: 'entry',
      machine_class: 'front',
      serves: 'front,control',
      ip: this.ip,
      zone: this.zone,
      region: 'region',
      'zones.zone-a': 'region',
      'zones.zone-b': 'region',
      'listen.front': `${this.ip}:${front}`,
      'listen.ready': `${this.ip}:${ready}`,
      'listen.control': `${this.ip}:${control}`,
      seeds: '',
      'limits.cpu_share': 0.675,
      'limits.cores': 2,
      'limits.memory_mb': 602,
      'limits.max_fds': 8200,
      'bounds.drain_ms': 3000,
      'bounds.grace_s': 8,
      'bounds.loss_slack_ms': 200,
      'bounds.lease_ms': 3000,
      'bounds.status_s': 120,
      'bounds.thaw_slack_ms': 300,
      'platform.address': this.storeAddress,
      'platform.form': 'table',
      ...this.extraSettings,
    };
    const lines = Object.entries(settings).map(([key, value]) => `${key}=${value}`);
    return `${lines.join('\n')}\n`;
  }

  /** Starts the process. */
  start() {
    const [command, ...options] = RUN_COMMAND.split(' ');
    const { PATH, HOME = '/', LANG = 'C' } = process.env;
    this.child = spawn(command === 'node' ? process.execPath : command, options, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, AZUREWORKS_CONFIG: this.file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const { child } = this;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.record.add(`${this.name} ended, code ${code}, signal ${signal}`);
        resolve({ code, signal, atMs: nowMs() });
      });
    });
    let rest = '';
    child.stdout.on('data', (bytes) => {
      const lines = `${rest}${bytes}`.split('\n');
      rest = lines.pop();
      lines.forEach((line) => {
        this.log.push(line);
        this.onLog?.(line);
      });
    });
    this.record.add(`${this.name} started`);
  }

  async isReady() {
    try {
      const response = await sendRequest(`${this.ip}:${this.ports.ready}`, { path: '/ready' });
      return response.status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(limitMs = 15_000) {
    const endMs = nowMs() + limitMs;
    while (nowMs() < endMs) {
      if (await this.isReady()) return;
      await pause(30);
    }
    throw new Error(`${this.name} is not ready`);
  }

  signal(signal) {
    this.record.add(`${signal} to ${this.name}`);
    this.child.kill(signal);
  }

  discard() {
    this.child?.kill('SIGKILL');
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Sends one request on a connection of its own; rejects when there is no complete answer. */
export function sendRequest(
  address,
  { method = 'GET', path: target, headers = {}, body, limitMs },
) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const sent = http.request(
      { host, port: Number(port), method, path: target, headers, agent: false },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', reject);
        response.on('aborted', () => reject(new Error('answer broken off')));
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
          }),
        );
      },
    );
    sent.on('error', reject);
    if (limitMs !== undefined) {
      const timer = setTimeout(() => sent.destroy(new Error('given up by the client')), limitMs);
      sent.on('close', () => clearTimeout(timer));
    }
    sent.end(body);
  });
}

export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 33_554_432,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};
