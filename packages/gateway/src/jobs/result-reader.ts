/**
 * Reads results and item bodies of batch jobs, whichever gateway runs them.
 *
 * Memory answers what is there: a listed result keeps its position, and an item its body. Only the
 * store, or a list with the results of all items, answers that there is nothing: another gateway may
 * have taken a job over unnoticed and listed more. A reader that waits for a result of a job on another
 * gateway waits through a call to that gateway.
 */
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as answers from './answer';
import type * as records from './job-record';
import * as jobStores from './job-store';
import * as ownedJobs from './owned-job';
import type * as boundedMaps from './bounded-map';
import type * as gatewayChoices from './gateway-choice';

/** A gateway that accepts new jobs. */
export interface Worker extends records.JobOwner, gatewayChoices.GatewayCandidate {
  /** The address at which peers reach it. */
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

/** The results of a job from a position onwards. */
export interface ResultsPage {
  readonly total: number;
  readonly results: readonly jobs.ItemResult[];
  /** Whether the list gets no further results. */
  readonly isFinal?: boolean;
}

/** Cached properties of a job that may run on another gateway. */
export interface CachedJob {
  readonly total: number;
  /** The host to which it was submitted. */
  readonly host: string;
  /** The owner when the head of the job was last read; null when it is not known. */
  readonly owner: records.JobOwner | null;
  /** Whether nothing more is listed, as the job was ended or finished. */
  readonly isFinal?: boolean;
  /** The organisation that submitted it. */
  readonly organisation?: string | undefined;
}

/** What is cached of a job that may go on. */
export function createCachedJob(head: records.JobHead): CachedJob {
  const { total, host, owner, organisation } = head;
  return { total, host, owner, organisation };
}

export interface ResultReaderOptions {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  /** Saves repeated reads of a job's head; an entry that is missing is read from the store. */
  readonly jobCache: boundedMaps.BoundedMap<CachedJob>;
  /** Finds a job that this gateway runs or has run to its end. */
  readonly findOwnedJob: (id: string) => ownedJobs.OwnedJob | undefined;
  readonly isStopping: () => boolean;
  /** The gateways that accept new jobs. */
  readonly listWorkers: () => readonly Worker[];
  readonly peers: Peers;
}

/** How often the store is polled for new results when the job's owner cannot be asked. */
const STORE_POLL_INTERVAL_MS = 200;

/** Answers readers of results and of item bodies. */
export class ResultReader {
  private constructor(private readonly options: ResultReaderOptions) {}

  static create(options: ResultReaderOptions): ResultReader {
    return new ResultReader(options);
  }

  /**
   * Reads the results from `position` onwards; waits up to `waitMs` for the first.
   * @param organisation that reads; it finds its own jobs only
   */
  async read(
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
    organisation?: string,
  ): Promise<answers.Answer<ResultsPage>> {
    const endMs = this.options.environment.nowMs() + waitMs;
    for (;;) {
      const remainingMs = endMs - this.options.environment.nowMs();
      const isLastRead = remainingMs <= 0 || signal.aborted || this.options.isStopping();
      const owned = this.options.findOwnedJob(id);
      if (owned && owned.head.organisation !== organisation) return answers.fail('unknown-job');
      const held = owned?.results.list(position);
      if (owned && held && (held.length > 0 || owned.isWhole))
        return { isOk: true, value: { total: owned.head.total, results: held } };
      if (owned?.isOpen && held && !isLastRead) await owned.waitForResult(remainingMs, signal);
      else {
        const stored = await this.readStored(id, position, organisation);
        if (!stored.isOk || stored.value.results.length > 0) return stored;
        if (isLastRead || stored.value.isFinal) {
          this.logEmptyPage(id, position, owned);
          return stored;
        }
        await this.waitForRemoteResult(id, position, remainingMs, signal);
      }
    }
  }

  /** Serves Peers.waitForResult on the gateway that runs the job. */
  async waitForOwnedResult(
    id: string,
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const job = this.options.findOwnedJob(id);
    if (!job) return false;
    if (job.results.count > position) return true;
    // A closed job gets no further results here; `false` makes the reader wait before it retries.
    if (!job.isOpen) return false;
    await job.waitForResult(waitMs, signal);
    return true;
  }

  /** Reads the body of an item; the items of a job that was ended are no longer available. */
  async readBody(
    id: string,
    itemId: string,
    organisation?: string,
  ): Promise<answers.Answer<Buffer>> {
    const owned = this.options.findOwnedJob(id);
    if (owned && owned.head.organisation !== organisation) return answers.fail('unknown-job');
    if (owned?.closeReason === ownedJobs.JobCloseReason.Ended) return answers.fail('unknown-item');
    const ownedItem = owned?.items.get(itemId)?.item;
    if (ownedItem && owned.isOpen) return { isOk: true, value: ownedItem.body };
    const state = await this.options.store.readHead(id);
    if (state === jobStores.UNREADABLE)
      return answers.fail('store-unavailable', answers.STORE_RETRY_AFTER_MS);
    if (!state || state.head.organisation !== organisation) return answers.fail('unknown-job');
    if (state.head.isEnded) return answers.fail('unknown-item');
    if (ownedItem) return { isOk: true, value: ownedItem.body };
    const item = await this.options.store.findItem(id, itemId);
    if (item === jobStores.UNREADABLE)
      return answers.fail('store-unavailable', answers.STORE_RETRY_AFTER_MS);
    return item ? { isOk: true, value: item.body } : answers.fail('unknown-item');
  }

  /** @param owned the job as this gateway holds it, if it does */
  private logEmptyPage(id: string, position: number, owned: ownedJobs.OwnedJob | undefined): void {
    this.options.environment.log.info('no result at position', {
      job: id,
      position,
      ...(owned && {
        listedHere: owned.results.count,
        revision: owned.revision,
        closing: owned.closeReason,
      }),
    });
  }

  /** Waits for a result of a job that another gateway runs. */
  private async waitForRemoteResult(
    id: string,
    position: number,
    remainingMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { listWorkers, peers, environment, jobCache } = this.options;
    const owner = jobCache.get(id)?.owner;
    const worker = listWorkers().find(
      (candidate) => candidate.vm === owner?.vm && candidate.vm !== environment.vm,
    );
    const hasPeerAnswered =
      worker && (await peers.waitForResult(worker.address, id, position, remainingMs, signal));
    if (hasPeerAnswered) return;
    // The cached owner may be outdated, so the next read takes it and the results from the store.
    const cachedJob = jobCache.get(id);
    if (cachedJob) jobCache.set(id, { ...cachedJob, owner: null });
    await environment.pause(Math.min(STORE_POLL_INTERVAL_MS, remainingMs));
  }

  private async readStored(
    id: string,
    position: number,
    organisation: string | undefined,
  ): Promise<answers.Answer<ResultsPage>> {
    const { store, jobCache } = this.options;
    let cachedJob = jobCache.get(id);
    if (!cachedJob?.owner && !cachedJob?.isFinal) {
      const state = await store.readHead(id);
      if (state === jobStores.UNREADABLE)
        return answers.fail('store-unavailable', answers.STORE_RETRY_AFTER_MS);
      if (!state) return answers.fail('unknown-job');
      const { isEnded, isFinished } = state.head;
      cachedJob = { ...createCachedJob(state.head), isFinal: isEnded || isFinished };
      jobCache.set(id, cachedJob);
    }
    if (cachedJob.organisation !== organisation) return answers.fail('unknown-job');
    // The results are read after it is known that no more are listed.
    const isFinal = cachedJob.isFinal === true;
    const range = await store.readResults(id, position);
    if (range === jobStores.UNREADABLE)
      return answers.fail('store-unavailable', answers.STORE_RETRY_AFTER_MS);
    const { results } = range;
    return { isOk: true, value: { total: cachedJob.total, results, isFinal } };
  }
}
