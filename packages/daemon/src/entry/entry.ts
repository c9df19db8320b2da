/**
 * The entry daemon: a supervised set of tasks behind the platform's load balancer, and its graceful
 * stop.
 */
import * as fs from 'node:fs';
import type * as configuration from '@azureworks/configuration';
import type * as links from '@azureworks/links';
import * as runtime from '@azureworks/runtime';
import type * as daemons from '../core/daemon';
import * as observability from '../core/observability';
import * as trainerApi from '../rollout/trainer-api';
import * as components from './components';
import * as callerApi from './caller-api';
import * as operatorApi from './operator-api';

/** Time for the load balancer to see that the entry is not ready, before the HTTP server closes. */
const LOAD_BALANCER_DELAY_MS = 300;

/** The daemon of one entry VM. */
export class EntryDaemon implements daemons.Daemon {
  private readonly supervisor: runtime.Supervisor;

  private isDraining = false;

  private constructor(
    private readonly options: components.EntryOptions,
    private readonly shared: components.SharedComponents,
    private readonly members: components.MembershipComponents,
    private readonly serving: components.ServingComponents,
  ) {
    const rollout = components.createRolloutComponents(options, shared, members, serving);
    this.addRoutes(rollout.rollout, rollout.weights);
    const tasks = [
      shared.http,
      serving.links,
      members.membership,
      members.configuration,
      rollout.executor,
      rollout.rollout,
      rollout.weights,
    ];
    this.supervisor = runtime.Supervisor.create('entry', tasks, options.log);
  }

  static create(
    settings: configuration.Settings,
    credentials: links.CredentialSource,
    incarnation: number,
    log: runtime.Log,
  ): EntryDaemon {
    const options = { settings, credentials, incarnation, log };
    const shared = components.createSharedComponents(options);
    const members = components.createMembershipComponents(options, shared);
    const serving = components.createServingComponents(options, shared, members);
    return new EntryDaemon(options, shared, members, serving);
  }

  async start(): Promise<daemons.Ports> {
    await this.supervisor.start();
    this.serving.admission.start();
    return {
      httpPort: this.shared.http.listeningPort,
      controlPort: this.members.membership.controlPort,
    };
  }

  /** Announces that the entry leaves, refuses new work, finishes requests in flight and stops. */
  async stop(): Promise<void> {
    this.isDraining = true;
    this.serving.stop.begin(this.options.settings.daemon.drain_timeout_ms);
    await this.members.membership.leave();
    await runtime.pause(LOAD_BALANCER_DELAY_MS);
    await this.shared.http.stop();
    this.serving.stop.complete();
    this.serving.admission.stop();
    await this.supervisor.stop();
    await this.shared.platform.close();
  }

  private addRoutes(
    rollout: trainerApi.TrainerApiOptions['rollout'],
    weights: trainerApi.TrainerApiOptions['weights'],
  ): void {
    const { http, clock, store, metrics } = this.shared;
    const { configuration: task, membership } = this.members;
    const { dispatcher, directory } = this.serving;
    const isDraining = (): boolean => this.isDraining;
    const apiOptions = { http, configuration: task, isDraining };
    callerApi.CallerApi.create({ ...apiOptions, dispatcher, clock });
    trainerApi.TrainerApi.create({ ...apiOptions, rollout, weights });
    operatorApi.OperatorApi.create({
      ...apiOptions,
      store,
      membership,
      directory,
      readToken: () => readToken(this.options.settings),
    });
    observability.addObservability(http, metrics, () => task.isConfirmed() && !this.isDraining);
  }
}

/** Reads the token on every use, so that a new one takes effect without a restart. */
function readToken(settings: configuration.Settings): string | undefined {
  const file = settings.operator.token_file;
  // eslint-disable-next-line n/no-sync -- a small local file, on operators' requests only
  return file === undefined ? undefined : fs.readFileSync(file, 'utf8').trim();
}
