/**
 * Service discovery: tracks the replicas from the rows in which they register themselves.
 *
 * A replica that is leaving or whose row was removed gets no new requests; those in flight
 * continue. That it is leaving is learned from its answers as well as from its row, whichever comes
 * first. Right after an outage of the store, rows may be missing only until their replicas
 * renew them. A replica is then removed only if its row is still missing after a grace period.
 *
 * A row that cannot be decoded names no replica to use. If it replaced the row of a replica, that one
 * gets no new requests either, as nothing is known any more of its state, address or service.
 */
import * as decisions from '@azureworks/decisions';
import * as errorGuards from '../core/error-guard';
import type * as environments from '../types/environment';
import type * as replicas from '../types/replica';
import * as oddRows from '../store/odd-rows';
import type * as stores from '../types/store';
import type * as tableWatches from '../store/table-watch';
import * as incarnations from './incarnation';
import * as replicaHealths from './replica-health';
import type * as selections from './replica-selection';
import * as weightVersions from './weight-versions';
import * as workFactors from './work-factor';

/** A registered replica and this gateway's state for it. */
export interface TrackedReplica {
  replica: replicas.Replica;
  readonly health: replicaHealths.ReplicaHealth;
  /** Whether it is about to leave, so that it gets no new requests. */
  isLeaving: boolean;
  /** Requests of this gateway that it is processing. */
  inFlight: number;
  /** Requests of other gateways, derived from the load in the replica's last answer. */
  otherGatewaysLoad: number;
  /** When `otherGatewaysLoad` was updated, on the monotonic clock. */
  otherGatewaysLoadUpdatedMs: number;
  /** How long work takes there at this moment, where it reports that. */
  readonly workFactor: workFactors.WorkFactor;
  /** Until when it gets no items, because it refused one and was full. */
  fullUntilMs: number;
  /** Models that it refuses while it loads their weights, and the expected end of that. */
  readonly loadingUntilMs: Map<string, number>;
  /** Versions of the weights, from its row and its answers. */
  readonly weights: weightVersions.WeightVersions;
}

/** What limits the selection of a replica for one request, apart from its state. */
export type CandidateLimits = Pick<
  selections.SelectionCandidate,
  'isSuitable' | 'isPermitted' | 'isTried' | 'isAvoided' | 'isRefusing' | 'isLocal'
>;

/** A candidate for selection with the tracked replica. */
export interface ReplicaCandidate extends selections.SelectionCandidate {
  readonly tracked: TrackedReplica;
}

/** Decodes a replica's row; undefined when it describes no usable replica. */
export type DecodeReplica = (row: stores.Row) => replicas.Replica | undefined;

/** Notified of registered, changed and removed replicas. */
export interface DirectoryObserver {
  onReplicaChanged(tracked: TrackedReplica): void;
  /** Called once for each incarnation, when it is first known to leave. */
  onReplicaLeaving?(tracked: TrackedReplica): void;
  onReplicaRemoved(tracked: TrackedReplica): void;
}

export interface ReplicaDirectoryOptions {
  readonly environment: environments.Environment;
  readonly decode: DecodeReplica;
  /** Whether the store has recently answered without failures. */
  readonly isStoreStable: () => boolean;
}

/** How long a replica may be missing right after an outage of the store before it is removed. */
const REMOVAL_GRACE_MS = 2000;
/** How long a reported load of other gateways counts. */
const REPORTED_LOAD_VALIDITY_MS = 1000;

/** All registered replicas. */
export class ReplicaDirectory implements tableWatches.TableObserver {
  private readonly tracked = new Map<string, TrackedReplica>();

  private readonly removalTimers = new Map<string, NodeJS.Timeout>();

  private readonly observers: DirectoryObserver[] = [];

  private readonly departures: decisions.Departures;

  private readonly oddRows: oddRows.OddRows;

  private readonly errors: errorGuards.ErrorGuard;

  private constructor(private readonly options: ReplicaDirectoryOptions) {
    this.departures = decisions.Departures.create({ nowMs: options.environment.nowMs });
    this.oddRows = oddRows.OddRows.create(options.environment);
    this.errors = errorGuards.ErrorGuard.create(options.environment, 'replicas');
  }

  static create(options: ReplicaDirectoryOptions): ReplicaDirectory {
    return new ReplicaDirectory(options);
  }

  subscribe(observer: DirectoryObserver): void {
    this.observers.push(observer);
  }

  /** The replicas of a service that accept new requests. */
  list(service: string): TrackedReplica[] {
    return [...this.tracked.values()].filter(
      (tracked) => tracked.replica.service === service && !tracked.isLeaving,
    );
  }

  /**
   * Records that a replica said in an answer that it is leaving.
   * @param sentMs when the request was sent, on the monotonic clock
   */
  recordLeaving(replica: replicas.Replica, sentMs: number): void {
    const ageMs = this.options.environment.nowMs() - sentMs;
    this.recordDeparture(replica, decisions.DepartureSource.Answer, ageMs);
  }

  /** All registered replicas, including those that are leaving. */
  listAll(): TrackedReplica[] {
    return [...this.tracked.values()];
  }

  get(id: string): TrackedReplica | undefined {
    return this.tracked.get(id);
  }

  /** The load of a replica: requests of this gateway and, when recently reported, of others. */
  getLoad(tracked: TrackedReplica, nowMs = this.options.environment.nowMs()): number {
    const isFresh = nowMs - tracked.otherGatewaysLoadUpdatedMs < REPORTED_LOAD_VALIDITY_MS;
    return tracked.inFlight + (isFresh ? tracked.otherGatewaysLoad : 0);
  }

  /** Describes a replica for the choice in `selectReplica`. */
  createCandidate(
    tracked: TrackedReplica,
    limits: CandidateLimits,
    nowMs: number,
  ): ReplicaCandidate {
    const { health } = tracked;
    // Named one by one, as a spread takes 20 microseconds, for each replica and waiting item.
    return {
      isSuitable: limits.isSuitable,
      isPermitted: limits.isPermitted,
      isTried: limits.isTried,
      isAvoided: limits.isAvoided,
      isRefusing: limits.isRefusing,
      isLocal: limits.isLocal,
      id: tracked.replica.id,
      slots: tracked.replica.slots,
      load: this.getLoad(tracked, nowMs),
      unitMs: health.unitMs,
      workFactor: tracked.workFactor.getCurrent(nowMs),
      isEjected: health.isEjected(nowMs),
      condition: health.getCondition(nowMs),
      mayTry: health.mayTry(nowMs),
      tracked,
    };
  }

  /** Records the load that a replica reported in an answer. */
  recordLoad(tracked: TrackedReplica, load: replicas.ReplicaLoad | undefined): void {
    if (!load) return;
    tracked.otherGatewaysLoad = Math.max(0, load.running + load.waiting - tracked.inFlight);
    const nowMs = this.options.environment.nowMs();
    tracked.otherGatewaysLoadUpdatedMs = nowMs;
    if (load.workFactor !== undefined) tracked.workFactor.record(load.workFactor, nowMs);
  }

  /** The version of a model's weights that a replica is known to have. */
  getVersion(tracked: TrackedReplica, model: string): number | undefined {
    return tracked.weights.get(model);
  }

  /**
   * Records a version of a model's weights that an answer or a report of a replica told.
   * @param atMs before the replica told it, on the monotonic clock
   */
  recordVersion(tracked: TrackedReplica, model: string, version: number, atMs: number): void {
    const former = tracked.weights.get(model);
    tracked.weights.recordObserved(model, version, atMs);
    this.logIfBack(tracked.replica, model, former, tracked.weights.get(model));
  }

  private logIfBack(
    { id }: replicas.Replica,
    model: string,
    former: number | undefined,
    version: number | undefined,
  ): void {
    if (former === undefined || version === undefined || version >= former) return;
    const details = { replica: id, model, version, former };
    this.options.environment.log.info('weights of a replica went back', details);
  }

  onSnapshot(rows: readonly stores.Row[]): void {
    const present = new Set(rows.map((row) => row.key));
    this.errors.forEach(rows, (row) => this.applyRow(row));
    [...this.tracked.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.removeOrDefer(id));
  }

  onChanges(changes: readonly stores.RowChange[]): void {
    this.errors.forEach(changes, (change) => {
      if (change.isRemoved) this.removeOrDefer(change.key);
      else this.applyRow(change);
    });
  }

  private applyRow(row: stores.Row): void {
    const replica = this.options.decode(row);
    if (!replica) {
      this.oddRows.report(row, 'names no replica');
      this.remove(row.key, 'row cannot be used');
      return;
    }
    clearTimeout(this.removalTimers.get(replica.id));
    this.removalTimers.delete(replica.id);
    const former = this.tracked.get(replica.id);
    const isSameIncarnation =
      former?.replica.bornMs === replica.bornMs && former.replica.address === replica.address;
    if (former && !isSameIncarnation) this.remove(replica.id, 'started again');
    this.logChange(isSameIncarnation ? former?.replica : undefined, replica);
    const isLeaving = this.departures.isLeaving(incarnations.createIncarnationKey(replica));
    const tracked = former && isSameIncarnation ? former : createTracked(replica, isLeaving);
    tracked.replica = replica;
    tracked.weights.recordRow(replica.modelVersions, this.options.environment.nowMs());
    this.tracked.set(replica.id, tracked);
    if (replica.isDraining) {
      this.recordDeparture(replica, decisions.DepartureSource.Registry, 0);
    }
    this.errors.forEach(this.observers, (observer) => observer.onReplicaChanged(tracked));
  }

  private recordDeparture(
    replica: replicas.Replica,
    source: decisions.DepartureSource,
    ageMs: number,
  ): void {
    if (!this.departures.record(incarnations.createIncarnationKey(replica))) return;
    const { log, metrics } = this.options.environment;
    const { id, service, bornMs } = replica;
    metrics.count('replicas_leaving', { service, source });
    log.info('replica leaving', { replica: id, service, bornMs, source, ageMs: Math.round(ageMs) });
    const tracked = this.tracked.get(id);
    if (tracked?.replica.bornMs !== bornMs || tracked.replica.address !== replica.address) return;
    tracked.isLeaving = true;
    this.errors.forEach(this.observers, (observer) => observer.onReplicaLeaving?.(tracked));
  }

  private removeOrDefer(id: string): void {
    if (!this.tracked.has(id) || this.removalTimers.has(id)) return;
    if (this.options.isStoreStable()) {
      this.remove(id, 'row removed');
      return;
    }
    const timer = setTimeout(
      () => this.remove(id, 'still missing after an outage'),
      REMOVAL_GRACE_MS,
    );
    this.removalTimers.set(id, timer);
  }

  private remove(id: string, reason: string): void {
    const tracked = this.tracked.get(id);
    this.tracked.delete(id);
    clearTimeout(this.removalTimers.get(id));
    this.removalTimers.delete(id);
    if (!tracked) return;
    this.options.environment.log.info('replica left', { replica: id, reason });
    this.errors.forEach(this.observers, (observer) => observer.onReplicaRemoved(tracked));
  }

  private logChange(former: replicas.Replica | undefined, replica: replicas.Replica): void {
    const { log } = this.options.environment;
    former?.modelVersions.forEach((version, model) =>
      this.logIfBack(replica, model, version, replica.modelVersions.get(model)),
    );
    if (!former) {
      const { id, service, address, failureDomain, slots, bornMs, isDraining, softwareVersion } =
        replica;
      log.info('replica joined', {
        replica: id,
        service,
        address,
        failureDomain,
        slots,
        bornMs,
        isDraining,
        softwareVersion,
      });
    }
  }
}

function createTracked(replica: replicas.Replica, isLeaving: boolean): TrackedReplica {
  return {
    replica,
    isLeaving,
    health: replicaHealths.ReplicaHealth.create(),
    inFlight: 0,
    otherGatewaysLoad: 0,
    otherGatewaysLoadUpdatedMs: -Infinity,
    workFactor: workFactors.WorkFactor.create(),
    fullUntilMs: -Infinity,
    loadingUntilMs: new Map(),
    weights: weightVersions.WeightVersions.create(),
  };
}
