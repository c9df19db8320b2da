/**
 * A small fleet of real processes, one of which is under untrusted clients: an entry, an engine and a plain
 * service with their daemons, and the platform.
 */
import * as undici from 'undici';
import * as runtime from '@azureworks/runtime';
import type * as children from '../../src/experiments/child-process';
import * as fleets from '../../src/experiments/fleet';
import * as processSampler from '../../src/clients/process-sampler';
import * as untrustedClients from '../../src/clients/untrusted-client';

const ADDRESS = '127.0.0.1';
const ORGANISATION = 'open';
const RETRY_INTERVAL_MS = 200;
const NOT_RUN = 'not-run';

/** Largest body of a caller, in bytes. */
export const MAXIMUM_BODY_BYTES = 1024 * 1024;

const CONFIGURATION = {
  'all.ini': [
    '[deployment small]',
    'region = here',
    '[engine lm]',
    'deployment = small',
    'model = m',
    '[service app]',
    'deployment = small',
    'non_idempotent = POST /bookings',
    `[tenant ${ORGANISATION}]`,
    '[trainer coach]',
    'deployment = small',
    'engine = lm',
    '[limits]',
    `maximum_body_bytes = ${MAXIMUM_BODY_BYTES}`,
  ].join('\n'),
};

/** Which process is attacked, and where it listens. */
export const Attacked = {
  Entry: 'entry',
  Target: 'target',
  EntryControl: 'entry-control',
  TargetControl: 'target-control',
} as const;

export type Attacked = (typeof Attacked)[keyof typeof Attacked];

/** What the clients of a crowd send: all the same, or each its own. */
export type ChooseSending =
  untrustedClients.Sending | ((index: number) => untrustedClients.Sending);

/** The response to a request. */
export interface Received {
  readonly status: number;
  readonly verdict: string | undefined;
}

/** The head of a request of the open organisation. */
export function createHead(path: string, ...headers: string[]): string {
  const common = [`Host: ${ADDRESS}`, `x-azureworks-tenant: ${ORGANISATION}`];
  return untrustedClients.createHead(path, [...common, ...headers]);
}

/** The fleet under attack. */
export class AttackedFleet {
  private clients: untrustedClients.UntrustedClient[] = [];

  private constructor(
    private readonly fleet: fleets.Fleet,
    private readonly daemon: children.ChildProcess,
    private readonly port: number,
    private readonly sampler: processSampler.ProcessSampler,
  ) {}

  static async create(
    attacked: Attacked,
    daemonSettings: readonly string[] = [],
  ): Promise<AttackedFleet> {
    const fleet = await fleets.Fleet.create({
      region: 'here',
      failureDomains: ['one'],
      entries: 1,
      services: [
        { service: 'lm', kind: 'engine', count: 1, options: ['--model', 'm'] },
        { service: 'app', kind: 'service', count: 1, options: [] },
      ],
      platformOptions: ['--vm-lag', '0'],
      platformTimeoutMs: 1000,
      daemonSettings,
    });
    const [entry] = fleet.entries;
    await putConfiguration(entry.daemon.url);
    await fleet.waitUntilReady(1);
    const isEntry = attacked === Attacked.Entry || attacked === Attacked.EntryControl;
    const target = fleet.targets.find(({ service }) => service === 'app') as fleets.FleetTarget;
    const { daemon } = isEntry ? entry : target;
    const { httpPort = 0, controlPort = 0 } = daemon.ports;
    const isHttp = attacked === Attacked.Entry || attacked === Attacked.Target;
    const sampler = processSampler.ProcessSampler.create(daemon.processId, [httpPort, controlPort]);
    return new AttackedFleet(fleet, daemon, isHttp ? httpPort : controlPort, sampler);
  }

  /** Starts clients, and waits until each has sent all that it ever will, or the time is over. */
  async attack(count: number, choose: ChooseSending, timeoutMs: number): Promise<void> {
    const crowd = Array.from({ length: count }, (_unused, index) => {
      const sending = typeof choose === 'function' ? choose(index) : choose;
      return new untrustedClients.UntrustedClient(this.port, ADDRESS, sending);
    });
    this.clients.push(...crowd);
    await untrustedClients.startCrowd(crowd, timeoutMs);
  }

  /** Books on new connections until a booking is not refused. */
  async bookOnce(): Promise<Received> {
    for (;;) {
      const received = await this.send('/v1/services/app/bookings', '{}');
      if (received.verdict !== NOT_RUN) return received;
      await runtime.pause(RETRY_INTERVAL_MS);
    }
  }

  /** Sends one request to the entry, on a new connection. */
  async send(path: string, body: undici.Dispatcher.DispatchOptions['body']): Promise<Received> {
    const dispatcher = new undici.Client(this.fleet.entries[0].daemon.url);
    try {
      const response = await dispatcher.request({
        path,
        method: 'POST',
        headers: { 'x-azureworks-tenant': ORGANISATION },
        body,
      });
      await response.body.dump();
      const verdict = response.headers['x-azureworks-verdict'] as string | undefined;
      return { status: response.statusCode, verdict };
    } finally {
      await dispatcher.destroy();
    }
  }

  /** Stops the attacked process as planned; resolves to its exit code. */
  stopDaemon(): Promise<number | null> {
    return this.daemon.stop();
  }

  async stop(): Promise<void> {
    this.sampler.stop();
    this.clients.forEach((client) => client.stop());
    this.fleet.killAll();
  }

  /** Whether the process that was attacked still runs. */
  get isAlive(): boolean {
    return this.sampler.isAlive && !this.daemon.hasEnded;
  }

  get peaks(): processSampler.Peaks {
    this.sampler.sample();
    return this.sampler.peaks;
  }
}

async function putConfiguration(url: string): Promise<void> {
  const change = { id: 'first-change', baseRevision: 0, put: CONFIGURATION, remove: [] };
  const response = await undici.request(`${url}/v1/configuration/changes`, {
    method: 'POST',
    body: JSON.stringify(change),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) throw new Error(`configuration not accepted: ${text}`);
}
