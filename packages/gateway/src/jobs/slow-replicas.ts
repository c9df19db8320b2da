/**
 * Finds replicas that are much slower than the others of their service, so that items are moved off them.
 *
 * A replica's own speed and its work factor both count. The factor changes many times a second, and a moment
 * is no reason to move an item, so a replica that reports one has to be slow for a while.
 */
import type * as environments from '../types/environment';
import type * as directories from '../replicas/directory';
import * as placement from '../replicas/placement';

/** Slow is a replica whose time per event exceeds this multiple of the others' median. */
const SLOW_REPLICA_FACTOR = 2;
/** How long a replica that reports its work factor has to be slow. */
const LASTING_MS = 1000;
/** A replica that was not checked for this long is judged anew. */
const JUDGEMENT_VALIDITY_MS = 500;

interface Judgement {
  readonly slowSinceMs: number;
  readonly checkedMs: number;
}

export interface SlowReplicasOptions {
  readonly environment: Pick<environments.Environment, 'nowMs'>;
  readonly directory: Pick<directories.ReplicaDirectory, 'list'>;
}

/** Judges the speed of replicas for one gateway. */
export class SlowReplicas {
  private readonly judgements = new WeakMap<directories.TrackedReplica, Judgement>();

  private constructor(private readonly options: SlowReplicasOptions) {}

  static create(options: SlowReplicasOptions): SlowReplicas {
    return new SlowReplicas(options);
  }

  /** Whether items are to be moved off a replica now. */
  isSlow(tracked: directories.TrackedReplica): boolean {
    if (!this.isSlowerThanOthers(tracked)) {
      this.judgements.delete(tracked);
      return false;
    }
    if (!tracked.workFactor.isReported) return true;
    const nowMs = this.options.environment.nowMs();
    const last = this.judgements.get(tracked);
    const isContinued = last !== undefined && nowMs - last.checkedMs <= JUDGEMENT_VALIDITY_MS;
    const slowSinceMs = isContinued ? last.slowSinceMs : nowMs;
    this.judgements.set(tracked, { slowSinceMs, checkedMs: nowMs });
    return nowMs - slowSinceMs >= LASTING_MS;
  }

  private isSlowerThanOthers(tracked: directories.TrackedReplica): boolean {
    const unitMs = getUsualUnitMs(tracked);
    if (unitMs === undefined) return false;
    const others = this.options.directory
      .list(tracked.replica.service)
      .filter((other) => other !== tracked);
    const typicalMs = placement.findMedian(others.flatMap((other) => getUsualUnitMs(other) ?? []));
    return typicalMs !== undefined && unitMs > typicalMs * SLOW_REPLICA_FACTOR;
  }
}

/** The time that a unit of work takes there, with the work factor of the last seconds. */
export function getUsualUnitMs(tracked: directories.TrackedReplica): number | undefined {
  const { unitMs } = tracked.health;
  return unitMs === undefined ? undefined : unitMs * tracked.workFactor.lasting;
}
