/**
 * The control port of a target daemon, on which entries open links. The daemon sends its identity,
 * its load and a notice when it is leaving; entries send the configuration and weight orders.
 */
import * as links from '@azureworks/links';
import type * as configuration from '@azureworks/configuration';
import type * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import * as resources from '../core/resources';
import * as topics from '../core/topic';
import type * as states from './target-state';
import type * as work from './work-task';

export interface LinksTaskOptions {
  readonly settings: configuration.Settings;
  readonly incarnation: number;
  readonly credentials: links.CredentialSource;
  readonly state: states.TargetState;
  readonly work: work.WorkTask;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  /** The port of the HTTP server, known once it listens. */
  readHttpPort(): number;
}

interface OpenLink {
  readonly link: links.TargetLink;
  heartbeatMs: number;
  sentMs: number;
}

const DEFAULT_HEARTBEAT_INTERVAL_MS = 500;
const HEARTBEAT_CHECK_INTERVAL_MS = 100;

/** Serves the links of entries. */
export class LinksTask implements runtime.Task, links.LinkHandlers {
  readonly name = 'links';

  /** Publishes the weight orders that entries send. */
  readonly orders = topics.Topic.create<links.WeightsOrder>();

  private readonly openLinks = new Map<links.TargetLink, OpenLink>();

  private server: links.ControlServer | undefined;

  private timer: NodeJS.Timeout | undefined;

  private boundPort = 0;

  private constructor(private readonly options: LinksTaskOptions) {
    options.metrics.gauge('links', {}, () => this.openLinks.size);
    options.metrics.gauge('revision', {}, () => options.state.revision);
    options.metrics.gauge('revision_confirmed', {}, () => (options.state.isConfirmed ? 1 : 0));
  }

  static create(options: LinksTaskOptions): LinksTask {
    return new LinksTask(options);
  }

  /** The port that the server is bound to; 0 before the first start. */
  get controlPort(): number {
    return this.boundPort;
  }

  async start(): Promise<void> {
    const { daemon } = this.options.settings;
    const { credentials, log, metrics } = this.options;
    const limit = resources.createControlLimit(daemon, log, metrics);
    const server = links.ControlServer.create(credentials, limit);
    server.addLinkService(this);
    this.server = server;
    this.boundPort = await server.listen(daemon.address, this.boundPort || daemon.control_port);
    this.timer = setInterval(() => this.sendHeartbeats(), HEARTBEAT_CHECK_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.server?.close();
    this.openLinks.clear();
  }

  /** Tells every entry that the target is leaving. */
  announceLeaving(): void {
    this.openLinks.forEach(({ link }) => link.send({ kind: links.LinkMessageKind.Leaving }));
  }

  /** Sends the load to every entry at once. */
  announceLoad(): void {
    this.openLinks.forEach((openLink) => this.sendLoad(openLink));
  }

  open(link: links.TargetLink): void {
    const { settings, incarnation } = this.options;
    const { daemon, target } = settings;
    if (!target) return;
    const openLink = { link, heartbeatMs: DEFAULT_HEARTBEAT_INTERVAL_MS, sentMs: -Infinity };
    this.openLinks.set(link, openLink);
    link.send({
      kind: links.LinkMessageKind.TargetHello,
      name: daemon.name,
      service: target.service,
      targetKind: target.kind,
      failureDomain: daemon.failure_domain,
      region: daemon.region,
      address: daemon.address,
      httpPort: this.options.readHttpPort(),
      incarnation,
      ...(target.software_version !== undefined && { softwareVersion: target.software_version }),
    });
    if (this.options.state.isDraining) link.send({ kind: links.LinkMessageKind.Leaving });
    this.sendLoad(openLink);
  }

  receive(link: links.TargetLink, message: links.EntryMessage): void {
    const openLink = this.openLinks.get(link);
    if (!openLink) return;
    if (message.kind === links.LinkMessageKind.EntryHello) {
      openLink.heartbeatMs = message.heartbeatMs;
      return;
    }
    if (message.kind === links.LinkMessageKind.Weights) {
      this.orders.publish(message.order);
      return;
    }
    this.applyRevision(openLink, message);
  }

  close(link: links.TargetLink): void {
    this.openLinks.delete(link);
  }

  private applyRevision(
    openLink: OpenLink,
    { revision, confirmedAgoMs, echoMs, slice }: links.RevisionMessage,
  ): void {
    if (confirmedAgoMs === null) return;
    const { state, work: workTask, log, clock } = this.options;
    const previous = state.revision;
    // A message may have waited while this process was frozen. The echoed send time of the load
    // report bounds the age of the message.
    const ageMs = confirmedAgoMs + clock.nowMs() - echoMs;
    if (!state.confirm(revision, ageMs, slice)) return;
    if (slice) workTask.applyCapacity();
    if (state.revision === previous) return;
    log.info('revision', { revision: state.revision, previous });
    this.sendLoad(openLink);
  }

  private sendHeartbeats(): void {
    const nowMs = this.options.clock.nowMs();
    this.openLinks.forEach((openLink) => {
      if (nowMs - openLink.sentMs >= openLink.heartbeatMs) this.sendLoad(openLink);
    });
  }

  private sendLoad(openLink: OpenLink): void {
    const { work: workTask, state, clock } = this.options;
    openLink.sentMs = clock.nowMs();
    openLink.link.send({
      kind: links.LinkMessageKind.Load,
      load: {
        queued: workTask.queue.queued,
        running: workTask.queue.running,
        revision: state.revision,
        // Rounded down, so that an echo never makes a confirmation look younger than it is.
        sentMs: Math.floor(openLink.sentMs),
        weightVersions: { ...state.weightVersions },
        serviceTimeMs: workTask.serviceTimeMs,
      },
    });
  }
}
