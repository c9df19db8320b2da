/**
 * One run of an item on one replica. It continues after the events that the item already has and
 * adds further events, as long as their ids are consecutive and their weights versions acceptable.
 */
import type * as environments from '../types/environment';
import type * as organisations from '../types/organisation';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as replicaTrials from '../replicas/replica-trials';
import * as softwares from '../replicas/software';
import * as progress from './item-progress';

/** Properties of the job and its route that a run depends on. */
export interface StreamRunContext {
  readonly oldestVersion: number;
  readonly isSingleVersion: boolean;
  readonly host: string;
  readonly organisation: organisations.RequestOrganisation;
  readonly jobId: string;
  /** Time left until the item expires. */
  readonly deadlineMs: number;
}

export interface StreamRunOptions {
  readonly environment: environments.Environment;
  readonly directory: directories.ReplicaDirectory;
  readonly caller: replicas.ReplicaClient;
  readonly itemProgress: progress.ItemProgress;
  readonly tracked: directories.TrackedReplica;
  readonly context: StreamRunContext;
  /** Called when the replica may get further items. */
  readonly onRoom?: () => void;
}

/** How a run ended. */
export interface StreamRunEnd {
  readonly kind:
    /** The stream ended after the complete text. */
    | 'whole'
    /** The replica did not run the item. */
    | 'refused'
    /** The replica answered with an internal error. */
    | 'failed-answer'
    /** The replica rejected the item as one that cannot be run, there or elsewhere. */
    | 'impossible'
    /** The stream broke off, was aborted, or had another status. */
    | 'broken';
  /** Whether the replica that refused it was full, and is thus not loading weights. */
  readonly isFull?: boolean;
  /** Whether this gateway ended the run. */
  readonly isAborted?: boolean;
}

/**
 * Timeout until the first event of a stream. As far as this gateway knows, the replica has a free
 * slot; waiting there behind the requests of other gateways takes less than this.
 */
const FIRST_EVENT_TIMEOUT_MS = 1500;
/** Timeout between two events of a stream; the usual interval is tens of milliseconds. */
const SILENCE_TIMEOUT_MS = 700;
const STATUS_OK = 200;
const STATUS_UNPROCESSABLE = 422;
/** The only status that counts as a failure of the item itself. */
const STATUS_INTERNAL_ERROR = 500;

/** Receives the stream of one run. */
export class StreamRun implements replicas.StreamReceiver {
  private readonly abortController = new AbortController();

  /** Why this gateway aborted the run. */
  private abortReason: string | undefined;

  private status = 0;

  private version: number | undefined;

  private constructor(private readonly options: StreamRunOptions) {}

  static create(options: StreamRunOptions): StreamRun {
    return new StreamRun(options);
  }

  async run(): Promise<StreamRunEnd> {
    const { itemProgress, tracked, environment, caller, context } = this.options;
    const { item } = itemProgress;
    itemProgress.phase = progress.ItemPhase.Running;
    itemProgress.replicaId = tracked.replica.id;
    itemProgress.abortController = this.abortController;
    itemProgress.runStartedMs = environment.nowMs();
    itemProgress.lastEventMs = itemProgress.runStartedMs;
    itemProgress.runEvents = 0;
    tracked.inFlight += 1;
    const request = {
      id: item.id,
      method: 'POST',
      target: item.path,
      host: context.host,
      headers: item.headers,
      body: item.body,
      organisation: context.organisation,
    };
    const streamOptions = {
      deadlineMs: context.deadlineMs,
      signal: this.abortController.signal,
      afterEvent: itemProgress.lastEvent,
      priority: replicas.DEFAULT_STREAM_PRIORITY,
      firstEventTimeoutMs: FIRST_EVENT_TIMEOUT_MS,
      idleTimeoutMs: SILENCE_TIMEOUT_MS,
    };
    const outcome = await caller
      .stream(tracked.replica, request, streamOptions, this)
      .finally(() => {
        tracked.inFlight -= 1;
        itemProgress.abortController = undefined;
      });
    const end = this.classifyOutcome(outcome);
    this.recordEnd(outcome, end);
    return end;
  }

  begin(head: replicas.StreamHead): void {
    const { itemProgress, tracked, directory, context } = this.options;
    this.status = head.status;
    directory.recordLoad(tracked, head.load);
    if (head.status !== STATUS_OK || head.weightVersion === undefined) return;
    if (!this.acceptVersion(head.weightVersion, itemProgress.runStartedMs)) return;
    if (!context.isSingleVersion || itemProgress.versions.size === 0) return;
    if (!itemProgress.versions.has(head.weightVersion)) itemProgress.reset();
    // The stream continues after events that were just discarded, so it cannot be used.
    if (itemProgress.lastEvent === undefined && itemProgress.events.length === 0) {
      this.abortRun(
        `weights version ${head.weightVersion} cannot continue a text of another version`,
      );
    }
  }

  receive(event: replicas.StreamEvent): void {
    const { itemProgress, environment, tracked, context } = this.options;
    if (this.abortController.signal.aborted || this.status !== STATUS_OK) return;
    const { weightVersion } = event;
    if (weightVersion !== undefined && !this.acceptVersion(weightVersion, environment.nowMs())) {
      return;
    }
    if (context.isSingleVersion && this.version !== undefined && itemProgress.versions.size > 0) {
      if (!itemProgress.versions.has(this.version)) {
        itemProgress.reset();
        this.abortRun(
          `weights changed to version ${this.version} within a text of another version`,
        );
        return;
      }
    }
    if (itemProgress.lastEvent !== undefined && event.id !== itemProgress.lastEvent + 1) {
      this.abortRun(`event ${event.id} came after event ${itemProgress.lastEvent}`);
      // A replica that ignores the requested start event would ignore it in every run, so the next
      // run generates the text from its beginning.
      if (itemProgress.runEvents === 0) itemProgress.reset();
      return;
    }
    if (this.version !== undefined) itemProgress.versions.add(this.version);
    if (itemProgress.lastEvent === undefined) {
      itemProgress.software = softwares.identifySoftware(tracked.replica);
    }
    const nowMs = environment.nowMs();
    const fault = itemProgress.addEvent(event.id, event.data);
    if (fault !== undefined) {
      // A text without end is none that another replica should go on with.
      itemProgress.reset();
      if (fault !== progress.TextFault.NoMemory) tracked.health.eject(nowMs);
      this.abortRun(fault);
      return;
    }
    if (itemProgress.runEvents > 0) {
      const workFactor = tracked.workFactor.getCurrent(nowMs);
      tracked.health.recordDuration(nowMs - itemProgress.lastEventMs, workFactor);
    }
    itemProgress.runEvents += 1;
    if (itemProgress.runEvents === replicaTrials.EVENTS_OF_PROGRESS) {
      const { runStartedMs } = itemProgress;
      if (replicaTrials.recordProgress(environment, tracked, runStartedMs)) this.options.onRoom?.();
    }
    itemProgress.lastEventMs = nowMs;
  }

  /** Records the version of the events that follow; returns false and ends the run if the job rules it out. */
  private acceptVersion(version: number, atMs: number): boolean {
    const { itemProgress, tracked, directory, context } = this.options;
    this.version = version;
    directory.recordVersion(tracked, itemProgress.item.model, version, atMs);
    if (version >= context.oldestVersion) return true;
    this.abortRun('weights version is older than the job accepts');
    return false;
  }

  private abortRun(reason: string): void {
    this.abortReason ??= reason;
    this.abortController.abort();
  }

  private classifyOutcome(outcome: replicas.StreamOutcome): StreamRunEnd {
    const { CallStatus } = replicas;
    if (replicas.isNotRun(outcome.status)) {
      const { load } = outcome;
      return { kind: 'refused', isFull: load !== undefined && load.running >= load.slots };
    }
    const isAborted = this.abortController.signal.aborted;
    if (outcome.status !== CallStatus.Answered) return { kind: 'broken', isAborted };
    const { status } = outcome.answer;
    if (status === STATUS_OK) return { kind: isAborted ? 'broken' : 'whole', isAborted };
    if (status === STATUS_UNPROCESSABLE) return { kind: 'impossible' };
    return { kind: status === STATUS_INTERNAL_ERROR ? 'failed-answer' : 'broken' };
  }

  private recordReplicaFailure(outcome: replicas.StreamOutcome, nowMs: number): void {
    const { tracked, environment } = this.options;
    if (outcome.status === replicas.CallStatus.Answered) return;
    const isSilent = outcome.isSilent === true;
    if (outcome.status !== replicas.CallStatus.Broken && !isSilent) return;
    if (!tracked.health.recordFailure(nowMs, isSilent)) return;
    environment.log.info('replica avoided', {
      replica: tracked.replica.id,
      reason: outcome.reason,
      isSilent,
    });
  }

  private recordEnd(outcome: replicas.StreamOutcome, end: StreamRunEnd): void {
    const { itemProgress, tracked, environment, context } = this.options;
    const nowMs = environment.nowMs();
    const isAnswered = outcome.status === replicas.CallStatus.Answered;
    const { runStartedMs } = itemProgress;
    tracked.health.recordEnd(runStartedMs);
    if (end.kind === 'whole') replicaTrials.recordSuccess(environment, tracked, runStartedMs);
    this.recordReplicaFailure(outcome, nowMs);
    environment.metrics.record('run', { end: end.kind }, nowMs - runStartedMs);
    if (end.kind === 'whole') return;
    environment.log.info('run ended early', {
      job: context.jobId,
      item: itemProgress.item.id,
      replica: tracked.replica.id,
      end: end.kind,
      outcome: isAnswered ? String(outcome.answer.status) : outcome.status,
      reason: this.abortReason ?? (isAnswered ? '' : outcome.reason),
      events: itemProgress.events.length,
      runEvents: itemProgress.runEvents,
      version: this.version,
      tookMs: Math.round(nowMs - runStartedMs),
      ...outcome.connection,
    });
  }
}
