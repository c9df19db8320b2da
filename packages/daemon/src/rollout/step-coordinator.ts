/**
 * One step of a trainer, as the entry that the trainer asks sees it.
 *
 * Which groups the trainer holds is the trainer's own word, sent with every request, so any entry
 * can take the step over and none can hand a group over twice. Groups are made by the entries that
 * own them by rendezvous hashing; each is made once, whoever asks.
 */
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import * as runtime from '@azureworks/runtime';

/** One group of a step. */
export interface GroupSpecification {
  readonly group: string;
  readonly prompt: string;
  readonly members: number;
  readonly maximumTokens: number;
  readonly meanTokens?: number;
}

/** A step: its groups and the time in which it must be whole. */
export interface StepManifest {
  readonly trainer: string;
  readonly step: string;
  readonly groups: readonly GroupSpecification[];
  readonly deadlineMs: number;
}

/** What a trainer says when it takes samples. */
export interface TakeRequest {
  /** The groups that the trainer holds already. */
  readonly held: readonly string[];
  /** The weight version that the trainer stands at. */
  readonly version: number;
  readonly maximumGroups: number;
  /** How long to wait for a group, in milliseconds. */
  readonly waitMs: number;
}

/** What a trainer gets. */
export interface TakeAnswer {
  readonly groups: readonly links.GroupResult[];
  /** Groups that the trainer does not hold, those handed over now included. */
  readonly remaining: number;
}

/** What a coordinator needs from its entry. */
export interface CoordinatorContext {
  readonly clock: decisions.Clock;
  /** Makes a group at the entry that owns it. */
  runGroup(
    order: links.GroupOrder,
  ): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>>;
  /** Groups that may be under way at the same time. */
  countWindow(members: number): number;
  getStalenessBound(): number;
  getVersion(): number;
  noteDiscarded(staleness: number): void;
}

const GROUP_TRANSITIONS = {
  waiting: { start: 'running', hold: 'held' },
  running: { finish: 'ready', fail: 'waiting', hold: 'held' },
  ready: { hold: 'held', discard: 'waiting' },
  held: {},
} as const;
type GroupState = keyof typeof GROUP_TRANSITIONS;
type GroupEvent = 'start' | 'finish' | 'fail' | 'hold' | 'discard';

interface Group {
  readonly specification: GroupSpecification;
  readonly machine: runtime.Machine<GroupState, GroupEvent>;
  generation: number;
  result?: links.GroupResult;
}

const FAILURE_PAUSE_MS = 300;
const WAIT_POLL_MS = 25;

/** Coordinates one step. */
export class StepCoordinator {
  private readonly groups = new Map<string, Group>();

  private readonly endMs: number;

  private runningCount = 0;

  private isClosed = false;

  /** When the trainer last asked, on the entry's monotonic clock. */
  askedMs: number;

  private constructor(
    private readonly manifest: StepManifest,
    private readonly context: CoordinatorContext,
  ) {
    this.askedMs = context.clock.nowMs();
    this.endMs = this.askedMs + manifest.deadlineMs;
    manifest.groups.forEach((specification) => {
      const machine = runtime.Machine.create<GroupState, GroupEvent>('waiting', GROUP_TRANSITIONS);
      this.groups.set(specification.group, { specification, machine, generation: 0 });
    });
  }

  static create(manifest: StepManifest, context: CoordinatorContext): StepCoordinator {
    return new StepCoordinator(manifest, context);
  }

  /** Whether the trainer holds every group. */
  isDone(): boolean {
    return [...this.groups.values()].every((group) => group.machine.isIn('held'));
  }

  /** Stops starting groups. */
  close(): void {
    this.isClosed = true;
  }

  /** Hands over finished groups that the trainer does not hold and that are fresh enough now. */
  async take(request: TakeRequest): Promise<TakeAnswer> {
    const { clock } = this.context;
    this.askedMs = clock.nowMs();
    request.held.forEach((name) => this.hold(name));
    this.pump();
    const waitUntilMs = clock.nowMs() + request.waitMs;
    let groups = this.listReady(request);
    while (groups.length === 0 && !this.isDone() && clock.nowMs() < waitUntilMs) {
      await runtime.pause(WAIT_POLL_MS);
      groups = this.listReady(request);
    }
    return { groups, remaining: this.countRemaining() };
  }

  /** Starts groups while the window allows. */
  pump(): void {
    if (this.isClosed) return;
    for (const group of this.groups.values()) {
      if (this.runningCount >= this.context.countWindow(group.specification.members)) return;
      if (group.machine.isIn('waiting')) this.start(group);
    }
  }

  private hold(name: string): void {
    const group = this.groups.get(name);
    if (!group || group.machine.isIn('held')) return;
    group.machine.send('hold');
    delete group.result;
  }

  private countRemaining(): number {
    return [...this.groups.values()].filter((group) => !group.machine.isIn('held')).length;
  }

  private listReady(request: TakeRequest): links.GroupResult[] {
    const version = Math.max(request.version, this.context.getVersion());
    const bound = this.context.getStalenessBound();
    const ready: links.GroupResult[] = [];
    this.groups.forEach((group) => {
      if (!group.machine.isIn('ready') || ready.length >= request.maximumGroups) return;
      const result = group.result as links.GroupResult;
      const staleness = measureGroup(result, version);
      if (staleness <= bound) ready.push(result);
      else this.discard(group, staleness);
    });
    return ready;
  }

  private discard(group: Group, staleness: number): void {
    group.machine.send('discard');
    group.generation += 1;
    delete group.result;
    this.context.noteDiscarded(staleness);
    this.pump();
  }

  private start(group: Group): void {
    group.machine.send('start');
    this.runningCount += 1;
    this.run(group)
      .catch(() => group.machine.send('fail'))
      .finally(() => {
        this.runningCount -= 1;
        this.pump();
      });
  }

  private async run(group: Group): Promise<void> {
    const { clock } = this.context;
    const { trainer, step } = this.manifest;
    const outcome = await this.context.runGroup({
      ...group.specification,
      trainer,
      step,
      generation: group.generation,
      version: this.context.getVersion(),
      remainingMs: Math.max(0, this.endMs - clock.nowMs()),
    });
    if (outcome.isErr()) {
      await runtime.pause(FAILURE_PAUSE_MS);
      group.machine.send('fail');
      return;
    }
    if (group.machine.isIn('held')) return;
    group.result = outcome.value;
    group.machine.send('finish');
  }
}

/** The staleness of a group: that of its oldest sample. */
function measureGroup(result: links.GroupResult, version: number): number {
  return Math.max(
    ...result.samples.map((sample) => decisions.measureStaleness(sample.weightVersions, version)),
  );
}
