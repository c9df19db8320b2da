/**
 * Manages the steps of trainers at this entry. Keeps manifests in the object store and coordinators
 * in memory, and chooses the entry that generates each group.
 */
import type * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as intake from '@azureworks/intake';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import type * as storage from '@azureworks/storage';
import type * as runtime from '@azureworks/runtime';
import * as body from '../core/body';
import type * as configurationTask from '../entry/configuration-task';
import type * as directories from '../entry/target-directory';
import type * as gossipStates from '../entry/gossip-state';
import type * as groupExecutor from './group-executor';
import * as coordinators from './step-coordinator';

/** Runs groups at other entries; implemented by the membership task. */
export interface GroupPlacement {
  /** The names of the serving entries, including this one. */
  listServingNames(): string[];
  /** Has another entry generate a group. */
  runAt(
    entry: string,
    order: links.GroupOrder,
  ): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>>;
}

export interface RolloutTaskOptions {
  readonly name: string;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly gossipState: gossipStates.GossipState;
  readonly directory: directories.TargetDirectory;
  readonly executor: groupExecutor.GroupExecutor;
  readonly placement: GroupPlacement;
  readonly objects: storage.ObjectStore;
  readonly memory: intake.Memory;
  readonly metrics: runtime.Metrics;
  readonly clock: decisions.Clock;
}

type RolloutResult<T> = neverthrow.Result<T, decisions.Failure>;

const STEP_IDLE_TIMEOUT_MS = 120_000;
const IDLE_CHECK_INTERVAL_MS = 5000;
const RUNNING_SAMPLES_PER_SLOT = 6;
const MINIMUM_RUNNING_GROUPS = 2;
const MAXIMUM_STALENESS_LABEL = 10;
/** Memory of an open step in multiples of its prompts: the heap has less room than the whole budget. */
const HELD_COPIES = 2;
/** Memory of a group without its prompt, in bytes. */
const GROUP_BYTES = 500;

interface OpenStep {
  readonly coordinator: coordinators.StepCoordinator;
  readonly reservation: intake.Reservation;
}

/** Coordinates the steps of trainers. */
export class RolloutTask implements runtime.Task {
  readonly name = 'rollout';

  private readonly steps = new Map<string, OpenStep>();

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: RolloutTaskOptions) {
    options.metrics.gauge('steps', {}, () => this.steps.size);
  }

  static create(options: RolloutTaskOptions): RolloutTask {
    return new RolloutTask(options);
  }

  async start(): Promise<void> {
    this.timer = setInterval(() => this.removeIdleSteps(), IDLE_CHECK_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.steps.forEach((_step, key) => this.closeStep(key));
  }

  /** Starts a step; submitting the same step again has no effect. */
  submit(manifest: coordinators.StepManifest): RolloutResult<void> {
    const trainer = this.findTrainer(manifest.trainer);
    if (trainer.isErr()) return neverthrow.err(trainer.error);
    const key = createStepKey(manifest.trainer, manifest.step);
    if (this.steps.has(key)) return neverthrow.ok(undefined);
    const reservation = this.options.memory.tryTake(estimateBytes(manifest));
    if (!reservation) return neverthrow.err(body.createMemoryRefusal());
    this.openStep(manifest, reservation).startGroups();
    // The trainer keeps the step itself and submits it again if this write fails.
    this.options.objects.putIfAbsent(`${key}/manifest`, manifest).match(
      () => this.options.metrics.count('manifests', { ok: 'true' }),
      () => this.options.metrics.count('manifests', { ok: 'false' }),
    );
    return neverthrow.ok(undefined);
  }

  /** Delivers finished groups to a trainer. */
  async take(
    trainer: string,
    step: string,
    request: coordinators.TakeRequest,
  ): Promise<RolloutResult<coordinators.TakeResult>> {
    const found = this.findTrainer(trainer);
    if (found.isErr()) return neverthrow.err(found.error);
    const coordinator = await this.findStep(trainer, step);
    if (!coordinator) return neverthrow.err(decisions.createFailure('unknown-step'));
    const result = await coordinator.take(request);
    this.options.metrics.count('groups_delivered', { trainer }, result.groups.length);
    return neverthrow.ok(result);
  }

  private async findStep(
    trainer: string,
    step: string,
  ): Promise<coordinators.StepCoordinator | undefined> {
    const key = createStepKey(trainer, step);
    const existing = this.steps.get(key);
    if (existing) return existing.coordinator;
    const read = await this.options.objects.read<coordinators.StepManifest>(`${key}/manifest`);
    if (read.isErr() || !read.value) return undefined;
    const opened = this.steps.get(key);
    if (opened) return opened.coordinator;
    // A step that another entry accepted is not refused here, but counts.
    const reservation = this.options.memory.open();
    reservation.grow(estimateBytes(read.value));
    return this.openStep(read.value, reservation);
  }

  private openStep(
    manifest: coordinators.StepManifest,
    reservation: intake.Reservation,
  ): coordinators.StepCoordinator {
    const { gossipState: sharedState, metrics, clock } = this.options;
    const { trainer } = manifest;
    const coordinator = coordinators.StepCoordinator.create(manifest, {
      clock,
      runGroup: (order) => this.runGroup(order),
      getGroupLimit: (members) => this.getGroupLimit(trainer, members),
      getStalenessBound: () => this.getStalenessBound(trainer),
      getTrainerVersion: () => sharedState.getTrainerVersion(trainer),
      recordDiscarded: (staleness) => {
        const label = String(Math.min(MAXIMUM_STALENESS_LABEL, staleness));
        metrics.count('groups_discarded', { trainer, staleness: label });
      },
    });
    this.steps.set(createStepKey(trainer, manifest.step), { coordinator, reservation });
    return coordinator;
  }

  private closeStep(key: string): void {
    const step = this.steps.get(key);
    if (!step) return;
    step.coordinator.close();
    step.reservation.release();
    this.steps.delete(key);
  }

  /** Runs a group at its owner; if that fails, at the next entry in rendezvous order. */
  private async runGroup(order: links.GroupOrder): Promise<RolloutResult<links.GroupResult>> {
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

  private findTrainer(name: string): RolloutResult<configuration.Trainer> {
    const trainer = this.options.configuration.current.configuration.trainers.get(name);
    if (trainer) return neverthrow.ok(trainer);
    return neverthrow.err(decisions.createFailure('unknown-trainer', { detail: `"${name}"` }));
  }

  private getStalenessBound(trainer: string): number {
    const { trainers, deployments } = this.options.configuration.current.configuration;
    const deployment = deployments.get(trainers.get(trainer)?.deployment ?? '');
    return deployment?.staleness_bound ?? 0;
  }

  private getGroupLimit(trainer: string, members: number): number {
    const { trainers } = this.options.configuration.current.configuration;
    const engine = trainers.get(trainer)?.engine ?? '';
    const capacity = this.options.directory
      .listAvailable(engine, undefined)
      .reduce((sum, target) => sum + target.candidate.capacity, 0);
    return Math.max(
      MINIMUM_RUNNING_GROUPS,
      Math.ceil((capacity * RUNNING_SAMPLES_PER_SLOT) / members),
    );
  }

  private removeIdleSteps(): void {
    const oldestMs = this.options.clock.nowMs() - STEP_IDLE_TIMEOUT_MS;
    this.steps.forEach(({ coordinator }, key) => {
      if (coordinator.isDone() || coordinator.lastRequestMs < oldestMs) this.closeStep(key);
    });
  }
}

function estimateBytes({ groups }: coordinators.StepManifest): number {
  const bytes = groups.reduce((sum, { prompt }) => sum + prompt.length + GROUP_BYTES, 0);
  return HELD_COPIES * bytes;
}

function createStepKey(trainer: string, step: string): string {
  return `steps/${trainer}/${step}`;
}
