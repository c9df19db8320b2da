/**
 * One scenario of the policy benchmark, in simulated time: arrivals, admission, targets with prefix
 * caches, lagging load reports and callers that try again.
 */
import * as decisions from '@azureworks/decisions';
import * as eventLoops from '../utils/event-loop';
import * as prefixCaches from '../utils/prefix-cache';

/** What is unusual in a scenario. */
export interface Scenario {
  readonly name: string;
  /** Load as a multiple of the capacity. */
  readonly load: number;
  /** Lag of the load reports, in milliseconds. */
  readonly reportLagMs: number;
  /** Speed of the first target; 1 is that of the others. */
  readonly firstTargetSpeed: number;
  /** Targets of one failure domain that are gone. */
  readonly targetsGone: number;
}

/** What a policy achieved in a scenario. */
export interface PolicyResult {
  readonly scenario: string;
  readonly policy: string;
  readonly highMedianMs: number;
  readonly highPercentile99Ms: number;
  readonly lowMedianMs: number;
  readonly lowPercentile99Ms: number;
  readonly allPercentile99Ms: number;
  readonly prefixHitShare: number;
  /** Answers within their deadline, a second. */
  readonly goodput: number;
  readonly refused: number;
  readonly late: number;
}

/** How a contender routes and admits. */
export interface Contender {
  readonly policy: decisions.RoutingPolicy;
  /** Whether requests are queued fairly and refused in time; otherwise all go straight through. */
  readonly isAdmitting: boolean;
  /** Whether late requests are retried within a budget; otherwise up to twice each. */
  readonly hasRetryBudget: boolean;
}

interface Job {
  readonly priority: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  readonly prefix: string;
  readonly workMs: number;
  attempts: number;
  placedMs: number;
}

interface SimulatedTarget {
  readonly candidate: decisions.Candidate;
  readonly cache: prefixCaches.PrefixCache;
  readonly speed: number;
  readonly waiting: Job[];
  running: number;
}

interface Ticket extends decisions.Ticket {
  readonly job: Job;
}

const TARGETS = 6;
const CAPACITY = 8;
const MEAN_WORK_MS = 120;
const PREFILL_MS = 60;
const PREFIXES = 120;
const CACHED_PREFIXES = 32;
const HIGH_SHARE = 0.2;
const DEADLINE_MS = 2000;
const DURATION_MS = 40_000;
const WARM_UP_MS = 5000;
const PUMP_MS = 5;
const REPORT_INTERVAL_MS = 100;
const LONGEST_QUEUE = 2000;
const RETRY_SHARE = 0.2;
const RETRY_RESERVE = 50;
const RETRIES = 2;
const SMOOTHING = 0.1;
const MILLISECONDS_PER_SECOND = 1000;

/** Runs one contender in one scenario. */
export class Simulation {
  private readonly loop = eventLoops.EventLoop.create();

  private readonly targets: SimulatedTarget[];

  private readonly queue = decisions.AdmissionQueue.create<Ticket>(LONGEST_QUEUE);

  private readonly budget = decisions.RetryBudget.create(RETRY_SHARE, RETRY_RESERVE);

  private readonly latencies = { high: [] as number[], low: [] as number[] };

  private refused = 0;

  private late = 0;

  private inTime = 0;

  private readonly random: decisions.SeededRandom;

  private constructor(
    private readonly scenario: Scenario,
    private readonly contender: Contender,
    seed: number,
  ) {
    this.random = decisions.SeededRandom.create(seed);
    this.targets = Array.from({ length: TARGETS - scenario.targetsGone }, (_, index) =>
      createTarget(index, index === 0 ? scenario.firstTargetSpeed : 1),
    );
  }

  static create(scenario: Scenario, contender: Contender, seed: number): Simulation {
    return new Simulation(scenario, contender, seed);
  }

  run(): PolicyResult {
    this.scheduleArrival();
    this.scheduleReports();
    if (this.contender.isAdmitting) this.schedulePump();
    this.loop.runUntil(DURATION_MS);
    return this.summarize();
  }

  private scheduleArrival(): void {
    const perMs = (TARGETS * CAPACITY) / (MEAN_WORK_MS + PREFILL_MS);
    const gapMs = -Math.log(1 - this.random.next()) / (perMs * this.scenario.load);
    this.loop.schedule(gapMs, () => {
      this.arrive(this.createJob());
      this.scheduleArrival();
    });
  }

  private createJob(): Job {
    const nowMs = this.loop.nowMs();
    const uniform = 1 - this.random.next();
    return {
      priority: this.random.next() < HIGH_SHARE ? 0 : 2,
      arrivedMs: nowMs,
      deadlineMs: nowMs + DEADLINE_MS,
      prefix: `prefix-${Math.floor(this.random.next() ** 2 * PREFIXES)}`,
      workMs: MEAN_WORK_MS * (0.5 - 0.5 * Math.log(uniform)),
      attempts: 1,
      placedMs: nowMs,
    };
  }

  private arrive(job: Job): void {
    this.budget.deposit();
    if (!this.contender.isAdmitting) {
      this.place(job);
      return;
    }
    const { priority, deadlineMs } = job;
    const tenant = priority === 0 ? 'advisers' : 'listings';
    const ticket: Ticket = { priority, organisation: tenant, share: 1, deadlineMs, job };
    const decision = this.queue.offer(ticket, this.countRoom(), this.loop.nowMs());
    if (decision.kind === 'admit') this.place(job);
    if (decision.kind === 'refuse') this.refused += 1;
    if (decision.kind === 'wait' && decision.evicted) this.refused += 1;
  }

  private countRoom(): number {
    return this.targets.reduce(
      (sum, { candidate }) =>
        sum + Math.max(0, candidate.capacity - decisions.estimateLoad(candidate)),
      0,
    );
  }

  private schedulePump(): void {
    this.loop.schedule(PUMP_MS, () => {
      const nowMs = this.loop.nowMs();
      this.refused += this.queue.removeExpired(nowMs).length;
      this.queue.admitWaiting(this.countRoom(), nowMs).forEach((ticket) => this.place(ticket.job));
      this.schedulePump();
    });
  }

  private scheduleReports(): void {
    this.targets.forEach((target) => {
      const load = target.running + target.waiting.length;
      const { inFlight } = target.candidate;
      this.loop.schedule(this.scenario.reportLagMs, () => {
        target.candidate.reportedLoad = load;
        target.candidate.inFlightAtReport = inFlight;
      });
    });
    this.loop.schedule(REPORT_INTERVAL_MS, () => this.scheduleReports());
  }

  private place(job: Job): void {
    const placement = { affinityHash: decisions.hashText(job.prefix) };
    const list = this.targets.map((target) => target.candidate);
    const chosen = this.contender.policy.choose(placement, list);
    const target = this.targets.find(({ candidate }) => candidate === chosen) as SimulatedTarget;
    target.candidate.inFlight += 1;
    job.placedMs = this.loop.nowMs();
    target.waiting.push(job);
    this.advance(target);
  }

  private advance(target: SimulatedTarget): void {
    while (target.running < CAPACITY && target.waiting.length > 0) {
      const job = target.waiting.shift() as Job;
      const startMs = this.loop.nowMs();
      const isCached = target.cache.touch(job.prefix);
      const durationMs = ((isCached ? 0 : PREFILL_MS) + job.workMs) / target.speed;
      target.running += 1;
      this.loop.schedule(durationMs, () => {
        target.running -= 1;
        this.finish(target, job, startMs);
        this.advance(target);
      });
    }
  }

  private finish(target: SimulatedTarget, job: Job, startMs: number): void {
    const nowMs = this.loop.nowMs();
    const { candidate } = target;
    candidate.inFlight -= 1;
    this.queue.recordServiceTime(nowMs - job.placedMs);
    candidate.serviceTimeMs += SMOOTHING * (nowMs - startMs - candidate.serviceTimeMs);
    if (job.arrivedMs < WARM_UP_MS) return;
    const latencyMs = nowMs - job.arrivedMs;
    this.latencies[job.priority === 0 ? 'high' : 'low'].push(latencyMs);
    if (nowMs <= job.deadlineMs) this.inTime += 1;
    else this.retryLate(job);
  }

  /** A caller whose deadline passed tries again, which adds to the load. */
  private retryLate(job: Job): void {
    this.late += 1;
    if (job.attempts > RETRIES) return;
    if (this.contender.hasRetryBudget && !this.budget.withdraw()) return;
    const nowMs = this.loop.nowMs();
    const again = { ...job, arrivedMs: nowMs, deadlineMs: nowMs + DEADLINE_MS };
    this.arrive({ ...again, attempts: job.attempts + 1 });
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
      goodput: (this.inTime * MILLISECONDS_PER_SECOND) / (DURATION_MS - WARM_UP_MS),
      refused: this.refused,
      late: this.late,
    };
  }
}

/** A target that nothing is known of yet. */
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
      capacity: CAPACITY,
      serviceTimeMs: MEAN_WORK_MS,
      slowStartFactor: 1,
    },
    cache: prefixCaches.PrefixCache.create(CACHED_PREFIXES),
    speed,
    waiting: [],
    running: 0,
  };
}

function readPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((first, second) => first - second);
  return Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
}
