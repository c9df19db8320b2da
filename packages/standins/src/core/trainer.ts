/**
 * Stand-in for a trainer: submits steps of groups, takes samples, trains on each group for a while,
 * and announces new weights after each step. It logs everything it received and how long it waited.
 *
 * The version that it sends with a request for samples is where it stands until that request is
 * answered. An announcement that is accepted meanwhile counts from the next request on; nobody who
 * answers could know of it.
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
  /** Milliseconds of training for each group. */
  readonly trainMs: number;
  /** Steps submitted ahead of the one that is trained on. */
  readonly ahead: number;
  readonly seed: string;
}

interface Sample {
  readonly id: string;
  readonly text: string;
  readonly tokens: number;
  readonly weight_versions: number[];
  readonly score?: number;
}

interface TakeAnswer {
  readonly remaining: number;
  readonly groups: { readonly group: string; readonly samples: Sample[] }[];
}

/** What became of the samples, as the trainer saw it. */
export interface TrainerReport {
  readonly name: string;
  readonly isDone: boolean;
  readonly version: number;
  readonly stepsDone: number;
  readonly asked: number;
  readonly received: number;
  /** Requests for samples and announcements of weights that were attempted. */
  readonly takes: number;
  readonly announcements: number;
  readonly doubled: number;
  readonly unlabelled: number;
  /** Samples whose text is not the whole answer to their prompt. */
  readonly damaged: number;
  readonly stalenessMaximum: number;
  readonly stalenessMean: number;
  readonly idleMs: number;
  readonly totalMs: number;
  readonly stepMs: readonly number[];
  readonly labels: readonly SampleLabel[];
}

/** The label of a received sample and its staleness when it was handed over. */
export interface SampleLabel {
  readonly id: string;
  readonly weightVersions: readonly number[];
  readonly staleness: number;
}

const RETRY_PAUSE_MS = 200;
const TAKE_WAIT_MS = 2000;
const TIMEOUT_MS = 4000;
const GROUPS_PER_TAKE = 8;
const NOT_FOUND = 404;

/** A trainer that learns nothing but keeps count. */
export class TrainerStandin {
  readonly server: server.StandinServer;

  private readonly seen = new Set<string>();

  private readonly labels: SampleLabel[] = [];

  private readonly held = new Map<string, Set<string>>();

  private readonly submitted = new Set<string>();

  private readonly stepMs: number[] = [];

  private entryIndex = 0;

  /** Where the trainer stands. */
  private version = 0;

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
      await this.trainStep(step);
      this.stepMs.push(performance.now() - startMs);
      this.stepsDone += 1;
      this.announceLater();
    }
    this.endMs = performance.now();
  }

  private async submitAhead(step: number): Promise<void> {
    const last = Math.min(this.options.steps - 1, step + this.options.ahead);
    for (let next = step; next <= last; next += 1) {
      if (!this.submitted.has(createStepName(next))) await this.submit(next);
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
    this.submitted.add(createStepName(step));
  }

  private createPrompt(step: number, group: string): string {
    return `${this.options.seed} ${this.options.name} ${createStepName(step)} ${group}`;
  }

  private async trainStep(step: number): Promise<void> {
    const name = createStepName(step);
    const held = new Set<string>();
    this.held.set(name, held);
    while (held.size < this.options.groups) {
      const waitStartMs = performance.now();
      const answer = await this.take(step, held);
      this.idleMs += performance.now() - waitStartMs;
      answer.groups.forEach((group) => this.receive(step, held, group));
      await server.sleep(this.options.trainMs * answer.groups.length);
    }
  }

  private async take(step: number, held: ReadonlySet<string>): Promise<TakeAnswer> {
    this.version = this.announcedVersion;
    const body = {
      held: [...held],
      version: this.version,
      maximum_groups: GROUPS_PER_TAKE,
      wait_ms: TAKE_WAIT_MS,
    };
    this.takes += 1;
    const result = await this.post(`steps/${createStepName(step)}/take`, body);
    if (result?.status === 200) return result.body as TakeAnswer;
    if (result?.status === NOT_FOUND) await this.submit(step);
    else await server.sleep(RETRY_PAUSE_MS);
    return { remaining: 1, groups: [] };
  }

  private receive(step: number, held: Set<string>, group: TakeAnswer['groups'][number]): void {
    held.add(group.group);
    group.samples.forEach((sample, index) => {
      this.received += 1;
      if (this.seen.has(sample.id)) this.doubled += 1;
      this.seen.add(sample.id);
      this.checkSample(this.createPrompt(step, group.group), index, sample);
    });
  }

  private checkSample(prompt: string, index: number, sample: Sample): void {
    const { meanTokens, maximumTokens } = this.options;
    const length = generation.drawLength(prompt, index, meanTokens, maximumTokens);
    const expected = generation.makeText(prompt, index, 0, length);
    if (sample.text !== expected || sample.tokens !== length) this.damaged += 1;
    if (sample.weight_versions.length === 0) {
      this.unlabelled += 1;
      return;
    }
    const staleness = Math.max(0, this.version - Math.min(...sample.weight_versions));
    this.stalenessMaximum = Math.max(this.stalenessMaximum, staleness);
    this.stalenessSum += staleness;
    this.labels.push({ id: sample.id, weightVersions: sample.weight_versions, staleness });
  }

  /** Announces the next version without holding the training up. */
  private announceLater(): void {
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
    await server.sleep(RETRY_PAUSE_MS);
    await this.postUntilAccepted(path, body);
  }

  /** Posts to the current entry; goes on to the next one after a failure. */
  private async post(
    path: string,
    body: unknown,
  ): Promise<{ status: number; body: unknown } | undefined> {
    const { entries, name } = this.options;
    const entry = entries[this.entryIndex % entries.length];
    try {
      const response = await undici.request(`${entry}/v1/trainers/${name}/${path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const answer = { status: response.statusCode, body: await response.body.json() };
      if (answer.status >= 500) this.entryIndex += 1;
      return answer;
    } catch {
      this.entryIndex += 1;
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
