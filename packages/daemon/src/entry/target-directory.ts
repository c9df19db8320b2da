/**
 * The targets that an entry has links to: their identity, whether they may get new work, and the
 * inputs of the routing policies. The links task updates the directory, calls read it.
 */
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as forwarders from '../core/forwarder';
import * as serviceTimes from './service-times';

/** A request in flight, to be notified by the directory. */
export interface InFlightCall {
  /** Called when the target has sent nothing for too long. */
  onTargetSilent(): void;
}

/** A target that introduced itself on its link. */
export interface TrackedTarget {
  readonly hello: links.TargetHello;
  readonly candidate: decisions.Candidate;
  readonly health: decisions.HealthTracker;
  readonly forwarder: forwarders.Forwarder;
  /** When the slow start of the target began; -Infinity if it has none. */
  readonly slowStartMs: number;
  /** Requests in flight at the target. */
  readonly calls: Set<InFlightCall>;
  isLeaving: boolean;
  lastSeenMs: number;
  weightVersions: Readonly<Record<string, number | null>>;
  revision: number;
}

/** The constraints of a request on its target. */
export interface TargetQuery {
  readonly service: string;
  readonly placement: decisions.RoutingRequest;
  /** Names of targets where the request was already attempted. */
  readonly excluded: ReadonlySet<string>;
  /** The model whose weights the target must have loaded; undefined for plain services. */
  readonly model: string | undefined;
  /** The target that began the answer: only those with its software version may go on with it. */
  readonly begunBy?: links.TargetHello | undefined;
}

/** The routing policies by name. */
export type Policies = Readonly<Record<string, decisions.RoutingPolicy>>;

/** A target that has sent nothing for this long gets no new work. */
const SILENCE_TIMEOUT_MS = 1800;

const SLOW_START_DURATION_MS = 10_000;
const INITIAL_WARMTH = 0.3;
const DEFAULT_CAPACITY = 8;

/** Tracks the targets of all services. */
export class TargetDirectory {
  private readonly services = new Map<string, Map<string, TrackedTarget>>();

  private readonly capacities = new Map<string, number>();

  private readonly serviceTimes = new Map<string, serviceTimes.ServiceTimes>();

  private readonly policyNames = new Map<string, string>();

  private constructor(
    private readonly failureDomain: string,
    private readonly policies: Policies,
    private readonly clock: decisions.Clock,
    private readonly readKeys: (() => links.TlsKeys) | undefined,
  ) {}

  static create(
    failureDomain: string,
    policies: Policies,
    clock: decisions.Clock,
    readKeys?: () => links.TlsKeys,
  ): TargetDirectory {
    return new TargetDirectory(failureDomain, policies, clock, readKeys);
  }

  /** Sets the routing policy of a service. */
  setRouting(service: string, routing: string): void {
    this.policyNames.set(service, routing);
  }

  /** Sets the capacity of each target of a service. */
  setCapacity(service: string, capacity: number): void {
    this.capacities.set(service, capacity);
    this.list(service).forEach((target) => {
      target.candidate.capacity = capacity;
    });
  }

  /** Adds a target, or replaces an earlier incarnation of the same name. */
  add(hello: links.TargetHello): void {
    const targets = this.services.get(hello.service) ?? new Map<string, TrackedTarget>();
    this.services.set(hello.service, targets);
    const tracked = targets.get(hello.name);
    if (tracked && tracked.hello.incarnation > hello.incarnation) return;
    if (tracked?.hello.incarnation === hello.incarnation) {
      tracked.lastSeenMs = this.clock.nowMs();
      return;
    }
    this.serviceTimes.get(hello.service)?.forget(hello.name);
    targets.set(hello.name, this.createTarget(hello, targets.size > 0));
  }

  /** Updates a target from a load report. */
  updateLoad(service: string, name: string, load: links.Load): void {
    const target = this.services.get(service)?.get(name);
    if (!target) return;
    const { candidate } = target;
    target.lastSeenMs = this.clock.nowMs();
    target.weightVersions = load.weightVersions;
    target.revision = load.revision;
    candidate.reportedLoad = load.queued + load.running;
    candidate.inFlightAtReport = candidate.inFlight;
  }

  /** Updates a target from the load header of an answer, `running;queued`. */
  updateLoadFromAnswer(target: TrackedTarget, text: string): void {
    const [running, queued] = text.split(';').map(Number);
    if (!Number.isFinite(running) || !Number.isFinite(queued)) return;
    target.lastSeenMs = this.clock.nowMs();
    target.candidate.reportedLoad = running + queued;
    target.candidate.inFlightAtReport = target.candidate.inFlight;
  }

  /** Marks a target that accepts no new work. */
  markLeaving(service: string, name: string): void {
    const target = this.services.get(service)?.get(name);
    if (target) target.isLeaving = true;
  }

  /** Removes a target whose link is closed; requests in flight continue. */
  remove(service: string, name: string, incarnation: number): void {
    const target = this.services.get(service)?.get(name);
    if (target?.hello.incarnation === incarnation) this.services.get(service)?.delete(name);
  }

  /** All targets of a service. */
  list(service: string): TrackedTarget[] {
    return [...(this.services.get(service)?.values() ?? [])];
  }

  /** All targets of all services. */
  listAll(): TrackedTarget[] {
    return [...this.services.keys()].flatMap((service) => this.list(service));
  }

  /** The targets of a service that may get new work. */
  listAvailable(service: string, model: string | undefined): TrackedTarget[] {
    const nowMs = this.clock.nowMs();
    const reachable = this.list(service).filter(
      (target) =>
        !target.isLeaving &&
        nowMs - target.lastSeenMs <= SILENCE_TIMEOUT_MS &&
        hasModel(target, model),
    );
    const healthy = reachable.filter(
      (target) => target.health.getHealth(nowMs) !== decisions.Health.Ejected,
    );
    // When most targets are ejected, the fault is more likely in this entry or common to all
    // targets.
    return healthy.length * 2 >= reachable.length ? healthy : reachable;
  }

  /** Whether a target that may get new work has the software version of another target. */
  hasSameSoftware(begunBy: links.TargetHello, model: string | undefined): boolean {
    return this.listAvailable(begunBy.service, model).some((target) => mayGoOn(target, begunBy));
  }

  /** Chooses a target; returns undefined when none is available. */
  choose(query: TargetQuery): TrackedTarget | undefined {
    const nowMs = this.clock.nowMs();
    const available = this.listAvailable(query.service, query.model).filter(
      (target) => !query.excluded.has(target.hello.name) && mayGoOn(target, query.begunBy),
    );
    available.forEach((target) => {
      target.candidate.slowStartFactor = computeWarmth(target, nowMs);
    });
    const candidates = available.map((target) => target.candidate);
    const routing = this.policyNames.get(query.service) ?? decisions.AffinityPolicy.NAME;
    const chosen = this.policies[routing].choose(query.placement, candidates);
    return available.find((target) => target.candidate === chosen);
  }

  /** Updates the service times from an attempt at a target of a service. */
  recordAttempt(service: string, attempt: serviceTimes.FinishedAttempt): void {
    const times = this.serviceTimes.get(service) ?? serviceTimes.ServiceTimes.create();
    this.serviceTimes.set(service, times);
    times.record(attempt);
    this.list(service).forEach(({ candidate }) => {
      candidate.serviceTimeMs = times.getServiceTimeMs(candidate.name);
    });
  }

  /** The median streaming speed of the targets of a service; 0 when unknown. */
  getMedianBytesPerMs(service: string): number {
    return this.serviceTimes.get(service)?.getMedianBytesPerMs() ?? 0;
  }

  /** Notifies the calls at silent targets, so that they can be moved to other targets. */
  notifyCallsOfSilentTargets(): void {
    const oldestMs = this.clock.nowMs() - SILENCE_TIMEOUT_MS;
    this.listAll()
      .filter((target) => target.lastSeenMs < oldestMs)
      .forEach((target) => [...target.calls].forEach((call) => call.onTargetSilent()));
  }

  /** Total free capacity of the targets of a service, net of the load from other entries. */
  getFreeCapacity(service: string, model: string | undefined): number {
    return this.listAvailable(service, model).reduce((sum, { candidate }) => {
      const freeCapacity = candidate.capacity - decisions.estimateLoad(candidate);
      return sum + Math.max(0, freeCapacity);
    }, 0);
  }

  /** Base URL of the HTTP port of a target daemon. */
  createUrl({ address, httpPort }: links.TargetHello): string {
    return `${this.readKeys ? 'https' : 'http'}://${address}:${httpPort}`;
  }

  private createTarget(hello: links.TargetHello, isSlowStarting: boolean): TrackedTarget {
    const nowMs = this.clock.nowMs();
    return {
      hello,
      candidate: {
        name: hello.name,
        nameHash: decisions.hashText(hello.name),
        isLocal: hello.failureDomain === this.failureDomain,
        inFlight: 0,
        reportedLoad: 0,
        inFlightAtReport: 0,
        capacity: this.capacities.get(hello.service) ?? DEFAULT_CAPACITY,
        serviceTimeMs: this.serviceTimes.get(hello.service)?.getServiceTimeMs(hello.name) ?? 1,
        slowStartFactor: 1,
      },
      health: decisions.HealthTracker.create(),
      forwarder: forwarders.Forwarder.create(this.createUrl(hello), this.readKeys?.()),
      slowStartMs: isSlowStarting ? nowMs : -Infinity,
      calls: new Set(),
      isLeaving: false,
      lastSeenMs: nowMs,
      weightVersions: {},
      revision: 0,
    };
  }
}

function mayGoOn(target: TrackedTarget, begunBy: links.TargetHello | undefined): boolean {
  return begunBy === undefined || target.hello.softwareVersion === begunBy.softwareVersion;
}

function hasModel(target: TrackedTarget, model: string | undefined): boolean {
  if (model === undefined) return true;
  const version = target.weightVersions[model];
  return version !== undefined && version !== null;
}

function computeWarmth(target: TrackedTarget, nowMs: number): number {
  const share = (nowMs - target.slowStartMs) / SLOW_START_DURATION_MS;
  return Math.min(1, INITIAL_WARMTH + (1 - INITIAL_WARMTH) * share);
}
