/**
 * The targets as one entry sees them: who they are, whether they may get new work, and what the
 * routing policy needs to know. Fed by the links task, read by the calls.
 */
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as forwarders from '../core/forwarder';
import * as serviceTimes from './service-times';

/** A request in flight, as far as the directory needs it. */
export interface InFlightCall {
  /** Called when the target has not been heard from for too long. */
  noteSilence(): void;
}

/** A target that said hello on its link. */
export interface DirectoryTarget {
  readonly hello: links.TargetHello;
  readonly candidate: decisions.Candidate;
  readonly health: decisions.HealthTracker;
  readonly forwarder: forwarders.Forwarder;
  readonly joinedMs: number;
  /** Requests in flight at the target. */
  readonly calls: Set<InFlightCall>;
  isLeaving: boolean;
  lastHeardMs: number;
  weightVersions: Readonly<Record<string, number | null>>;
  revision: number;
}

/** What a request asks of its target. */
export interface TargetQuery {
  readonly service: string;
  readonly placement: decisions.Placement;
  /** Names of targets that were tried already. */
  readonly excluded: ReadonlySet<string>;
  /** The model whose weight version the target must know; undefined for plain services. */
  readonly model: string | undefined;
}

/** The routing policies by name. */
export type Policies = Readonly<Record<string, decisions.Policy>>;

/** A target that has not been heard from for this long gets no new work. */
const SILENCE_BOUND_MS = 1800;

const SLOW_START_MS = 10_000;
const INITIAL_WARMTH = 0.3;
const DEFAULT_CAPACITY = 8;

/** The targets of all services. */
export class Directory {
  private readonly services = new Map<string, Map<string, DirectoryTarget>>();

  private readonly capacities = new Map<string, number>();

  private readonly times = new Map<string, serviceTimes.ServiceTimes>();

  private readonly routings = new Map<string, string>();

  private constructor(
    private readonly failureDomain: string,
    private readonly policies: Policies,
    private readonly clock: decisions.Clock,
    private readonly readKeys: (() => links.Keys) | undefined,
  ) {}

  static create(
    failureDomain: string,
    policies: Policies,
    clock: decisions.Clock,
    readKeys?: () => links.Keys,
  ): Directory {
    return new Directory(failureDomain, policies, clock, readKeys);
  }

  /** Sets the routing policy of a service. */
  setRouting(service: string, routing: string): void {
    this.routings.set(service, routing);
  }

  /** Sets the capacity of every target of a service, from the configuration. */
  setCapacity(service: string, capacity: number): void {
    this.capacities.set(service, capacity);
    this.list(service).forEach((target) => {
      target.candidate.capacity = capacity;
    });
  }

  /** Adds a target, or replaces the former incarnation under the same name. */
  add(hello: links.TargetHello): void {
    const targets = this.services.get(hello.service) ?? new Map<string, DirectoryTarget>();
    this.services.set(hello.service, targets);
    const known = targets.get(hello.name);
    if (known && known.hello.incarnation > hello.incarnation) return;
    if (known?.hello.incarnation === hello.incarnation) {
      known.lastHeardMs = this.clock.nowMs();
      return;
    }
    this.times.get(hello.service)?.forget(hello.name);
    targets.set(hello.name, this.createTarget(hello, targets.size > 0));
  }

  /** Takes a load report. */
  noteLoad(service: string, name: string, load: links.Load): void {
    const target = this.services.get(service)?.get(name);
    if (!target) return;
    const { candidate } = target;
    target.lastHeardMs = this.clock.nowMs();
    target.weightVersions = load.weightVersions;
    target.revision = load.revision;
    candidate.reportedLoad = load.queued + load.running;
    candidate.inFlightAtReport = candidate.inFlight;
  }

  /** Takes the load that came with an answer: `running;queued`. */
  noteAnswerLoad(target: DirectoryTarget, text: string): void {
    const [running, queued] = text.split(';').map(Number);
    if (!Number.isFinite(running) || !Number.isFinite(queued)) return;
    target.lastHeardMs = this.clock.nowMs();
    target.candidate.reportedLoad = running + queued;
    target.candidate.inFlightAtReport = target.candidate.inFlight;
  }

  /** Notes that a target takes no new work. */
  noteLeaving(service: string, name: string): void {
    const target = this.services.get(service)?.get(name);
    if (target) target.isLeaving = true;
  }

  /** Forgets a target whose link is gone; requests in flight go on. */
  remove(service: string, name: string, incarnation: number): void {
    const target = this.services.get(service)?.get(name);
    if (target?.hello.incarnation === incarnation) this.services.get(service)?.delete(name);
  }

  /** All targets of a service. */
  list(service: string): DirectoryTarget[] {
    return [...(this.services.get(service)?.values() ?? [])];
  }

  /** All targets of all services. */
  listAll(): DirectoryTarget[] {
    return [...this.services.keys()].flatMap((service) => this.list(service));
  }

  /** The targets of a service that may get new work. */
  listAvailable(service: string, model: string | undefined): DirectoryTarget[] {
    const nowMs = this.clock.nowMs();
    const reachable = this.list(service).filter(
      (target) =>
        !target.isLeaving &&
        nowMs - target.lastHeardMs <= SILENCE_BOUND_MS &&
        holdsModel(target, model),
    );
    const healthy = reachable.filter(
      (target) => target.health.getHealth(nowMs) !== decisions.Health.Ejected,
    );
    // When most targets look bad, the fault is more likely here or common to all.
    return healthy.length * 2 >= reachable.length ? healthy : reachable;
  }

  /** Chooses a target; undefined when none may get the request. */
  choose(query: TargetQuery): DirectoryTarget | undefined {
    const nowMs = this.clock.nowMs();
    const available = this.listAvailable(query.service, query.model).filter(
      (target) => !query.excluded.has(target.hello.name),
    );
    available.forEach((target) => {
      target.candidate.warmth = measureWarmth(target, nowMs);
    });
    const candidates = available.map((target) => target.candidate);
    const routing = this.routings.get(query.service) ?? decisions.AffinityPolicy.NAME;
    const chosen = this.policies[routing].choose(query.placement, candidates);
    return available.find((target) => target.candidate === chosen);
  }

  /** Learns from an attempt at a target of a service. */
  observeAttempt(service: string, attempt: serviceTimes.ObservedAttempt): void {
    const times = this.times.get(service) ?? serviceTimes.ServiceTimes.create();
    this.times.set(service, times);
    times.observe(attempt);
    this.list(service).forEach(({ candidate }) => {
      candidate.serviceTimeMs = times.getServiceTimeMs(candidate.name);
    });
  }

  /** The speed at which targets of a service stream, in bytes a millisecond; 0 when unknown. */
  getTypicalSpeed(service: string): number {
    return this.times.get(service)?.getTypicalSpeed() ?? 0;
  }

  /** Tells the calls at targets that fell silent, so that they can go elsewhere. */
  sweepSilent(): void {
    const oldestMs = this.clock.nowMs() - SILENCE_BOUND_MS;
    this.listAll()
      .filter((target) => target.lastHeardMs < oldestMs)
      .forEach((target) => [...target.calls].forEach((call) => call.noteSilence()));
  }

  /** Room for more requests over all targets of a service, other entries' load taken into account. */
  countRoom(service: string, model: string | undefined): number {
    return this.listAvailable(service, model).reduce((sum, { candidate }) => {
      const room = candidate.capacity - decisions.estimateLoad(candidate);
      return sum + Math.max(0, room);
    }, 0);
  }

  /** Base URL of the work port of a target daemon. */
  createUrl({ address, httpPort }: links.TargetHello): string {
    return `${this.readKeys ? 'https' : 'http'}://${address}:${httpPort}`;
  }

  private createTarget(hello: links.TargetHello, isJoiningLate: boolean): DirectoryTarget {
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
        serviceTimeMs: this.times.get(hello.service)?.getServiceTimeMs(hello.name) ?? 1,
        warmth: 1,
      },
      health: decisions.HealthTracker.create(),
      forwarder: forwarders.Forwarder.create(this.createUrl(hello), this.readKeys?.()),
      joinedMs: isJoiningLate ? nowMs : -Infinity,
      calls: new Set(),
      isLeaving: false,
      lastHeardMs: nowMs,
      weightVersions: {},
      revision: 0,
    };
  }
}

function holdsModel(target: DirectoryTarget, model: string | undefined): boolean {
  if (model === undefined) return true;
  const version = target.weightVersions[model];
  return version !== undefined && version !== null;
}

function measureWarmth(target: DirectoryTarget, nowMs: number): number {
  const share = (nowMs - target.joinedMs) / SLOW_START_MS;
  return Math.min(1, INITIAL_WARMTH + (1 - INITIAL_WARMTH) * share);
}
