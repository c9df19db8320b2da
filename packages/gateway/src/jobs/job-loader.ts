/**
 * Loads what this gateway needs to run a job: the next items, the length of its list of results, and the
 * incomplete texts. The memory is taken before anything is read; a job that does not fit is left in the
 * store and loaded later.
 */
import type * as intake from '@azureworks/intake';
import type * as environments from '../types/environment';
import type * as jobs from '../types/batch-job';
import * as itemWindows from './item-window';
import * as progress from './item-progress';
import type * as records from './job-record';
import * as jobStores from './job-store';
import * as listedResults from './listed-results';
import type * as ownedJobs from './owned-job';

/** Memory of the id of an item that has a result, in bytes. */
const LISTED_ID_BYTES = 100;

export interface JobLoaderOptions {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  readonly onText: (text: records.PartialText) => void;
}

/** What a job holds in memory. */
type JobMemory = Pick<ownedJobs.OwnedJobContent, 'window' | 'results'>;

/** Loads the jobs of one gateway. */
export class JobLoader {
  private constructor(private readonly options: JobLoaderOptions) {}

  static create(options: JobLoaderOptions): JobLoader {
    return new JobLoader(options);
  }

  /** Holds the items of a job that was just submitted; undefined when they do not fit the memory. */
  hold(items: readonly jobs.Item[]): JobMemory | undefined {
    const { memory } = this.options.environment;
    const bytes = items.reduce((sum, item) => sum + progress.estimateItemBytes(item), 0);
    const reservation = memory.tryTake(bytes);
    if (!reservation) return undefined;
    reservation.release();
    const window = itemWindows.ItemWindow.create({
      reservation,
      source: undefined,
      listedIds: new Set(),
    });
    window.add(items);
    return { window, results: listedResults.ListedResults.create(memory.open()) };
  }

  /** Loads a job; undefined when that is not possible now. */
  async load(id: string, head: records.JobHead): Promise<JobMemory | undefined> {
    const { environment, store, onText } = this.options;
    const reservation = environment.memory.open();
    const listedIds = new Set<string>();
    const source = store.openItems(id);
    const window = itemWindows.ItemWindow.create({ reservation, source, listedIds });
    const results = listedResults.ListedResults.create(environment.memory.open());
    const isLoaded =
      reservation.tryGrow(head.listed * LISTED_ID_BYTES + itemWindows.READ_BYTES) &&
      (await this.readListed(id, head.listed, listedIds, results)) &&
      (await fill(window, reservation)) &&
      (await store.readPartials(id, onText));
    if (isLoaded) return { window, results };
    environment.log.info('job not loaded', { job: id, heldBytes: environment.memory.heldBytes });
    window.release();
    results.release();
    return undefined;
  }

  /** Reads the list; returns false when it is shorter than the head tells. */
  private async readListed(
    id: string,
    listed: number,
    listedIds: Set<string>,
    results: listedResults.ListedResults,
  ): Promise<boolean> {
    while (results.count < listed) {
      const range = await this.options.store.readResults(id, results.count);
      if (range === jobStores.UNREADABLE || range.results.length === 0) return false;
      // A row beyond the listed ones is no result.
      const read = range.results.slice(0, listed - results.count);
      read.forEach(({ itemId }) => listedIds.add(itemId));
      results.append(read);
    }
    return true;
  }
}

/** Reads the first items; the others may follow later. */
async function fill(
  window: itemWindows.ItemWindow,
  reservation: intake.Reservation,
): Promise<boolean> {
  // The window takes it again for each of its reads.
  reservation.shrink(itemWindows.READ_BYTES);
  const end = await window.fill(() => {});
  return end === itemWindows.FillEnd.Filled || window.items.size > 0;
}
