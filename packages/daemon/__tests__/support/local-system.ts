/**
 * A small system in the test process: the platform, one engine, one plain service, their target
 * daemons and one entry.
 */
import * as configuration from '@azureworks/configuration';
import * as standins from '@azureworks/standins';
import * as undici from 'undici';
import * as runtime from '@azureworks/runtime';
import type * as daemons from '../../src/core/daemon';
import * as tls from '../../src/core/tls';
import * as entry from '../../src/entry/entry';
import * as target from '../../src/target/target';

const ADDRESS = '127.0.0.1';
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 20_000;

/** Configuration files of the small system. */
export const FILES = {
  'all.ini': [
    '[deployment small]',
    '[engine lm]',
    'deployment = small',
    'model = m',
    '[service app]',
    'deployment = small',
    'non_idempotent = POST /bookings',
    '[tenant open]',
    '[tenant closed]',
    // SHA-256 of "secret".
    'token_sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b',
    '[trainer coach]',
    'deployment = small',
    'engine = lm',
    '[limits]',
    'maximum_body_bytes = 10000',
  ].join('\n'),
};

/** Lines that a test adds to the settings of every daemon. */
export type ExtraSettings = readonly string[];

interface RunningDaemon {
  readonly daemon: daemons.Daemon;
  readonly ports: daemons.Ports;
}

/** A running system. */
export class LocalSystem {
  private readonly stopCallbacks: (() => Promise<void> | void)[] = [];

  private incarnation = 1;

  url = '';

  entry!: RunningDaemon;

  engineDaemon!: RunningDaemon;

  serviceDaemon!: RunningDaemon;

  readonly platform = standins.PlatformStandin.create({
    weightBytesPerSecond: 1e9,
    vmLagMs: 0,
  });

  readonly engine = standins.EngineStandin.create({
    name: 'lm-1',
    model: 'm',
    capacity: 8,
    tokenMs: 0.2,
    chunkTokens: 4,
    prefillMs: 1,
    swapMs: 20,
    loadLagMs: 50,
    weightBytes: 1000,
    platformUrl: undefined,
    isFencingChecked: false,
  });

  readonly service = standins.PlainServiceStandin.create({ name: 'app-1', serviceMs: 2 });

  /** Starts everything and applies the configuration. */
  static async create(extra: ExtraSettings = []): Promise<LocalSystem> {
    const system = new LocalSystem();
    await system.start(extra);
    return system;
  }

  async stop(): Promise<void> {
    for (const stop of this.stopCallbacks.reverse()) await stop();
  }

  /** Posts JSON to the entry. */
  async post(
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<{ status: number; headers: Record<string, unknown>; text: string }> {
    const response = await undici.request(`${this.url}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-azureworks-tenant': 'open', ...headers },
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
    const text = await response.body.text();
    return { status: response.statusCode, headers: response.headers, text };
  }

  private async start(extra: ExtraSettings): Promise<void> {
    const platformUrl = await this.listen(this.platform);
    const engineUrl = await this.listen(this.engine);
    const serviceUrl = await this.listen(this.service);
    this.engineDaemon = await this.startTarget(
      'lm-1',
      'lm',
      'engine',
      engineUrl,
      platformUrl,
      extra,
    );
    this.serviceDaemon = await this.startTarget(
      'app-1',
      'app',
      'service',
      serviceUrl,
      platformUrl,
      extra,
    );
    this.entry = await this.startEntry(platformUrl, extra);
    this.url = `http://${ADDRESS}:${this.entry.ports.httpPort}`;
    await this.publishVms(platformUrl);
    await this.post('/v1/configuration/changes', {
      id: 'first-change',
      baseRevision: 0,
      put: FILES,
      remove: [],
    });
    await this.waitUntilReady();
  }

  private async listen(standin: {
    readonly server: { listen(address: string, port: number): Promise<number>; close(): void };
  }): Promise<string> {
    const port = await standin.server.listen(ADDRESS, 0);
    this.stopCallbacks.push(() => standin.server.close());
    return `http://${ADDRESS}:${port}`;
  }

  private startTarget(
    name: string,
    service: string,
    kind: string,
    url: string,
    platformUrl: string,
    extra: ExtraSettings,
  ): Promise<RunningDaemon> {
    const lines = ['[target]', `service = ${service}`, `kind = ${kind}`, `url = ${url}`];
    const settings = createSettings(name, 'target', platformUrl, [...lines, ...extra]);
    const credentials = tls.createCredentials(settings);
    this.incarnation += 1;
    const log = runtime.SilentLog.create();
    return this.run(target.TargetDaemon.create(settings, credentials, this.incarnation, log));
  }

  private startEntry(platformUrl: string, extra: ExtraSettings): Promise<RunningDaemon> {
    const settings = createSettings('entry-1', 'entry', platformUrl, extra);
    const credentials = tls.createCredentials(settings);
    this.incarnation += 1;
    const log = runtime.SilentLog.create();
    return this.run(entry.EntryDaemon.create(settings, credentials, this.incarnation, log));
  }

  private async run(daemon: daemons.Daemon): Promise<RunningDaemon> {
    const ports = await daemon.start();
    this.stopCallbacks.push(() => daemon.stop());
    return { daemon, ports };
  }

  private async publishVms(platformUrl: string): Promise<void> {
    const create = (name: string, { ports }: RunningDaemon, role: string, service?: string) => ({
      vm: name,
      name,
      role,
      address: ADDRESS,
      ...ports,
      failureDomain: 'one',
      region: 'default',
      state: 'live',
      service,
    });
    const vms = [
      create('entry-1', this.entry, 'entry'),
      create('lm-1', this.engineDaemon, 'target', 'lm'),
      create('app-1', this.serviceDaemon, 'target', 'app'),
    ];
    await undici.request(`${platformUrl}/vms`, {
      method: 'POST',
      body: JSON.stringify({ vms }),
    });
  }

  private async waitUntilReady(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      const response = await undici.request(`${this.url}/v1/status`);
      const status = (await response.body.json()) as { targets: { revision: number }[] };
      if (status.targets.filter(({ revision }) => revision >= 1).length === 2) return;
      await new Promise((resolve) => {
        setTimeout(resolve, READY_POLL_MS);
      });
    }
    throw new Error('the system did not become ready before the timeout');
  }
}

/** Settings of a daemon of the small system. */
export function createSettings(
  name: string,
  role: string,
  platformUrl: string,
  extra: ExtraSettings,
): configuration.Settings {
  const lines = [
    '[daemon]',
    `role = ${role}`,
    `name = ${name}`,
    `address = ${ADDRESS}`,
    'failure_domain = one',
    '[platform]',
    `url = ${platformUrl}`,
    ...extra,
  ];
  return configuration.parseSettings({ 'settings.ini': lines.join('\n') })._unsafeUnwrap();
}
