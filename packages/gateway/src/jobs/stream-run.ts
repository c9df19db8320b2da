/**
 * One run of an item on one replica: it goes on from the events that are there already and takes
 * in further ones, as long as they follow on and the weights that make them fit.
 */
import type * as environments from '../types/environment';
import * as replicas from '../types/replica';
import type * as directories from '../replicas/directory';
import * as progress from './item-progress';

/** The terms of a run. */
export interface StreamRunTerms {
  readonly oldestVersion: number;
  readonly isSingleVersion: boolean;
  readonly host: string;
  readonly jobId: string;
  /** How long the item may still be worked on. */
  readonly deadlineMs: number;
}

/** What a run needs. */
export interface StreamRunParts {
  readonly environment: environments.Environment;
  readonly directory: directories.Directory;
  readonly caller: replicas.ReplicaCaller;
  readonly entry: progress.ItemProgress;
  readonly known: directories.KnownReplica;
  readonly terms: StreamRunTerms;
}

/** How a run ended. */
export interface StreamRunEnd {
  readonly kind:
    | 'whole'
    /** The replica did not run it. */
    | 'refused'
    /** The replica answered with a failure. */
    | 'failed-answer'
    /** The item can never be done. */
    | 'impossible'
    /** The stream broke off or was given up. */
    | 'broken';
}

/**
 * How long a replica may take to its first event. It has a free slot as far as is known; a queue
 * behind other gateways' requests is shorter than this.
 */
const FIRST_EVENT_MS = 1500;
/** How long a replica may be silent between events; an ordinary pause is tens of milliseconds. */
const SILENCE_MS = 700;
const OK = 200;
const UNPROCESSABLE = 422;
/** The only answer that counts as a failure of the item itself. */
const INTERNAL_ERROR = 500;

/** Follows one stream. */
export class StreamRun implements replicas.StreamReceiver {
  private readonly abort = new AbortController();

  /** Why this side ended the run. */
  private quitReason: string | undefined;

  private status = 0;

  private version: number | undefined;

  private constructor(private readonly parts: StreamRunParts) {}

  static create(parts: StreamRunParts): StreamRun {
    return new StreamRun(parts);
  }

  async run(): Promise<StreamRunEnd> {
    const { entry, known, environment, caller, terms } = this.parts;
    const { item } = entry;
    entry.phase = progress.ItemPhase.Running;
    entry.replicaId = known.replica.id;
    entry.abort = this.abort;
    entry.startedMs = environment.nowMs();
    entry.eventMs = entry.startedMs;
    entry.runEvents = 0;
    known.inFlight += 1;
    const request = {
      id: item.id,
      method: 'POST',
      target: item.path,
      host: terms.host,
      headers: item.headers,
      body: item.body,
    };
    const options = {
      deadlineMs: terms.deadlineMs,
      signal: this.abort.signal,
      afterEvent: entry.lastEvent,
      priority: replicas.ORDINARY_PRIORITY,
      firstEventMs: FIRST_EVENT_MS,
      silenceMs: SILENCE_MS,
    };
    const outcome = await caller.stream(known.replica, request, options, this);
    known.inFlight -= 1;
    entry.abort = undefined;
    const end = this.judge(outcome);
    this.note(outcome, end);
    return end;
  }

  begin(head: replicas.StreamHead): void {
    const { entry, known, directory, terms } = this.parts;
    this.status = head.status;
    directory.noteLoad(known, head.load);
    if (head.status !== OK || head.weightVersion === undefined) return;
    this.takeVersion(head.weightVersion);
    if (!terms.isSingleVersion || entry.versions.size === 0) return;
    if (!entry.versions.has(head.weightVersion)) entry.reset();
    // The stream goes on after events that are now forgotten, so it is of no use.
    if (entry.lastEvent === undefined && entry.events.length === 0) {
      this.quit(`version ${head.weightVersion} for a text of another one`);
    }
  }

  receive(event: replicas.StreamEvent): void {
    const { entry, environment, known, terms } = this.parts;
    if (this.abort.signal.aborted || this.status !== OK) return;
    if (event.weightVersion !== undefined) this.takeVersion(event.weightVersion);
    if (terms.isSingleVersion && this.version !== undefined && entry.versions.size > 0) {
      if (!entry.versions.has(this.version)) {
        entry.reset();
        this.quit(`changed to version ${this.version} within a text of another one`);
        return;
      }
    }
    if (entry.lastEvent !== undefined && event.id !== entry.lastEvent + 1) {
      this.quit(`event ${event.id} came after event ${entry.lastEvent}`);
      // A replica that does not go on where it was asked to would do so again and again: the next
      // run makes the text from its beginning.
      if (entry.runEvents === 0) entry.reset();
      return;
    }
    if (this.version !== undefined) entry.versions.add(this.version);
    entry.lastEvent = event.id;
    entry.events.push(event.data);
    const nowMs = environment.nowMs();
    if (entry.runEvents > 0) known.pace.observe(nowMs - entry.eventMs);
    entry.runEvents += 1;
    entry.eventMs = nowMs;
  }

  private takeVersion(version: number): void {
    const { entry, known, terms } = this.parts;
    this.version = version;
    known.shownVersions.set(entry.item.model, version);
    if (version < terms.oldestVersion) this.quit('version too old');
  }

  private quit(reason: string): void {
    this.quitReason ??= reason;
    this.abort.abort();
  }

  private judge(outcome: replicas.StreamOutcome): StreamRunEnd {
    const { CallStatus } = replicas;
    if (replicas.isNotRun(outcome.status)) return { kind: 'refused' };
    if (outcome.status !== CallStatus.Answered) return { kind: 'broken' };
    const { status } = outcome.answer;
    if (status === OK) return { kind: this.abort.signal.aborted ? 'broken' : 'whole' };
    if (status === UNPROCESSABLE) return { kind: 'impossible' };
    return { kind: status === INTERNAL_ERROR ? 'failed-answer' : 'broken' };
  }

  private judgeReplica(outcome: replicas.StreamOutcome, nowMs: number): void {
    const { known, environment } = this.parts;
    if (outcome.status === replicas.CallStatus.Answered) return;
    const isSilent = outcome.isSilent === true;
    if (outcome.status !== replicas.CallStatus.Broken && !isSilent) return;
    if (!known.pace.noteFailure(nowMs, isSilent)) return;
    environment.log.change('replica avoided', {
      replica: known.replica.id,
      reason: outcome.reason,
      isSilent,
    });
  }

  private note(outcome: replicas.StreamOutcome, end: StreamRunEnd): void {
    const { entry, known, environment, terms } = this.parts;
    const nowMs = environment.nowMs();
    const isAnswered = outcome.status === replicas.CallStatus.Answered;
    if (end.kind === 'whole') known.pace.noteSuccess();
    this.judgeReplica(outcome, nowMs);
    environment.metrics.record('run', { end: end.kind }, nowMs - entry.startedMs);
    if (end.kind === 'whole') return;
    environment.log.change('run ended early', {
      job: terms.jobId,
      item: entry.item.id,
      replica: known.replica.id,
      end: end.kind,
      outcome: isAnswered ? String(outcome.answer.status) : outcome.status,
      reason: this.quitReason ?? (isAnswered ? '' : outcome.reason),
      events: entry.events.length,
      runEvents: entry.runEvents,
      version: this.version,
      tookMs: Math.round(nowMs - entry.startedMs),
    });
  }
}
