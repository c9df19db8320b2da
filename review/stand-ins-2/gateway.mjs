/**
 * A gateway process, started with the command of the deploy file on a loopback address of its own.
 */
/* eslint-disable no-await-in-loop, no-use-before-define, import-x/prefer-default-export, n/no-unsupported-features/node-builtins -- it runs as it stands, without a compiler */
import childProcess from 'node:child_process';
import fs from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import url from 'node:url';

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const START_TIMEOUT_MS = 15_000;
const running = new Set();
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** The command of the role in the deploy file, whose first word is the program. */
async function readCommand() {
  const text = await fs.readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]*)"/m.exec(text)[1].split(' ');
}

let count = 0;

export class Gateway {
  constructor(name, zone, storeAddress, settings = {}) {
    count += 1;
    Object.assign(this, { name, zone, storeAddress, settings });
    this.ip = `127.${50 + (process.pid % 150)}.${Math.floor(process.pid / 150) % 250}.${count}`;
    this.log = [];
    this.exits = [];
  }

  async start() {
    this.folder ??= await fs.mkdtemp(path.join(os.tmpdir(), 'review-2-'));
    this.ports ??= await findPorts(this.ip, 3);
    const [front, ready, control] = this.ports;
    const lines = {
      node_name: this.name,
      role: 'entry',
      machine_class: 'front',
      serves: 'front,control',
      ip: this.ip,
      zone: this.zone,
      region: 'region',
      [`zones.${this.zone}`]: 'region',
      'listen.front': `${this.ip}:${front}`,
      'listen.ready': `${this.ip}:${ready}`,
      'listen.control': `${this.ip}:${control}`,
      seeds: `${this.ip}:${control}`,
      'limits.cpu_share': 0.675,
      'limits.cores': 2,
      'limits.memory_mb': 370,
      'limits.max_fds': 8200,
      'bounds.grace_s': 8,
      'bounds.lease_ms': 3000,
      'bounds.status_s': 120,
      'bounds.require_fence': true,
      'platform.address': this.storeAddress,
      'platform.form': 'table',
      ...this.settings,
    };
    const file = path.join(this.folder, 'node.conf');
    const text = Object.entries(lines).map(([key, value]) => `${key}=${value}\n`);
    await fs.writeFile(file, text.join(''));
    const [program, ...words] = await readCommand();
    const child = childProcess.spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, AZUREWORKS_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    running.add(child);
    let rest = '';
    child.stdout.on('data', (bytes) => {
      const parts = (rest + bytes).split('\n');
      rest = parts.pop();
      this.log.push(...parts);
    });
    child.stderr.on('data', (bytes) => this.log.push(String(bytes)));
    child.on('exit', (code, signal) => {
      running.delete(child);
      this.exits.push({ atMs: performance.now(), code, signal });
    });
    const endMs = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if ((await this.fetchReady()) === 200) return;
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
    throw new Error(`${this.name} was not ready: ${this.log.slice(-3).join(' ')}`);
  }

  async fetchReady() {
    try {
      const response = await fetch(`http://${this.ip}:${this.ports[1]}/ready`, {
        signal: AbortSignal.timeout(1000),
      });
      await response.text();
      return response.status;
    } catch {
      return undefined;
    }
  }

  get host() {
    return this.ip;
  }

  get port() {
    return this.ports[0];
  }

  get isRunning() {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }

  async discard() {
    if (this.child) this.child.kill('SIGKILL');
    if (this.folder) await fs.rm(this.folder, { recursive: true, force: true });
  }
}

async function findPorts(ip, wanted) {
  const servers = await Promise.all(
    Array.from(
      { length: wanted },
      () =>
        new Promise((resolve, reject) => {
          const server = net.createServer().on('error', reject);
          server.listen(0, ip, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}
