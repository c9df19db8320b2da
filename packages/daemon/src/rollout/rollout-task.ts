/**
 * The steps that trainers ask this entry about: manifests at the object store, coordinators in
 * memory, and the choice of the entry that makes each group.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import type * as storage from '@azureworks/storage';
import type * as runtime from '@azureworks/runtime';
import type * as configurationTask from '../entry/configuration-task';
import type * as directories from '../entry/directory';
import type * as knowledge from '../entry/knowledge';
import type * as groupExecutor from './group-executor';
import * as coordinators from './step-coordinator';

/** What the rollout task needs from the membership task. */
export interface GroupPlacement {
  /** The names of the entries that serve, this one included. */
  listServingNames(): string[];
  /** Has another entry make a group. */
  runAt(
    entry: string,
    order: links.GroupOrder,
  ): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>>;
}

/** What the rollout task needs. */
export interface RolloutTaskOptions {
  readonly name: string;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly knowledge: knowledge.Knowledge;
  readonly directory: directories.Directory;
  readonly executor: groupExecutor.GroupExecutor;
  readonly placement: GroupPlacement;
  readonly objects: storage.ObjectStore;
  readonly metrics: runtime.Metrics;
  readonly clock: decisions.Clock;
}

type Checked<T> = neverthrow.Result<T, decisions.Failure>;

const IDLE_MS = 120_000;
const SWEEP_INTERVAL_MS = 5000;
const WINDOW_FACTOR = 6;
const SMALLEST_WINDOW = 2;
const STALENESS_LABELS = 10;

/** Coordinates the steps of trainers. */
export class RolloutTask implements runtime.Task {
  readonly name = 'rollout';

  private readonly steps = new Map<string, coordinators.StepCoordinator>();

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: RolloutTaskOptions) {
    options.metrics.gauge('steps', {}, () => this.steps.size);
  }

  static create(options: RolloutTaskOptions): RolloutTask {
    return new RolloutTask(options);
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.steps.forEach((step) => step.close());
    this.steps.clear();
  }

  /** Begins a step; submitting the same step again changes nothing. */
  submit(manifest: coordinators.StepManifest): Checked<void> {
    const trainer = this.findTrainer(manifest.trainer);
    if (trainer.isErr()) return neverthrow.err(trainer.error);
    const key = createStepKey(manifest.trainer, manifest.step);
    if (this.steps.has(key)) return neverthrow.ok(undefined);
    this.open(manifest).pump();
    // The trainer holds the step itself and submits it again if this write is lost.
    this.options.objects.putIfAbsent(`${key}/manifest`, manifest).match(
      () => this.options.metrics.count('manifests', { ok: 'true' }),
      () => this.options.metrics.count('manifests', { ok: 'false' }),
    );
    return neverthrow.ok(undefined);
  }

  /** Hands samples over. */
  async take(
    trainer: string,
    step: string,
    request: coordinators.TakeRequest,
  ): Promise<Checked<coordinators.TakeAnswer>> {
    const known = this.findTrainer(trainer);
    if (known.isErr()) return neverthrow.err(known.error);
    const coordinator = await this.find(trainer, step);
    if (!coordinator) return neverthrow.err(decisions.createFailure('unknown-step'));
    const answer = await coordinator.take(request);
    this.options.metrics.count('groups_delivered', { trainer }, answer.groups.length);
    return neverthrow.ok(answer);
  }

  private async find(
    trainer: string,
    step: string,
  ): Promise<coordinators.StepCoordinator | undefined> {
    const key = createStepKey(trainer, step);
    const existing = this.steps.get(key);
    if (existing) return existing;
    const read = await this.options.objects.read<coordinators.StepManifest>(`${key}/manifest`);
    if (read.isErr() || !read.value) return undefined;
    return this.steps.get(key) ?? this.open(read.value);
  }

  private open(manifest: coordinators.StepManifest): coordinators.StepCoordinator {
    const { knowledge: shared, metrics: sharedMetrics, clock } = this.options;
    const { trainer } = manifest;
    const coordinator = coordinators.StepCoordinator.create(manifest, {
      clock,
      runGroup: (order) => this.runGroup(order),
      countWindow: (members) => this.countWindow(trainer, members),
      getStalenessBound: () => this.getStalenessBound(trainer),
      getVersion: () => shared.getVersion(trainer),
      noteDiscarded: (staleness) => {
        const label = String(Math.min(STALENESS_LABELS, staleness));
        sharedMetrics.count('groups_discarded', { trainer, staleness: label });
      },
    });
    this.steps.set(createStepKey(trainer, manifest.step), coordinator);
    return coordinator;
  }

  /** Has a group made by its owner; an owner that fails is passed over. */
  private async runGroup(order: links.GroupOrder): Promise<Checked<links.GroupResult>> {
    const { placement, executor, name } = this.options;
    const key = `${order.trainer}/${order.step}/${order.group}`;
    const owners = decisions.rankNodes(key, placement.listServingNames());
    for (const owner of owners) {
      if (owner === name) return executor.run(order);
      const result = await placement.runAt(owner, order);
      if (result.isOk()) return result;
    }
    return executor.run(order);
  }

  private findTrainer(name: string): Checked<configuration.Trainer> {
    const trainer = this.options.configuration.current.configuration.trainers.get(name);
    if (trainer) return neverthrow.ok(trainer);
    return neverthrow.err(decisions.createFailure('unknown-trainer', { detail: `"${name}"` }));
  }

  private getStalenessBound(trainer: string): number {
    const { trainers, deployments } = this.options.configuration.current.configuration;
    const deployment = deployments.get(trainers.get(trainer)?.deployment ?? '');
    return deployment?.staleness_bound ?? 0;
  }

  private countWindow(trainer: string, members: number): number {
    const { trainers } = this.options.configuration.current.configuration;
    const engine = trainers.get(trainer)?.engine ?? '';
    const capacity = this.options.directory
      .listAvailable(engine, undefined)
      .reduce((sum, target) => sum + target.candidate.capacity, 0);
    return Math.max(SMALLEST_WINDOW, Math.ceil((capacity * WINDOW_FACTOR) / members));
  }

  private sweep(): void {
    const oldestMs = this.options.clock.nowMs() - IDLE_MS;
    this.steps.forEach((step, key) => {
      if (!step.isDone() && step.askedMs >= oldestMs) return;
      step.close();
      this.steps.delete(key);
    });
  }
}

function createStepKey(trainer: string, step: string): string {
  return `steps/${trainer}/${step}`;
}
