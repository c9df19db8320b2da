/**
 * Chooses the replica for an item of a batch job.
 *
 * Load pattern: replicas of two versions of their software serve side by side, and those of one are full or
 * gone. A text that has begun goes on only at its software; it is given up, and the item begins anew elsewhere,
 * when only replicas of other software work, or have had room for a while.
 */
import * as routeTables from '../configuration/route-table';
import type * as permitRequesters from '../limits/permit-requester';
import type * as directories from '../replicas/directory';
import * as selections from '../replicas/replica-selection';
import * as replicaTrials from '../replicas/replica-trials';
import * as softwares from '../replicas/software';
import type * as configurations from '../types/configuration';
import type * as environments from '../types/environment';
import type * as progress from './item-progress';
import type * as ownedJobs from './owned-job';

export interface ItemPlacementOptions {
  readonly environment: environments.Environment;
  readonly directory: directories.ReplicaDirectory;
  readonly permits: permitRequesters.PermitRequester;
  /** Called when an item for which there was no replica may find one. */
  readonly onRoom: () => void;
}

/**
 * How long an item waits for room at the software that began its text while other replicas have room.
 * Well below the 5 s for which an item may be at no replica.
 */
const CONTINUATION_WAIT_MS = 2000;

/** Places the items of one gateway. */
export class ItemPlacement {
  /** Why there was no replica for the last item that got none. */
  lastReason: selections.WithheldReason | undefined;

  private constructor(private readonly options: ItemPlacementOptions) {}

  static create(options: ItemPlacementOptions): ItemPlacement {
    return new ItemPlacement(options);
  }

  /** Chooses a replica for an item; undefined while none has room. */
  choose(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    route: configurations.Route,
    nowMs: number,
  ): directories.TrackedReplica | undefined {
    const suitable = this.listSuitable(job, itemProgress, route, nowMs);
    return (
      this.chooseAmong(suitable, job, itemProgress, route, nowMs) ??
      this.chooseForAnew(job, itemProgress, route, nowMs)
    );
  }

  /** Chooses a replica at which an item begins anew that has waited long enough to go on. */
  private chooseForAnew(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    route: configurations.Route,
    nowMs: number,
  ): directories.TrackedReplica | undefined {
    if (itemProgress.lastEvent === undefined) return undefined;
    if (itemProgress.waitingSinceMs === undefined) {
      Object.assign(itemProgress, { waitingSinceMs: nowMs });
      this.options.environment.pause(CONTINUATION_WAIT_MS).then(() => this.options.onRoom());
    }
    if (nowMs - (itemProgress.waitingSinceMs ?? nowMs) < CONTINUATION_WAIT_MS) return undefined;
    const chosen = this.chooseAmong(this.listAnywhere(route), job, itemProgress, route, nowMs);
    if (chosen) this.discardText(job, itemProgress, 'no replica that can go on with it has room');
    return chosen;
  }

  private chooseAmong(
    suitable: readonly directories.TrackedReplica[],
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    route: configurations.Route,
    nowMs: number,
  ): directories.TrackedReplica | undefined {
    const { directory, environment, permits } = this.options;
    const { model } = itemProgress.item;
    const isSuitable = (tracked: directories.TrackedReplica): boolean => {
      const version = directory.getVersion(tracked, model);
      if (version !== undefined && version < job.head.oldestVersion) return false;
      return (tracked.loadingUntilMs.get(model) ?? -Infinity) <= nowMs;
    };
    // With many items waiting, most find all replicas full, which takes no further look at them.
    const hasRoom = (tracked: directories.TrackedReplica): boolean =>
      tracked.fullUntilMs <= nowMs && directory.getLoad(tracked, nowMs) < tracked.replica.slots;
    if (!suitable.some(hasRoom)) {
      this.lastReason = selections.WithheldReason.Full;
      return undefined;
    }
    const refused = new Set<directories.TrackedReplica>();
    for (;;) {
      const candidates = suitable.map((tracked) =>
        directory.createCandidate(
          tracked,
          {
            isSuitable: isSuitable(tracked),
            isPermitted: !refused.has(tracked) && !permits.isRefused(tracked.replica),
            isTried: false,
            isRefusing: tracked.fullUntilMs > nowMs,
            isAvoided: itemProgress.replicaId === tracked.replica.id,
            // The failure domain of the replica does not matter for batch items.
            isLocal: false,
          },
          nowMs,
        ),
      );
      const draw = environment.random();
      const { chosen, reason } = selections.selectReplica(candidates, { needsRoom: true, draw });
      if (!chosen) {
        this.lastReason = reason;
        return undefined;
      }
      const { tracked } = chosen;
      const onPermit = (): void => this.options.onRoom();
      if (permits.tryTake(tracked.replica, route.priority, onPermit)) {
        replicaTrials.recordSelection(environment, directory, tracked);
        return tracked;
      }
      refused.add(tracked);
    }
  }

  /**
   * The replicas that may run an item. A text that has begun goes on where its software serves; when
   * only replicas of other software work, it is discarded and begins anew there. While no replica seems
   * to work, it is kept: this gateway may have stood still itself.
   */
  private listSuitable(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    route: configurations.Route,
    nowMs: number,
  ): directories.TrackedReplica[] {
    const { directory } = this.options;
    if (itemProgress.lastEvent !== undefined) {
      const { software } = itemProgress;
      const serving = route.services.flatMap(({ service }) => directory.list(service));
      const same = serving.filter(
        ({ replica }) => softwares.identifySoftware(replica) === software,
      );
      const isWorking = ({ health }: directories.TrackedReplica): boolean =>
        !health.isEjected(nowMs);
      const isContinued = same.some(isWorking) || (same.length > 0 && !serving.some(isWorking));
      if (software !== undefined && isContinued) return same;
      this.discardText(job, itemProgress, 'no replica can go on with it');
    }
    return this.listAnywhere(route);
  }

  private listAnywhere(route: configurations.Route): directories.TrackedReplica[] {
    const { directory, environment } = this.options;
    const service = routeTables.chooseService(route, environment.random());
    return service === undefined ? [] : directory.list(service);
  }

  private discardText(
    job: ownedJobs.OwnedJob,
    itemProgress: progress.ItemProgress,
    reason: string,
  ): void {
    const { log, metrics } = this.options.environment;
    log.info('text discarded', {
      job: job.id,
      item: itemProgress.item.id,
      reason,
      software: itemProgress.software,
      events: itemProgress.events.length,
    });
    metrics.count('texts_discarded', {});
    itemProgress.reset();
  }
}
