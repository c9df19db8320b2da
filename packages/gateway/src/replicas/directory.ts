/**
 * The replicas that may be used, from the rows in which they register themselves.
 *
 * A replica that drains or whose row is gone gets no new requests; what runs there goes on. Right
 * after an outage of the store rows may be missing that are about to come back, so a removal is
 * believed only when the replica is still missing a while after the store's return.
 */
import type * as environments from '../types/environment';
import type * as replicas from '../types/replica';
import * as stores from '../types/store';
import type * as tableWatches from '../store/table-watch';
import * as paces from './replica-health';
import type * as placement from './placement';

/** A replica in use, with what this gateway knows of it. */
export interface KnownReplica {
  replica: replicas.Replica;
  readonly pace: paces.Pace;
  /** Requests of this gateway that it has now. */
  inFlight: number;
  /** Requests of other gateways, as far as the replica's last answer or the peers told. */
  othersLoad: number;
  /** When `othersLoad` was learned, on the monotonic clock. */
  othersLoadMs: number;
  /** Models that it refuses for the moment, because it loads their weights, and until when. */
  readonly loadingUntilMs: Map<string, number>;
  /** Versions that its answers have shown, which may be newer than its row. */
  readonly shownVersions: Map<string, number>;
}

/** A candidate of the placement, with the replica that it stands for. */
export interface KnownCandidate extends placement.PlacementCandidate {
  readonly known: KnownReplica;
}

/** Decodes a replica's row; undefined when it names no replica that can be used. */
export type DecodeReplica = (row: stores.Row) => replicas.Replica | undefined;

/** Told of changes. */
export interface DirectoryObserver {
  replicaChanged(known: KnownReplica): void;
  replicaLeft(known: KnownReplica): void;
}

/** Parts of a directory. */
export interface DirectoryParts {
  readonly environment: environments.Environment;
  readonly decode: DecodeReplica;
  /** Whether the store has answered without failures of late. */
  readonly isStoreSteady: () => boolean;
}

/** How long after the store's return a missing replica is waited for, in milliseconds. */
const RETURN_MS = 2000;
/** What another gateway sent to a replica is remembered for this long, in milliseconds. */
const OTHERS_LOAD_MS = 1000;

/** All replicas. */
export class Directory implements tableWatches.TableObserver {
  private readonly known = new Map<string, KnownReplica>();

  private readonly leaving = new Map<string, NodeJS.Timeout>();

  private readonly observers: DirectoryObserver[] = [];

  private constructor(private readonly parts: DirectoryParts) {}

  static create(parts: DirectoryParts): Directory {
    return new Directory(parts);
  }

  subscribe(observer: DirectoryObserver): void {
    this.observers.push(observer);
  }

  /** The replicas of a service that take new requests. */
  list(service: string): KnownReplica[] {
    return [...this.known.values()].filter(
      (known) => known.replica.service === service && !known.replica.isDraining,
    );
  }

  /** All replicas whose row is there, draining ones included. */
  listAll(): KnownReplica[] {
    return [...this.known.values()];
  }

  get(id: string): KnownReplica | undefined {
    return this.known.get(id);
  }

  /** The load of a replica: own requests, and what is known of others'. */
  getLoad(known: KnownReplica): number {
    const isFresh = this.parts.environment.nowMs() - known.othersLoadMs < OTHERS_LOAD_MS;
    return known.inFlight + (isFresh ? known.othersLoad : 0);
  }

  /** A replica as the placement sees it. */
  describe(known: KnownReplica): KnownCandidate {
    const { environment } = this.parts;
    return {
      id: known.replica.id,
      slots: known.replica.slots,
      load: this.getLoad(known),
      unitMs: known.pace.unitMs,
      isNear: known.replica.failureDomain === environment.failureDomain,
      isAvoided: known.pace.isAvoided(environment.nowMs()),
      known,
    };
  }

  /** Takes in the load that a replica told in an answer. */
  noteLoad(known: KnownReplica, load: replicas.ReplicaLoad | undefined): void {
    if (!load) return;
    known.othersLoad = Math.max(0, load.running + load.waiting - known.inFlight);
    known.othersLoadMs = this.parts.environment.nowMs();
  }

  /** The version of a model that a replica holds, as far as is known. */
  getVersion(known: KnownReplica, model: string): number | undefined {
    const registered = known.replica.modelVersions.get(model);
    const shown = known.shownVersions.get(model);
    if (registered === undefined) return shown;
    return Math.max(registered, shown ?? 0);
  }

  replace(rows: readonly stores.Row[]): void {
    const present = new Set(rows.map((row) => row.key));
    rows.forEach((row) => this.take(row));
    [...this.known.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.considerRemoval(id));
  }

  change(changes: readonly stores.RowChange[]): void {
    changes.forEach((change) => {
      if (change.isRemoved) this.considerRemoval(change.key);
      else this.take(change);
    });
  }

  private take(row: stores.Row): void {
    const replica = this.parts.decode(row);
    // A row that cannot be read says nothing about the replica that was known under its key.
    if (!replica) return;
    clearTimeout(this.leaving.get(replica.id));
    this.leaving.delete(replica.id);
    const former = this.known.get(replica.id);
    const isSame =
      former?.replica.bornMs === replica.bornMs && former.replica.address === replica.address;
    if (former && !isSame) this.remove(replica.id, 'started again');
    this.logChange(isSame ? former?.replica : undefined, replica);
    const known = former && isSame ? former : createKnown(replica);
    known.replica = replica;
    this.known.set(replica.id, known);
    this.observers.forEach((observer) => observer.replicaChanged(known));
  }

  private considerRemoval(id: string): void {
    if (!this.known.has(id) || this.leaving.has(id)) return;
    if (this.parts.isStoreSteady()) {
      this.remove(id, 'row removed');
      return;
    }
    const timer = setTimeout(() => this.remove(id, 'still missing after an outage'), RETURN_MS);
    this.leaving.set(id, timer);
  }

  private remove(id: string, reason: string): void {
    const known = this.known.get(id);
    this.known.delete(id);
    this.leaving.delete(id);
    if (!known) return;
    this.parts.environment.log.change('replica left', { replica: id, reason });
    this.observers.forEach((observer) => observer.replicaLeft(known));
  }

  private logChange(former: replicas.Replica | undefined, replica: replicas.Replica): void {
    const { log } = this.parts.environment;
    if (!former) {
      const { id, service, address, failureDomain, slots, bornMs, isDraining } = replica;
      log.change('replica joined', {
        replica: id,
        service,
        address,
        failureDomain,
        slots,
        bornMs,
        isDraining,
      });
    } else if (former.isDraining !== replica.isDraining) {
      log.change('replica draining', { replica: replica.id, isDraining: replica.isDraining });
    }
  }
}

function createKnown(replica: replicas.Replica): KnownReplica {
  return {
    replica,
    pace: paces.Pace.create(),
    inFlight: 0,
    othersLoad: 0,
    othersLoadMs: -Infinity,
    loadingUntilMs: new Map(),
    shownVersions: new Map(),
  };
}
