/**
 * A whole deployment on one machine: the platform, the targets with their daemons, the entries and
 * the trainers, each in its own process.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as children from './child-process';
import * as http from './http';
import * as ports from './ports';

/** A service and the number of its targets. */
export interface ServicePlan {
  readonly service: string;
  readonly kind: 'engine' | 'service';
  readonly count: number;
  /** Command line options of each target's stand-in. */
  readonly options: readonly string[];
}

/** The processes of a fleet and their settings. */
export interface FleetPlan {
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly entries: number;
  readonly services: readonly ServicePlan[];
  /** Command line options of the platform stand-in. */
  readonly platformOptions: readonly string[];
  /** Timeout of the daemons' calls to the platform. */
  readonly platformTimeoutMs: number;
  /** Additional Node.js flags of every daemon. */
  readonly runtimeFlags?: readonly string[];
  /** Further lines of the `[daemon]` section of every daemon's settings. */
  readonly daemonSettings?: readonly string[];
}

/** A target and its daemon. */
export interface FleetTarget {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly kind: 'engine' | 'service';
  standin: children.ChildProcess;
  daemon: children.ChildProcess;
}

/** An entry daemon. */
export interface FleetEntry {
  readonly name: string;
  readonly failureDomain: string;
  daemon: children.ChildProcess;
}

const ADDRESS = '127.0.0.1';
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_INTERVAL_MS = 100;

const PACKAGES_FOLDER = path.resolve(__dirname, '..', '..', '..');
const STANDIN_SCRIPT = path.join(PACKAGES_FOLDER, 'standins', 'dist', 'bin', 'standin.js');
const DAEMON_SCRIPT = path.join(PACKAGES_FOLDER, 'daemon', 'dist', 'bin', 'azureworksd.js');

/** Memory limits, equal to the flags in the first line of the daemon's script. */
const DAEMON_RUNTIME_FLAGS = ['--max-old-space-size=80', '--max-semi-space-size=4'];

/** Path of the operator command line. */
export const CLIENT_SCRIPT = path.join(PACKAGES_FOLDER, 'client', 'dist', 'bin', 'azureworks.js');

/** A running deployment. */
export class Fleet {
  readonly entries: FleetEntry[] = [];

  readonly targets: FleetTarget[] = [];

  readonly trainers: children.ChildProcess[] = [];

  private readonly temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'azureworks-'));

  private constructor(
    private readonly plan: FleetPlan,
    readonly platform: children.ChildProcess,
  ) {}

  /** Starts everything except the trainers. */
  static async create(plan: FleetPlan): Promise<Fleet> {
    const commandLine = ['platform', ...plan.platformOptions];
    const platform = await children.ChildProcess.create('platform', STANDIN_SCRIPT, commandLine);
    const fleet = new Fleet(plan, platform);
    const targets = plan.services.flatMap((service) =>
      Array.from({ length: service.count }, (_, index) => ({ service, index })),
    );
    await Promise.all(targets.map(({ service, index }) => fleet.addTarget(service, index)));
    const entries = Array.from({ length: plan.entries }, (_, index) => index);
    await Promise.all(entries.map((index) => fleet.addEntry(`entry-${index + 1}`)));
    await fleet.publishVms();
    return fleet;
  }

  /** Base URLs of the entries. */
  get entryUrls(): string[] {
    return this.entries.map((entry) => entry.daemon.url);
  }

  /** Starts a target and its daemon. */
  async addTarget(service: ServicePlan, index: number): Promise<FleetTarget> {
    const name = `${service.service}-${index + 1}`;
    const failureDomain = this.plan.failureDomains[index % this.plan.failureDomains.length];
    const port = await ports.allocatePort();
    const standin = await children.ChildProcess.create(name, STANDIN_SCRIPT, [
      service.kind,
      ...['--port', String(port)],
      ...['--name', name],
      ...(service.kind === 'engine' ? ['--platform', this.platform.url] : []),
      ...service.options,
    ]);
    const { kind } = service;
    const target: FleetTarget = {
      name,
      service: service.service,
      failureDomain,
      kind,
      standin,
      daemon: await this.startTargetDaemon(
        name,
        service.service,
        kind,
        failureDomain,
        standin,
        await allocateDaemonPorts(),
      ),
    };
    this.targets.push(target);
    this.targets.sort((first, second) => (first.name < second.name ? -1 : 1));
    return target;
  }

  async addEntry(name: string): Promise<FleetEntry> {
    const { failureDomains } = this.plan;
    const failureDomain = failureDomains[this.entries.length % failureDomains.length];
    const entry: FleetEntry = {
      name,
      failureDomain,
      daemon: await this.startDaemon(name, [
        ...this.createCommonSettings(name, 'entry', failureDomain, await allocateDaemonPorts()),
      ]),
    };
    this.entries.push(entry);
    this.entries.sort((first, second) => (first.name < second.name ? -1 : 1));
    return entry;
  }

  /** Restarts an entry daemon on the same ports. */
  async restartEntry(entry: FleetEntry): Promise<void> {
    const { name, failureDomain, daemon } = entry;
    const settings = this.createCommonSettings(name, 'entry', failureDomain, daemon.ports);
    entry.daemon = await this.startDaemon(entry.name, settings);
  }

  /** Restarts a target's daemon on the same ports. */
  async restartTargetDaemon(target: FleetTarget): Promise<void> {
    const { name, service, kind, failureDomain, standin } = target;
    target.daemon = await this.startTargetDaemon(
      name,
      service,
      kind,
      failureDomain,
      standin,
      target.daemon.ports,
    );
  }

  async addTrainer(name: string, options: readonly string[]): Promise<children.ChildProcess> {
    const commandLine = ['trainer', '--name', name, '--entries', this.entryUrls.join(',')];
    const child = await children.ChildProcess.create(name, STANDIN_SCRIPT, [
      ...commandLine,
      ...options,
    ]);
    this.trainers.push(child);
    return child;
  }

  /** Replaces the platform's VM list. */
  async publishVms(vms: readonly unknown[] = this.listVms()): Promise<void> {
    await http.postJson(`${this.platform.url}/vms`, { vms });
  }

  /** Returns the VMs of the fleet in the platform's format. */
  listVms(): Record<string, unknown>[] {
    const create = (
      member: FleetEntry | FleetTarget,
      role: string,
      service?: string,
    ): Record<string, unknown> => ({
      vm: `vm-${member.name}`,
      name: member.name,
      role,
      address: ADDRESS,
      httpPort: member.daemon.ports.httpPort,
      controlPort: member.daemon.ports.controlPort,
      failureDomain: member.failureDomain,
      region: this.plan.region,
      state: 'live',
      ...(service && { service }),
    });
    return [
      ...this.entries.map((entry) => create(entry, 'entry')),
      ...this.targets.map((target) => create(target, 'target', target.service)),
    ];
  }

  /** Waits until every entry has confirmed the revision and sees it on every target. */
  async waitUntilReady(revision: number): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady(revision))) {
      if (performance.now() > deadlineMs) throw new Error('the fleet did not become ready in time');
      await http.sleep(READY_POLL_INTERVAL_MS);
    }
  }

  /** Writes a folder of configuration files and returns its path. */
  writeConfiguration(name: string, files: Readonly<Record<string, string>>): string {
    const folder = path.join(this.temporaryFolder, name);
    fs.mkdirSync(folder, { recursive: true });
    Object.entries(files).forEach(([file, text]) => {
      fs.writeFileSync(path.join(folder, file), text);
    });
    return folder;
  }

  /** Stops everything; resolves to the names of daemons that did not stop cleanly. */
  async stop(): Promise<string[]> {
    await Promise.all(this.trainers.map((trainer) => trainer.stop('SIGKILL')));
    const daemons = [...this.entries, ...this.targets].map((member) => member.daemon);
    daemons.forEach((daemon) => daemon.signal('SIGCONT'));
    const codes = await Promise.all(daemons.map((daemon) => daemon.stop()));
    await Promise.all(this.targets.map((target) => target.standin.stop('SIGKILL')));
    await this.platform.stop('SIGKILL');
    fs.rmSync(this.temporaryFolder, { recursive: true, force: true });
    return daemons.filter((_daemon, index) => codes[index] !== 0).map((daemon) => daemon.name);
  }

  /** Kills all processes at once, for an interrupted experiment. */
  killAll(): void {
    const members = [...this.entries, ...this.targets].map((member) => member.daemon);
    const standins = this.targets.map((target) => target.standin);
    [...members, ...standins, ...this.trainers, this.platform].forEach((child) =>
      child.signal('SIGKILL'),
    );
    fs.rmSync(this.temporaryFolder, { recursive: true, force: true });
  }

  private async isReady(revision: number): Promise<boolean> {
    const names = this.targets.map((target) => target.name);
    const checks = this.entries.map(async (entry) => {
      const status = await http.getJson<{
        revision: number;
        confirmedAgoMs: number | null;
        targets: { name: string; revision: number }[];
      }>(`${entry.daemon.url}/v1/status`);
      const current = status.targets.filter((target) => target.revision >= revision);
      const isCurrent = status.revision >= revision && status.confirmedAgoMs !== null;
      return isCurrent && names.every((name) => current.some((target) => target.name === name));
    });
    return (await Promise.all(checks)).every(Boolean);
  }

  private startTargetDaemon(
    name: string,
    service: string,
    kind: string,
    failureDomain: string,
    standin: children.ChildProcess,
    daemonPorts: children.ReportedPorts,
  ): Promise<children.ChildProcess> {
    return this.startDaemon(name, [
      ...this.createCommonSettings(name, 'target', failureDomain, daemonPorts),
      '[target]',
      `service = ${service}`,
      `kind = ${kind}`,
      `url = ${standin.url}`,
    ]);
  }

  private createCommonSettings(
    name: string,
    role: string,
    failureDomain: string,
    daemonPorts: children.ReportedPorts,
  ): string[] {
    return [
      '[daemon]',
      `role = ${role}`,
      `name = ${name}`,
      `address = ${ADDRESS}`,
      `http_port = ${daemonPorts.httpPort ?? 0}`,
      `control_port = ${daemonPorts.controlPort ?? 0}`,
      `failure_domain = ${failureDomain}`,
      `region = ${this.plan.region}`,
      ...(this.plan.daemonSettings ?? []),
      '[platform]',
      `url = ${this.platform.url}`,
      `timeout_ms = ${this.plan.platformTimeoutMs}`,
    ];
  }

  private startDaemon(name: string, settings: readonly string[]): Promise<children.ChildProcess> {
    const file = path.join(this.temporaryFolder, `${name}.ini`);
    fs.writeFileSync(file, `${settings.join('\n')}\n`);
    return children.ChildProcess.create(
      name,
      DAEMON_SCRIPT,
      ['--settings', file],
      [...DAEMON_RUNTIME_FLAGS, ...(this.plan.runtimeFlags ?? [])],
    );
  }
}

async function allocateDaemonPorts(): Promise<children.ReportedPorts> {
  return { httpPort: await ports.allocatePort(), controlPort: await ports.allocatePort() };
}
