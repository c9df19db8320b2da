/**
 * A target daemon: its supervised tasks and its planned stop.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as storage from '@azureworks/storage';
import * as runtime from '@azureworks/runtime';
import type * as daemons from '../core/daemon';
import * as httpTask from '../core/http-task';
import * as observability from '../core/observability';
import * as resources from '../core/resources';
import * as tls from '../core/tls';
import * as linksTask from './links-task';
import * as states from './target-state';
import * as weightsTask from './weights-task';
import * as workTask from './work-task';

/** Time for the notice of leaving to reach the entries before the HTTP server stops. */
const LEAVING_NOTICE_MS = 300;

/** The daemon that runs next to one target. */
export class TargetDaemon implements daemons.Daemon {
  private constructor(
    private readonly supervisor: runtime.Supervisor,
    private readonly components: {
      readonly http: httpTask.HttpTask;
      readonly state: states.TargetState;
      readonly work: workTask.WorkTask;
      readonly links: linksTask.LinksTask;
      readonly platform: storage.Storage;
    },
  ) {}

  static create(
    settings: configuration.Settings,
    credentials: links.CredentialSource,
    incarnation: number,
    log: runtime.Log,
  ): TargetDaemon {
    const { daemon } = settings;
    const target = settings.target as configuration.TargetSettings;
    const clock = decisions.MonotonicClock.create();
    const sharedMetrics = runtime.Metrics.create();
    const platform = storage.Storage.create(settings.platform.url, settings.platform.timeout_ms);
    const state = states.TargetState.create(clock);
    const http = httpTask.HttpTask.create({
      address: daemon.address,
      port: daemon.http_port,
      drainTimeoutMs: daemon.drain_timeout_ms,
      readKeys: tls.createKeyReader(settings),
      bodies: resources.createBodies(daemon, log, sharedMetrics),
    });
    const isEngine = target.kind === 'engine';
    const work = workTask.WorkTask.create({
      http,
      targetUrl: target.url,
      isEngine,
      incarnation,
      state,
      metrics: sharedMetrics,
      clock,
    });
    const linkTask = linksTask.LinksTask.create({
      settings,
      incarnation,
      credentials,
      state,
      work,
      metrics: sharedMetrics,
      log,
      clock,
      readHttpPort: () => http.listeningPort,
    });
    const weights = weightsTask.WeightsTask.create({
      target,
      tables: platform.tables,
      state,
      metrics: sharedMetrics,
      log,
      clock,
      abortStreams: () => work.abortStreams(),
      announceLoad: () => linkTask.announceLoad(),
    });
    linkTask.orders.subscribe((order) => weights.receive(order));
    work.connectionFailures.subscribe(() => weights.onEngineLost());
    observability.addObservability(
      http,
      sharedMetrics,
      () => state.isConfirmed && !state.isDraining,
    );
    const tasks = [http, ...(isEngine ? [weights] : []), work, linkTask];
    const supervisor = runtime.Supervisor.create('target', tasks, log);
    return new TargetDaemon(supervisor, { http, state, work, links: linkTask, platform });
  }

  async start(): Promise<daemons.Ports> {
    await this.supervisor.start();
    const { http, links: linkTask } = this.components;
    return { httpPort: http.listeningPort, controlPort: linkTask.controlPort };
  }

  /** Announces that the target is leaving, rejects queued work, finishes work in flight and stops. */
  async stop(): Promise<void> {
    const { http, state, work, links: linkTask, platform } = this.components;
    state.drain();
    linkTask.announceLeaving();
    work.queue.drain();
    await runtime.pause(LEAVING_NOTICE_MS);
    await http.stop();
    await this.supervisor.stop();
    await work.close();
    await platform.close();
  }
}
