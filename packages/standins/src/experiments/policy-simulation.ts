/**
 * Discrete-event simulation of one scenario of the policy benchmark: arrivals, admission, targets
 * with prefix caches, delayed load reports and callers that retry.
 */
import * as decisions from '@azureworks/decisions';
import * as eventSimulators from '../utils/event-simulator';
import * as prefixCaches from '../utils/prefix-cache';

/** Load and disturbances of a scenario. */
export interface Scenario {
  readonly name: string;
  /** Offered load as a multiple of the capacity of all targets. */
  readonly load: number;
  /** Delay of the load reports, in milliseconds. */
  readonly reportLagMs: number;
  /** Speed of the first target relative to the others. */
  readonly firstTargetSpeed: number;
  /** Number of targets lost with their failure domain. */
  readonly lostTargets: number;
}

/** Results of a policy in a scenario. */
export interface PolicyResult {
  readonly scenario: string;
  readonly policy: string;
  readonly highMedianMs: number;
  readonly highPercentile99Ms: number;
  readonly lowMedianMs: number;
  readonly lowPercentile99Ms: number;
  readonly allPercentile99Ms: number;
  readonly prefixHitShare: number;
  /** Answers within their deadline, per second. */
  readonly goodput: number;
  readonly refused: number;
  readonly late: number;
}

/** A routing policy with its admission and retry rules. */
export interface PolicyContender {
  readonly policy: decisions.RoutingPolicy;
  /** Whether a fair queue delays and refuses requests; otherwise all are dispatched at once. */
  readonly hasAdmissionControl: boolean;
  /** Whether a budget limits retries of late requests, besides the limit of two per request. */
  readonly hasRetryBudget: boolean;
}

interface SimulatedRequest {
  readonly priority: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  readonly prefix: string;
  readonly generationMs: number;
  attempts: number;
  dispatchedMs: number;
}

interface SimulatedTarget {
  readonly candidate: decisions.Candidate;
  readonly cache: prefixCaches.PrefixCache;
  readonly speed: number;
  readonly waiting: SimulatedRequest[];
  running: number;
}

interface QueuedRequest extends decisions.Ticket {
  readonly request: SimulatedRequest;
}

const TARGET_COUNT = 6;
const TARGET_CAPACITY = 8;
const MEAN_GENERATION_MS = 120;
const PREFILL_MS = 60;
const DISTINCT_PREFIXES = 120;
const MAXIMUM_CACHED_PREFIXES = 32;
const HIGH_PRIORITY_SHARE = 0.2;
const DEADLINE_MS = 2000;
const DURATION_MS = 40_000;
const WARM_UP_MS = 5000;
const ADMISSION_INTERVAL_MS = 5;
const REPORT_INTERVAL_MS = 100;
const MAXIMUM_QUEUE_LENGTH = 2000;
const RETRY_SHARE = 0.2;
const RETRY_BUDGET_RESERVE = 50;
const MAXIMUM_RETRIES = 2;
const SERVICE_TIME_SMOOTHING = 0.1;
const MILLISECONDS_PER_SECOND = 1000;

/** Simulates one contender in one scenario. */
export class Simulation {
  private readonly simulator = eventSimulators.EventSimulator.create();

  private readonly targets: SimulatedTarget[];

  private readonly queue = decisions.AdmissionQueue.create<QueuedRequest>(MAXIMUM_QUEUE_LENGTH);

  private readonly retryBudget = decisions.RetryBudget.create(RETRY_SHARE, RETRY_BUDGET_RESERVE);

  private readonly latencies = { high: [] as number[], low: [] as number[] };

  private refused = 0;

  private late = 0;

  private answeredInTime = 0;

  private readonly random: decisions.SeededRandom;

  private constructor(
    private readonly scenario: Scenario,
    private readonly contender: PolicyContender,
    seed: number,
  ) {
    this.random = decisions.SeededRandom.create(seed);
    this.targets = Array.from({ length: TARGET_COUNT - scenario.lostTargets }, (_, index) =>
      createTarget(index, index === 0 ? scenario.firstTargetSpeed : 1),
    );
  }

  static create(scenario: Scenario, contender: PolicyContender, seed: number): Simulation {
    return new Simulation(scenario, contender, seed);
  }

  run(): PolicyResult {
    this.scheduleArrival();
    this.scheduleReports();
    if (this.contender.hasAdmissionControl) this.scheduleAdmission();
    this.simulator.runUntil(DURATION_MS);
    return this.summarize();
  }

  private scheduleArrival(): void {
    const requestsPerMs = (TARGET_COUNT * TARGET_CAPACITY) / (MEAN_GENERATION_MS + PREFILL_MS);
    const delayMs = -Math.log(1 - this.random.next()) / (requestsPerMs * this.scenario.load);
    this.simulator.schedule(delayMs, () => {
      this.receiveRequest(this.createRequest());
      this.scheduleArrival();
    });
  }

  private createRequest(): SimulatedRequest {
    const nowMs = this.simulator.nowMs();
    const uniform = 1 - this.random.next();
    return {
      priority: this.random.next() < HIGH_PRIORITY_SHARE ? 0 : 2,
      arrivedMs: nowMs,
      deadlineMs: nowMs + DEADLINE_MS,
      prefix: `prefix-${Math.floor(this.random.next() ** 2 * DISTINCT_PREFIXES)}`,
      generationMs: MEAN_GENERATION_MS * (0.5 - 0.5 * Math.log(uniform)),
      attempts: 1,
      dispatchedMs: nowMs,
    };
  }

  private receiveRequest(request: SimulatedRequest): void {
    this.retryBudget.deposit();
    if (!this.contender.hasAdmissionControl) {
      this.dispatch(request);
      return;
    }
    const { priority, deadlineMs } = request;
    const organisationName = priority === 0 ? 'advisers' : 'listings';
    const queuedRequest: QueuedRequest = {
      priority,
      organisation: organisationName,
      share: 1,
      deadlineMs,
      request,
    };
    const decision = this.queue.offer(queuedRequest, this.countFreeSlots(), this.simulator.nowMs());
    if (decision.kind === 'admit') this.dispatch(request);
    if (decision.kind === 'refuse') this.refused += 1;
    if (decision.kind === 'wait' && decision.evicted) this.refused += 1;
  }

  private countFreeSlots(): number {
    return this.targets.reduce(
      (sum, { candidate }) =>
        sum + Math.max(0, candidate.capacity - decisions.estimateLoad(candidate)),
      0,
    );
  }

  private scheduleAdmission(): void {
    this.simulator.schedule(ADMISSION_INTERVAL_MS, () => {
      const nowMs = this.simulator.nowMs();
      this.refused += this.queue.removeExpired(nowMs).length;
      this.queue
        .admitWaiting(this.countFreeSlots(), nowMs)
        .forEach((queuedRequest) => this.dispatch(queuedRequest.request));
      this.scheduleAdmission();
    });
  }

  private scheduleReports(): void {
    this.targets.forEach((target) => {
      const load = target.running + target.waiting.length;
      const { inFlight } = target.candidate;
      this.simulator.schedule(this.scenario.reportLagMs, () => {
        target.candidate.reportedLoad = load;
        target.candidate.inFlightAtReport = inFlight;
      });
    });
    this.simulator.schedule(REPORT_INTERVAL_MS, () => this.scheduleReports());
  }

  private dispatch(request: SimulatedRequest): void {
    const routingRequest = { affinityHash: decisions.hashText(request.prefix) };
    const candidates = this.targets.map((target) => target.candidate);
    const chosenCandidate = this.contender.policy.choose(routingRequest, candidates);
    const target = this.targets.find(
      ({ candidate }) => candidate === chosenCandidate,
    ) as SimulatedTarget;
    target.candidate.inFlight += 1;
    request.dispatchedMs = this.simulator.nowMs();
    target.waiting.push(request);
    this.startWaiting(target);
  }

  private startWaiting(target: SimulatedTarget): void {
    while (target.running < TARGET_CAPACITY && target.waiting.length > 0) {
      const request = target.waiting.shift() as SimulatedRequest;
      const startMs = this.simulator.nowMs();
      const isCached = target.cache.touch(request.prefix);
      const durationMs = ((isCached ? 0 : PREFILL_MS) + request.generationMs) / target.speed;
      target.running += 1;
      this.simulator.schedule(durationMs, () => {
        target.running -= 1;
        this.finish(target, request, startMs);
        this.startWaiting(target);
      });
    }
  }

  private finish(target: SimulatedTarget, request: SimulatedRequest, startMs: number): void {
    const nowMs = this.simulator.nowMs();
    const { candidate } = target;
    candidate.inFlight -= 1;
    this.queue.recordServiceTime(nowMs - request.dispatchedMs);
    candidate.serviceTimeMs += SERVICE_TIME_SMOOTHING * (nowMs - startMs - candidate.serviceTimeMs);
    if (request.arrivedMs < WARM_UP_MS) return;
    const latencyMs = nowMs - request.arrivedMs;
    this.latencies[request.priority === 0 ? 'high' : 'low'].push(latencyMs);
    if (nowMs <= request.deadlineMs) this.answeredInTime += 1;
    else this.retryLate(request);
  }

  /** A caller whose deadline has passed retries, which adds to the load. */
  private retryLate(request: SimulatedRequest): void {
    this.late += 1;
    if (request.attempts > MAXIMUM_RETRIES) return;
    if (this.contender.hasRetryBudget && !this.retryBudget.withdraw()) return;
    const nowMs = this.simulator.nowMs();
    const retry = { ...request, arrivedMs: nowMs, deadlineMs: nowMs + DEADLINE_MS };
    this.receiveRequest({ ...retry, attempts: request.attempts + 1 });
  }

  private summarize(): PolicyResult {
    const { high, low } = this.latencies;
    const hits = this.targets.reduce((sum, { cache }) => sum + cache.hits, 0);
    const misses = this.targets.reduce((sum, { cache }) => sum + cache.misses, 0);
    return {
      scenario: this.scenario.name,
      policy: this.contender.policy.name,
      highMedianMs: readPercentile(high, 0.5),
      highPercentile99Ms: readPercentile(high, 0.99),
      lowMedianMs: readPercentile(low, 0.5),
      lowPercentile99Ms: readPercentile(low, 0.99),
      allPercentile99Ms: readPercentile([...high, ...low], 0.99),
      prefixHitShare: hits / (hits + misses),
      goodput: (this.answeredInTime * MILLISECONDS_PER_SECOND) / (DURATION_MS - WARM_UP_MS),
      refused: this.refused,
      late: this.late,
    };
  }
}

/** Creates an idle target with default estimates. */
export function createTarget(index: number, speed: number): SimulatedTarget {
  const name = `target-${index}`;
  return {
    candidate: {
      name,
      nameHash: decisions.hashText(name),
      isLocal: true,
      inFlight: 0,
      reportedLoad: 0,
      inFlightAtReport: 0,
      capacity: TARGET_CAPACITY,
      serviceTimeMs: MEAN_GENERATION_MS,
      slowStartFactor: 1,
    },
    cache: prefixCaches.PrefixCache.create(MAXIMUM_CACHED_PREFIXES),
    speed,
    waiting: [],
    running: 0,
  };
}

function readPercentile(values: readonly number[], percentile: number): number {
  const sorted = [...values].sort((first, second) => first - second);
  return Math.round(sorted[Math.floor(sorted.length * percentile)] ?? 0);
}
