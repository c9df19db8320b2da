/**
 * An entry daemon: the tree of tasks behind the platform's balancer, and its planned stop.
 */
import * as fs from 'node:fs';
import type * as configuration from '@azureworks/configuration';
import type * as links from '@azureworks/links';
import * as runtime from '@azureworks/runtime';
import type * as daemons from '../core/daemon';
import * as observability from '../core/observability';
import * as trainerApi from '../rollout/trainer-api';
import * as assembly from './assembly';
import * as callerApi from './caller-api';
import * as operatorApi from './operator-api';

/** How long the balancer is given to see that the entry is not ready. */
const LEAVING_NOTICE_MS = 300;

/** The daemon of one entry VM. */
export class EntryDaemon implements daemons.Daemon {
  private readonly tree: runtime.Supervisor;

  private isDraining = false;

  private constructor(
    private readonly identity: assembly.Identity,
    private readonly foundation: assembly.Foundation,
    private readonly members: assembly.Membership,
    private readonly serving: assembly.Serving,
  ) {
    const rollout = assembly.createRollout(identity, foundation, members, serving);
    this.addRoutes(rollout.rollout, rollout.weights);
    const tasks = [
      foundation.http,
      serving.links,
      members.membership,
      members.configuration,
      rollout.executor,
      rollout.rollout,
      rollout.weights,
    ];
    this.tree = runtime.Supervisor.create('entry', tasks, identity.log);
  }

  static create(
    settings: configuration.Settings,
    credentials: links.CredentialSource,
    incarnation: number,
    log: runtime.Log,
  ): EntryDaemon {
    const identity = { settings, credentials, incarnation, log };
    const foundation = assembly.createFoundation(identity);
    const members = assembly.createMembership(identity, foundation);
    const serving = assembly.createServing(identity, foundation, members);
    return new EntryDaemon(identity, foundation, members, serving);
  }

  async start(): Promise<daemons.Ports> {
    await this.tree.start();
    this.serving.admission.start();
    return {
      httpPort: this.foundation.http.listeningPort,
      controlPort: this.members.membership.controlPort,
    };
  }

  /** Leaves, refuses new work, finishes what is in flight and stops. */
  async stop(): Promise<void> {
    this.isDraining = true;
    await this.members.membership.leave();
    await runtime.pause(LEAVING_NOTICE_MS);
    await this.foundation.http.stop();
    this.serving.admission.stop();
    await this.tree.stop();
    await this.foundation.platform.close();
  }

  private addRoutes(
    rollout: trainerApi.TrainerApiOptions['rollout'],
    weights: trainerApi.TrainerApiOptions['weights'],
  ): void {
    const { http, clock, store, metrics } = this.foundation;
    const { configuration: task, membership } = this.members;
    const { dispatcher, directory } = this.serving;
    const isDraining = (): boolean => this.isDraining;
    const shared = { http, configuration: task, isDraining };
    callerApi.CallerApi.create({ ...shared, dispatcher, clock });
    trainerApi.TrainerApi.create({ ...shared, rollout, weights });
    operatorApi.OperatorApi.create({
      ...shared,
      store,
      membership,
      directory,
      readToken: () => readToken(this.identity.settings),
    });
    observability.addObservability(http, metrics, () => task.isConfirmed() && !this.isDraining);
  }
}

/** The token is read whenever it is needed, so that a new one takes effect without a restart. */
function readToken(settings: configuration.Settings): string | undefined {
  const file = settings.operator.token_file;
  // eslint-disable-next-line n/no-sync -- a small local file, on operators' requests only
  return file === undefined ? undefined : fs.readFileSync(file, 'utf8').trim();
}
