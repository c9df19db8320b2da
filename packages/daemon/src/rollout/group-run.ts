/**
 * Makes the samples of one group and decides its result once: the put-if-absent of the group's
 * object decides between attempts of several entries. While the object store is away the result is
 * handed over undecided, which is safe because the trainer's own position says what it holds.
 */
import type * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';
import type * as dispatchers from '../entry/dispatcher';
import * as sampleRuns from './sample-run';

/** What a group run needs. */
export interface GroupRunOptions {
  readonly order: links.GroupOrder;
  readonly samples: readonly sampleRuns.SampleOrder[];
  readonly dispatcher: dispatchers.Dispatcher;
  readonly objects: storage.ObjectStore;
}

const FIRST_COMMIT_PAUSE_MS = 500;
const LONGEST_COMMIT_PAUSE_MS = 10_000;
const COMMIT_ATTEMPTS = 200;

/** The key of a group's result at the object store. */
export function createGroupKey(order: links.GroupOrder): string {
  return `steps/${order.trainer}/${order.step}/groups/${order.group}/${order.generation}`;
}

/** One group under way. */
export class GroupRun {
  private readonly runs: sampleRuns.SampleRun[];

  private constructor(private readonly options: GroupRunOptions) {
    this.runs = options.samples.map((sample) =>
      sampleRuns.SampleRun.create(sample, options.dispatcher),
    );
  }

  static create(options: GroupRunOptions): GroupRun {
    return new GroupRun(options);
  }

  /** The samples that have not failed or finished. */
  get samples(): readonly sampleRuns.SampleRun[] {
    return this.runs;
  }

  /** Whether the group belongs to a trainer. */
  belongsTo(trainer: string): boolean {
    return this.options.order.trainer === trainer;
  }

  /** Begins samples again that would be too old for a trainer at this version. */
  noteVersion(trainerVersion: number): void {
    this.runs.forEach((run) => run.noteVersion(trainerVersion));
  }

  abort(): void {
    this.runs.forEach((run) => run.abort());
  }

  /** Makes all samples and decides the result. */
  async run(): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>> {
    const known = await this.readDecided();
    if (known) return neverthrow.ok(known);
    const results = await Promise.all(this.runs.map((run) => run.run()));
    const combined = neverthrow.Result.combine(results);
    if (combined.isErr()) {
      this.abort();
      return neverthrow.err(combined.error);
    }
    const { group, generation } = this.options.order;
    return neverthrow.ok(
      await this.commit({ group, generation, samples: combined.value, isCommitted: true }),
    );
  }

  private async readDecided(): Promise<links.GroupResult | undefined> {
    const key = createGroupKey(this.options.order);
    const read = await this.options.objects.read<links.GroupResult>(key);
    return read.isOk() ? read.value : undefined;
  }

  /** Puts the result if absent; returns the one that counts. */
  private async commit(result: links.GroupResult): Promise<links.GroupResult> {
    const decided = await this.tryCommit(result);
    if (decided) return decided;
    this.commitLater(result).catch(() => {});
    return { ...result, isCommitted: false };
  }

  /** Undefined when the store did not say which result counts. */
  private async tryCommit(result: links.GroupResult): Promise<links.GroupResult | undefined> {
    const key = createGroupKey(this.options.order);
    const put = await this.options.objects.putIfAbsent(key, result);
    if (put.isOk() && put.value === storage.PutOutcome.Created) return result;
    // After a lost answer the object found may be this very result.
    return this.readDecided();
  }

  private async commitLater(result: links.GroupResult): Promise<void> {
    let pauseMs = FIRST_COMMIT_PAUSE_MS;
    for (let attempt = 0; attempt < COMMIT_ATTEMPTS; attempt += 1) {
      const durationMs = pauseMs;
      await new Promise((resolve) => {
        setTimeout(resolve, durationMs).unref();
      });
      if (await this.tryCommit(result)) return;
      pauseMs = Math.min(LONGEST_COMMIT_PAUSE_MS, pauseMs * 2);
    }
  }
}
