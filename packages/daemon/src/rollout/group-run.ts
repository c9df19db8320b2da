/**
 * Generates the samples of one group and commits its result. When several entries run the same
 * group, a put-if-absent of the group's object decides which result is valid. While the object
 * store is unavailable, the result is returned uncommitted. That is safe because the trainer itself
 * tells with every request which groups it holds.
 */
import type * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';
import type * as dispatchers from '../entry/dispatcher';
import * as sampleRuns from './sample-run';

export interface GroupRunOptions {
  readonly order: links.GroupOrder;
  readonly samples: readonly sampleRuns.SampleOrder[];
  readonly dispatcher: dispatchers.Dispatcher;
  readonly objects: storage.ObjectStore;
}

const INITIAL_COMMIT_BACKOFF_MS = 500;
const MAXIMUM_COMMIT_BACKOFF_MS = 10_000;
const MAXIMUM_COMMIT_ATTEMPTS = 200;

/** The key of a group's result in the object store. */
export function createGroupKey(order: links.GroupOrder): string {
  return `steps/${order.trainer}/${order.step}/groups/${order.group}/${order.generation}`;
}

/** One running group. */
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

  /** The runs of all samples of the group. */
  get sampleRuns(): readonly sampleRuns.SampleRun[] {
    return this.runs;
  }

  /** Whether the group belongs to a trainer. */
  belongsTo(trainer: string): boolean {
    return this.options.order.trainer === trainer;
  }

  /** Restarts samples that would be too stale for a trainer at this weight version. */
  restartStaleSamples(trainerVersion: number): void {
    this.runs.forEach((run) => run.restartIfStale(trainerVersion));
  }

  abort(): void {
    this.runs.forEach((run) => run.abort());
  }

  /** Generates all samples and commits the result; returns a result committed earlier instead. */
  async run(): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>> {
    const committed = await this.readCommitted();
    if (committed) return neverthrow.ok(committed);
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

  private async readCommitted(): Promise<links.GroupResult | undefined> {
    const key = createGroupKey(this.options.order);
    const read = await this.options.objects.read<links.GroupResult>(key);
    return read.isOk() ? read.value : undefined;
  }

  /** Commits the result. Returns the valid one, or this one uncommitted without the object store. */
  private async commit(result: links.GroupResult): Promise<links.GroupResult> {
    const committed = await this.tryCommit(result);
    if (committed) return committed;
    this.retryCommit(result).catch(() => {});
    return { ...result, isCommitted: false };
  }

  /** Returns the valid result; undefined when the object store could not tell. */
  private async tryCommit(result: links.GroupResult): Promise<links.GroupResult | undefined> {
    const key = createGroupKey(this.options.order);
    const put = await this.options.objects.putIfAbsent(key, result);
    if (put.isOk() && put.value === storage.PutOutcome.Created) return result;
    // The object may be this result too: an earlier put may have succeeded with its response lost.
    return this.readCommitted();
  }

  private async retryCommit(result: links.GroupResult): Promise<void> {
    let backoffMs = INITIAL_COMMIT_BACKOFF_MS;
    for (let attempt = 0; attempt < MAXIMUM_COMMIT_ATTEMPTS; attempt += 1) {
      const durationMs = backoffMs;
      await new Promise((resolve) => {
        setTimeout(resolve, durationMs).unref();
      });
      if (await this.tryCommit(result)) return;
      backoffMs = Math.min(MAXIMUM_COMMIT_BACKOFF_MS, backoffMs * 2);
    }
  }
}
