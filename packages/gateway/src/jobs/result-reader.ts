/**
 * Reads results and bodies of batch jobs, wherever they are run: from what this gateway knows when
 * it runs the job and nobody else can, from the store otherwise. A reader that waits for a result
 * of a job that is run elsewhere waits at the gateway that runs it.
 */
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as answers from './answer';
import type * as records from './job-record';
import * as jobStores from './job-store';
import * as ownedJobs from './owned-job';
import type * as recentMaps from './recent-map';
import type * as runnerChoices from './runner-choice';

/** A gateway that takes new work. */
export interface Worker extends records.JobOwner, runnerChoices.RunnerCandidate {
  /** Where peers reach it. */
  readonly address: string;
}

/** Calls to other gateways. */
export interface Peers {
  /**
   * Waits until a job that the peer runs has more than `position` results, or for `waitMs`.
   * Resolves to false when the peer does not answer or does not run the job.
   */
  waitForResult(
    address: string,
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean>;
}

/** Results from a position on. */
export interface ResultsPage {
  readonly total: number;
  readonly results: readonly jobs.ItemResult[];
}

/** What is remembered of a job that may be run elsewhere. */
export interface JobFacts {
  readonly total: number;
  /** Who ran it when it was last looked up; null when that is not known. */
  readonly owner: records.JobOwner | null;
}

/** What the reader needs. */
export interface ResultReaderParts {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  /** Saves readers that ask again a look at the job's head; the store has it all. */
  readonly facts: recentMaps.RecentMap<JobFacts>;
  /** A job that is run here or was to its end. */
  readonly findOwned: (id: string) => ownedJobs.OwnedJob | undefined;
  /** Whether no other gateway can have taken this one's jobs over. */
  readonly isTrusted: () => boolean;
  readonly isStopping: () => boolean;
  /** The gateways that take new work. */
  readonly listWorkers: () => readonly Worker[];
  readonly peers: Peers;
}

/** How often a reader's gateway looks into the store for new results, in milliseconds. */
const LOOK_MS = 200;

/** Answers readers. */
export class ResultReader {
  private constructor(private readonly parts: ResultReaderParts) {}

  static create(parts: ResultReaderParts): ResultReader {
    return new ResultReader(parts);
  }

  /** Results from `position` on; waits up to `waitMs` for the first. */
  async read(
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<answers.Answer<ResultsPage>> {
    const endMs = this.parts.environment.nowMs() + waitMs;
    for (;;) {
      const leftMs = endMs - this.parts.environment.nowMs();
      const isLast = leftMs <= 0 || signal.aborted || this.parts.isStopping();
      const owned = this.parts.findOwned(id);
      const page = owned ? this.readOwned(owned, position, isLast) : undefined;
      if (page) return { isOk: true, value: page };
      if (owned && !isLast && this.isAuthority(owned)) await owned.waitForResult(leftMs, signal);
      else {
        const read = await this.readStored(id, position);
        if (!read.isOk || read.value.results.length > 0 || isLast) return read;
        await this.waitForOther(id, position, leftMs, signal);
      }
    }
  }

  /** See Peers.waitForResult, on the side of the gateway that runs the job. */
  async waitForListing(
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const job = this.parts.findOwned(id);
    if (!job) return false;
    if (job.results.length > position) return true;
    // Nothing more comes here, so the reader had better not ask again at once.
    if (!job.isOpen) return false;
    await job.waitForResult(waitMs, signal);
    return true;
  }

  /** The body of an item; a job that was ended has none any more. */
  async readBody(id: string, itemId: string): Promise<answers.Answer<Buffer>> {
    const owned = this.parts.findOwned(id);
    if (owned?.closing === ownedJobs.JobClosing.Ended) return answers.fail('unknown-item');
    const known = owned?.items.get(itemId)?.item;
    if (known && owned.isOpen && this.parts.isTrusted()) return { isOk: true, value: known.body };
    const state = await this.parts.store.readHead(id);
    if (state === jobStores.UNREADABLE)
      return answers.fail('store-unavailable', answers.STORE_RETRY_MS);
    if (!state) return answers.fail('unknown-job');
    if (state.head.isEnded) return answers.fail('unknown-item');
    if (known) return { isOk: true, value: known.body };
    const items = await this.parts.store.readItems(id);
    if (items === jobStores.UNREADABLE)
      return answers.fail('store-unavailable', answers.STORE_RETRY_MS);
    const item = items.find((candidate) => candidate.id === itemId);
    return item ? { isOk: true, value: item.body } : answers.fail('unknown-item');
  }

  private readOwned(
    job: ownedJobs.OwnedJob,
    position: number,
    isLast: boolean,
  ): ResultsPage | undefined {
    const results = job.results.slice(position);
    const isSettled = !job.isOpen || isLast;
    // A listing without an answer may be in force, and others may have read it.
    const isSure = this.isAuthority(job) && !(job.isOpen && job.isBeingListed);
    if (results.length === 0 && !(isSettled && isSure)) return undefined;
    return { total: job.head.total, results };
  }

  /** Whether what this gateway knows of a job is all there is. */
  private isAuthority(job: ownedJobs.OwnedJob): boolean {
    return !job.isOpen || this.parts.isTrusted();
  }

  /** Waits for a result of a job that another gateway runs. */
  private async waitForOther(
    id: string,
    position: number,
    leftMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { listWorkers, peers, environment, facts } = this.parts;
    const owner = facts.get(id)?.owner;
    const worker = listWorkers().find(
      (candidate) => candidate.vm === owner?.vm && candidate.vm !== environment.vm,
    );
    const isTold =
      worker && (await peers.waitForResult(worker.address, id, position, leftMs, signal));
    if (isTold) return;
    // Whoever runs it now, the store tells what is listed.
    const known = facts.get(id);
    if (known) facts.set(id, { ...known, owner: null });
    await environment.pause(Math.min(LOOK_MS, leftMs));
  }

  private async readStored(id: string, position: number): Promise<answers.Answer<ResultsPage>> {
    const { store, facts } = this.parts;
    let known = facts.get(id);
    if (!known?.owner) {
      const state = await store.readHead(id);
      if (state === jobStores.UNREADABLE)
        return answers.fail('store-unavailable', answers.STORE_RETRY_MS);
      if (!state) return answers.fail('unknown-job');
      known = { total: state.head.total, owner: state.head.owner };
      facts.set(id, known);
    }
    const results = await store.readResults(id, position);
    if (results === jobStores.UNREADABLE)
      return answers.fail('store-unavailable', answers.STORE_RETRY_MS);
    return { isOk: true, value: { total: known.total, results } };
  }
}
