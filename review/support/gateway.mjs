/* eslint n/no-sync: "off", n/no-process-exit: "off", no-console: "off", no-await-in-loop: "off",
  no-restricted-syntax: "off", class-methods-use-this: "off", no-use-before-define: "off",
  import-x/extensions: "off", import-x/prefer-default-export: "off" --
  plain modules for Node.js; the repository makes the same exceptions for its own programs */
// Starts gateways as processes of their own, with the command of the deploy file.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';

export const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const START_TIMEOUT_MS = 15_000;

const running = new Set();
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));
['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => process.once(signal, () => process.exit(2)));

/** The command of the only role. */
function readCommand() {
  const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Loopback addresses that no other run on this machine uses. */
export function createHost(number) {
  return `127.${20 + (Math.floor(process.pid / 250) % 200)}.${1 + (process.pid % 250)}.${number}`;
}

export class Gateway {
  logLines = [];

  exits = [];

  /** @param options name, host, zone, zones, storeAddress, seeds */
  static create(options) {
    const gateway = new Gateway();
    gateway.options = options;
    gateway.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-gateway-'));
    gateway.ports = [8149, 8141, 8144];
    return gateway;
  }

  get address() {
    return `${this.options.host}:${this.ports[0]}`;
  }

  get pid() {
    return this.child?.pid;
  }

  start() {
    const file = path.join(this.folder, 'node.conf');
    fs.writeFileSync(file, this.createSettings());
    const [, ...parameters] = readCommand();
    const child = childProcess.spawn(process.execPath, parameters, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: this.folder, AZUREWORKS_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    running.add(child);
    child.stdout.on('data', (bytes) => this.logLines.push(bytes.toString()));
    child.stderr.on('data', (bytes) => this.logLines.push(bytes.toString()));
    child.on('exit', (code, signal) => {
      running.delete(child);
      this.exits.push({ code, signal, atMs: performance.now() });
    });
  }

  kill(signal) {
    this.child?.kill(signal);
  }

  isReady() {
    return new Promise((resolve) => {
      const request = http.get(`http://${this.options.host}:${this.ports[1]}/ready`, {
        timeout: 900,
        agent: false,
      });
      request.on('response', (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  async waitUntilReady() {
    const endMs = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if (await this.isReady()) return;
      await timers.setTimeout(50);
    }
    throw new Error(`${this.options.name} was not ready in ${START_TIMEOUT_MS} ms`);
  }

  async stop() {
    const { child } = this;
    if (child && child.exitCode === null && child.signalCode === null) {
      const exited = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      await exited;
    }
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  createSettings() {
    const { name, host, zone, zones, storeAddress, seeds } = this.options;
    const [front, ready, control] = this.ports;
    return [
      `node_name=${name}`,
      'role=entry',
      'machine_class=front',
      'serves=front,control',
      `ip=${host}`,
      `zone=${zone}`,
      'region=my-west',
      ...zones.map((other) => `zones.${other}=my-west`),
      `listen.front=${host}:${front}`,
      `listen.ready=${host}:${ready}`,
      `listen.control=${host}:${control}`,
      'internal_ports=7380,7395',
      `seeds=${seeds.map((seed) => `${seed}:${control}`).join(',')}`,
      'bootstrap=true',
      'limits.cpu_share=0.675',
      'limits.cores=2',
      'limits.memory_mb=370',
      'limits.max_fds=8200',
      'limits.link_mbps=1000.0',
      'limits.disk_mb=0',
      'discovery=platform',
      'entry=vip',
      'heartbeat_ms=1200',
      'contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform',
      'bounds.stable_window_ms=3000',
      'bounds.ack_ms=4000',
      'bounds.drain_ms=2000',
      'bounds.grace_s=8',
      'bounds.loss_slack_ms=200',
      'bounds.config_apply_ms=2000',
      'bounds.recover_s=12',
      'bounds.status_s=120',
      'bounds.cancel_ms=3000',
      'bounds.settle_ms=1000',
      'bounds.require_fence=true',
      'bounds.lease_ms=3000',
      'bounds.thaw_slack_ms=300',
      `platform.address=${storeAddress}`,
      'platform.form=table',
      'platform.writes_per_s=800',
      'platform.reads_per_s=2000',
      'platform.tx_ms=6.0',
      'platform.part_writes_s=200',
      'platform.row_bytes=65536',
      'platform.across=false',
      'platform.history_s=20',
      '',
    ].join('\n');
  }
}
