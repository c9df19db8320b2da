/**
 * Generates groups on behalf of any entry. A group runs once here, however often it is requested,
 * and its result is kept for a while.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import type * as storage from '@azureworks/storage';
import type * as runtime from '@azureworks/runtime';
import type * as configurationTask from '../entry/configuration-task';
import type * as dispatchers from '../entry/dispatcher';
import type * as gossipStates from '../entry/gossip-state';
import * as groupRuns from './group-run';
import type * as sampleRuns from './sample-run';

export interface GroupExecutorOptions {
  readonly configuration: configurationTask.ConfigurationTask;
  readonly dispatcher: dispatchers.Dispatcher;
  readonly gossipState: gossipStates.GossipState;
  readonly objects: storage.ObjectStore;
  readonly metrics: runtime.Metrics;
  readonly clock: decisions.Clock;
}

type GroupOutcome = neverthrow.Result<links.GroupResult, decisions.Failure>;

interface Execution {
  readonly run: groupRuns.GroupRun;
  readonly outcome: Promise<GroupOutcome>;
}

const RESULT_RETENTION_MS = 60_000;
const STRAGGLER_CHECK_INTERVAL_MS = 200;
const MAXIMUM_MOVE_BUDGET = 100;

/** The cost of a move, in attempts: only the prompt is repeated, at most a fifth of an attempt. */
const MOVE_COST_ATTEMPTS = 0.2;

/** Runs each group once. */
export class GroupExecutor implements runtime.Task {
  readonly name = 'group-executor';

  private readonly executions = new Map<string, Execution>();

  /** In attempts: a started sample adds `second_attempt_share`, a move takes its cost. */
  private moveBudget = 0;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: GroupExecutorOptions) {
    options.gossipState.positionUpdates.subscribe((position) => this.onTrainerPosition(position));
    options.metrics.gauge('groups_running', {}, () => this.executions.size);
  }

  static create(options: GroupExecutorOptions): GroupExecutor {
    return new GroupExecutor(options);
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.moveStragglers(), STRAGGLER_CHECK_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.executions.forEach((execution) => execution.run.abort());
  }

  /** Runs a group, or joins its run in progress or finished recently. */
  run(order: links.GroupOrder): Promise<GroupOutcome> {
    const key = groupRuns.createGroupKey(order);
    const existing = this.executions.get(key);
    if (existing) return existing.outcome;
    const samples = this.createSamples(order);
    if (samples.isErr()) return Promise.resolve(neverthrow.err(samples.error));
    const { dispatcher, objects, configuration: configurationSource } = this.options;
    const share = configurationSource.current.configuration.limits.second_attempt_share;
    this.moveBudget = Math.min(MAXIMUM_MOVE_BUDGET, this.moveBudget + share * samples.value.length);
    const run = groupRuns.GroupRun.create({ order, samples: samples.value, dispatcher, objects });
    const outcome = run.run();
    this.executions.set(key, { run, outcome });
    outcome.then((result) => this.recordOutcome(key, result)).catch(() => {});
    return outcome;
  }

  private recordOutcome(key: string, outcome: GroupOutcome): void {
    this.options.metrics.count('groups', { ok: String(outcome.isOk()) });
    const wasted = this.executions
      .get(key)
      ?.run.sampleRuns.reduce((sum, sample) => sum + sample.wastedBytes, 0);
    this.options.metrics.count('sample_bytes_wasted', {}, wasted ?? 0);
    if (outcome.isErr()) {
      this.executions.delete(key);
      return;
    }
    setTimeout(() => this.executions.delete(key), RESULT_RETENTION_MS).unref();
  }

  private createSamples(
    order: links.GroupOrder,
  ): neverthrow.Result<sampleRuns.SampleOrder[], decisions.Failure> {
    const { configuration } = this.options.configuration.current;
    const trainer = configuration.trainers.get(order.trainer);
    const engine = trainer && configuration.engines.get(trainer.engine);
    if (!trainer || !engine) return neverthrow.err(decisions.createFailure('unknown-trainer'));
    const { staleness_bound: stalenessBound } = configuration.deployments.get(
      trainer.deployment,
    ) as configuration.Deployment;
    const { priority } = configuration.classes.get(trainer.class) as configuration.PriorityClass;
    const deadlineMs = this.options.clock.nowMs() + order.remainingMs;
    const shared = { order, trainer, priority, stalenessBound, deadlineMs };
    const model = trainer.model ?? engine.model;
    return neverthrow.ok(
      Array.from({ length: order.members }, (_, index) => ({
        ...shared,
        model,
        index,
        id: `${order.trainer}/${order.step}/${order.group}/${index}`,
      })),
    );
  }

  private onTrainerPosition(position: links.TrainerPosition): void {
    this.executions.forEach(({ run }) => {
      if (run.belongsTo(position.trainer)) run.restartStaleSamples(position.version);
    });
  }

  private moveStragglers(): void {
    const runs = [...this.executions.values()].flatMap(({ run }) => run.sampleRuns);
    const services = new Set(runs.map((run) => run.sample.trainer.engine));
    services.forEach((service) => {
      this.moveStragglersOf(
        service,
        runs.filter((run) => run.sample.trainer.engine === service),
      );
    });
  }

  private moveStragglersOf(service: string, runs: readonly sampleRuns.SampleRun[]): void {
    const { dispatcher, metrics } = this.options;
    const typicalSpeed = dispatcher.context.directory.getMedianBytesPerMs(service);
    const progress = runs.flatMap((run) => run.getProgress() ?? []);
    const budget = this.moveBudget / MOVE_COST_ATTEMPTS;
    const chosen = new Set(decisions.chooseStragglers(progress, typicalSpeed, budget));
    runs
      .filter((run) => chosen.has(run.sample.id))
      .forEach((run) => {
        run.move();
        this.moveBudget -= MOVE_COST_ATTEMPTS;
        metrics.count('samples_moved', { service });
      });
  }
}
