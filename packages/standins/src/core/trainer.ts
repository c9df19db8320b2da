/**
 * Stand-in for a trainer: submits steps of groups, requests samples, simulates training on each
 * group and announces new weights after each step. It records what it received and how long it
 * waited.
 *
 * Staleness is measured against the version that a request for samples stated. An announcement that
 * is accepted while the request is in flight counts only from the next request on, because the
 * answering entry could not know of it.
 */
import * as undici from 'undici';
import * as generation from '../utils/generation';
import * as server from './standin-server';

/** Options of the trainer stand-in. */
export interface TrainerOptions {
  readonly name: string;
  readonly entries: readonly string[];
  readonly steps: number;
  readonly groups: number;
  readonly members: number;
  readonly meanTokens: number;
  readonly maximumTokens: number;
  /** Training time for each group, in milliseconds. */
  readonly trainMs: number;
  /** Number of steps submitted ahead of the one in training. */
  readonly stepsAhead: number;
  readonly promptSeed: string;
}

interface Sample {
  readonly id: string;
  readonly text: string;
  readonly tokens: number;
  readonly weight_versions: number[];
  readonly score?: number;
}

interface TakeResponse {
  readonly remaining: number;
  readonly groups: { readonly group: string; readonly samples: Sample[] }[];
}

/** Counts and durations recorded by the trainer. */
export interface TrainerReport {
  readonly name: string;
  readonly isDone: boolean;
  readonly version: number;
  readonly stepsDone: number;
  /** Samples requested in all steps. */
  readonly asked: number;
  readonly received: number;
  /** Attempted requests for samples. */
  readonly takes: number;
  /** Attempted announcements of weights. */
  readonly announcements: number;
  /** Samples received more than once. */
  readonly doubled: number;
  /** Samples without weight versions. */
  readonly unlabelled: number;
  /** Samples whose text or length differs from the expected answer to their prompt. */
  readonly damaged: number;
  readonly stalenessMaximum: number;
  readonly stalenessMean: number;
  /** Time spent waiting for samples, in milliseconds. */
  readonly idleMs: number;
  readonly totalMs: number;
  readonly stepMs: readonly number[];
  readonly labels: readonly SampleLabel[];
}

/** Weight versions that label a received sample, and its staleness on delivery. */
export interface SampleLabel {
  readonly id: string;
  readonly weightVersions: readonly number[];
  readonly staleness: number;
}

const RETRY_BACKOFF_MS = 200;
const TAKE_LONG_POLL_MS = 2000;
const REQUEST_TIMEOUT_MS = 4000;
const MAXIMUM_GROUPS_PER_TAKE = 8;
const NOT_FOUND = 404;

/** A trainer that simulates training by waiting and counts what it receives. */
export class TrainerStandin {
  readonly server: server.StandinServer;

  private readonly receivedIds = new Set<string>();

  private readonly labels: SampleLabel[] = [];

  private readonly heldGroupsByStep = new Map<string, Set<string>>();

  private readonly submittedSteps = new Set<string>();

  private readonly stepMs: number[] = [];

  private currentEntryIndex = 0;

  /** The version stated in the latest request for samples. */
  private statedVersion = 0;

  /** The latest version whose announcement was accepted. */
  private announcedVersion = 0;

  private stepsDone = 0;

  private isAnnouncing = false;

  private takes = 0;

  private announcements = 0;

  private received = 0;

  private doubled = 0;

  private unlabelled = 0;

  private damaged = 0;

  private stalenessMaximum = 0;

  private stalenessSum = 0;

  private idleMs = 0;

  private startMs = 0;

  private endMs: number | undefined;

  private constructor(private readonly options: TrainerOptions) {
    this.server = server.StandinServer.create(() => this.createReport());
  }

  static create(options: TrainerOptions): TrainerStandin {
    return new TrainerStandin(options);
  }

  /** Runs all steps. */
  async run(): Promise<void> {
    this.startMs = performance.now();
    await this.announce();
    for (let step = 0; step < this.options.steps; step += 1) {
      const startMs = performance.now();
      await this.submitAhead(step);
      await this.trainOnStep(step);
      this.stepMs.push(performance.now() - startMs);
      this.stepsDone += 1;
      this.announceInBackground();
    }
    this.endMs = performance.now();
  }

  private async submitAhead(step: number): Promise<void> {
    const lastStep = Math.min(this.options.steps - 1, step + this.options.stepsAhead);
    for (let stepToSubmit = step; stepToSubmit <= lastStep; stepToSubmit += 1) {
      if (!this.submittedSteps.has(createStepName(stepToSubmit))) await this.submit(stepToSubmit);
    }
  }

  private async submit(step: number): Promise<void> {
    const { groups, members, meanTokens, maximumTokens } = this.options;
    const body = {
      step: createStepName(step),
      groups: Array.from({ length: groups }, (_, index) => ({
        group: `group-${index}`,
        prompt: this.createPrompt(step, `group-${index}`),
        members,
        max_tokens: maximumTokens,
        mean_tokens: meanTokens,
      })),
    };
    await this.postUntilAccepted('steps', body);
    this.submittedSteps.add(createStepName(step));
  }

  private createPrompt(step: number, group: string): string {
    return `${this.options.promptSeed} ${this.options.name} ${createStepName(step)} ${group}`;
  }

  private async trainOnStep(step: number): Promise<void> {
    const name = createStepName(step);
    const heldGroups = new Set<string>();
    this.heldGroupsByStep.set(name, heldGroups);
    while (heldGroups.size < this.options.groups) {
      const waitStartMs = performance.now();
      const answer = await this.requestSamples(step, heldGroups);
      this.idleMs += performance.now() - waitStartMs;
      answer.groups.forEach((group) => this.recordGroup(step, heldGroups, group));
      await server.sleep(this.options.trainMs * answer.groups.length);
    }
  }

  private async requestSamples(
    step: number,
    heldGroups: ReadonlySet<string>,
  ): Promise<TakeResponse> {
    this.statedVersion = this.announcedVersion;
    const body = {
      held: [...heldGroups],
      version: this.statedVersion,
      maximum_groups: MAXIMUM_GROUPS_PER_TAKE,
      wait_ms: TAKE_LONG_POLL_MS,
    };
    this.takes += 1;
    const result = await this.post(`steps/${createStepName(step)}/take`, body);
    if (result?.status === 200) return result.body as TakeResponse;
    if (result?.status === NOT_FOUND) await this.submit(step);
    else await server.sleep(RETRY_BACKOFF_MS);
    return { remaining: 1, groups: [] };
  }

  private recordGroup(
    step: number,
    heldGroups: Set<string>,
    group: TakeResponse['groups'][number],
  ): void {
    heldGroups.add(group.group);
    group.samples.forEach((sample, index) => {
      this.received += 1;
      if (this.receivedIds.has(sample.id)) this.doubled += 1;
      this.receivedIds.add(sample.id);
      this.checkSample(this.createPrompt(step, group.group), index, sample);
    });
  }

  private checkSample(prompt: string, index: number, sample: Sample): void {
    const { meanTokens, maximumTokens } = this.options;
    const length = generation.sampleLength(prompt, index, meanTokens, maximumTokens);
    const expected = generation.generateText(prompt, index, 0, length);
    if (sample.text !== expected || sample.tokens !== length) this.damaged += 1;
    if (sample.weight_versions.length === 0) {
      this.unlabelled += 1;
      return;
    }
    const staleness = Math.max(0, this.statedVersion - Math.min(...sample.weight_versions));
    this.stalenessMaximum = Math.max(this.stalenessMaximum, staleness);
    this.stalenessSum += staleness;
    this.labels.push({ id: sample.id, weightVersions: sample.weight_versions, staleness });
  }

  /** Announces the next version without blocking the training. */
  private announceInBackground(): void {
    if (this.isAnnouncing) return;
    this.isAnnouncing = true;
    this.announce().finally(() => {
      this.isAnnouncing = false;
    });
  }

  private async announce(): Promise<void> {
    const version = this.announcedVersion + 1;
    await this.postUntilAccepted('weights', { version });
    this.announcedVersion = version;
  }

  private async postUntilAccepted(path: string, body: unknown): Promise<void> {
    if (path === 'weights') this.announcements += 1;
    const result = await this.post(path, body);
    if (result && result.status < 300) return;
    await server.sleep(RETRY_BACKOFF_MS);
    await this.postUntilAccepted(path, body);
  }

  /** Posts to the current entry; switches to the next entry after a failure. */
  private async post(
    path: string,
    body: unknown,
  ): Promise<{ status: number; body: unknown } | undefined> {
    const { entries, name } = this.options;
    const entry = entries[this.currentEntryIndex % entries.length];
    try {
      const response = await undici.request(`${entry}/v1/trainers/${name}/${path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const answer = { status: response.statusCode, body: await response.body.json() };
      if (answer.status >= 500) this.currentEntryIndex += 1;
      return answer;
    } catch {
      this.currentEntryIndex += 1;
      return undefined;
    }
  }

  private createReport(): TrainerReport {
    const { name, steps, groups, members } = this.options;
    return {
      name,
      isDone: this.endMs !== undefined,
      version: this.announcedVersion,
      stepsDone: this.stepsDone,
      asked: steps * groups * members,
      received: this.received,
      takes: this.takes,
      announcements: this.announcements,
      doubled: this.doubled,
      unlabelled: this.unlabelled,
      damaged: this.damaged,
      stalenessMaximum: this.stalenessMaximum,
      stalenessMean: this.received === 0 ? 0 : this.stalenessSum / this.received,
      idleMs: this.idleMs,
      totalMs: (this.endMs ?? performance.now()) - this.startMs,
      stepMs: this.stepMs,
      labels: this.labels,
    };
  }
}

function createStepName(step: number): string {
  return `step-${step}`;
}
