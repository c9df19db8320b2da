/**
 * The only way in which a batch job begins to run on this gateway: after a submission with or without an
 * answer, a notice, a search, or its release by another gateway.
 *
 * What led here was read or written before a wait, in which the job may have been ended or taken over. The
 * head is therefore read again when everything else is in memory, and compared with what was loaded. An
 * end that is announced while that read is in flight counts as well, as the read may be older.
 */
import type * as environments from '../types/environment';
import * as boundedMaps from './bounded-map';
import * as jobStores from './job-store';
import type * as ownedJobs from './owned-job';

export interface JobStarterOptions {
  readonly environment: environments.Environment;
  readonly store: jobStores.JobStore;
  readonly isStopping: () => boolean;
  /** Whether this gateway runs the job already. */
  readonly isStarted: (id: string) => boolean;
  /** Runs a job whose head was compared; must not wait. */
  readonly run: (content: ownedJobs.OwnedJobContent) => void;
}

/** Jobs whose end is remembered; only those that end while they are about to start matter. */
const MAXIMUM_ENDED_JOBS = 2000;

/** Starts the jobs of one gateway. */
export class JobStarter {
  private readonly endedJobs = boundedMaps.BoundedMap.create<true>(MAXIMUM_ENDED_JOBS);

  private constructor(private readonly options: JobStarterOptions) {}

  static create(options: JobStarterOptions): JobStarter {
    return new JobStarter(options);
  }

  /** Records that a job was ended, which is final. */
  recordEnd(id: string): void {
    this.endedJobs.set(id, true);
  }

  /** Starts a job unless its head has changed; returns whether this gateway runs it now. */
  async start(content: ownedJobs.OwnedJobContent): Promise<boolean> {
    const { store, isStopping, isStarted, run } = this.options;
    const { id } = content;
    const state = await store.readHead(id);
    // The search may have found a job that was submitted here before the answer to its submission came.
    if (isStarted(id)) return true;
    const obstacle = this.findObstacle(content, state);
    if (obstacle !== undefined || !state || state === jobStores.UNREADABLE) {
      this.options.environment.log.info('job not started', { job: id, reason: obstacle });
      return false;
    }
    if (isStopping()) {
      await store.release(id, state, []);
      return false;
    }
    run({ ...content, state });
    return true;
  }

  private findObstacle(
    content: ownedJobs.OwnedJobContent,
    state: Awaited<ReturnType<jobStores.JobStore['readHead']>>,
  ): string | undefined {
    if (state === jobStores.UNREADABLE) return 'its head cannot be read';
    if (!state) return 'it has no head';
    const { head } = state;
    if (head.isEnded || this.endedJobs.get(content.id)) return 'it was ended';
    if (!this.options.store.isOwn(head)) return 'another gateway owns it';
    if (head.listed !== content.results.count) return 'its list has changed';
    return undefined;
  }
}
