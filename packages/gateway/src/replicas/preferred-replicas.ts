/**
 * Narrows the choice of a replica to a few preferred ones while this gateway sends few requests to a
 * service, so that most of them find a connection open.
 *
 * Load pattern: 35 gateways with 0.3 requests a second each for a service of 14 replicas. A choice among
 * all of them meets a replica once in 47 s, long after the connection of the former request was closed
 * because it was idle, so that every request pays for opening one. At 490 gateways and 12,000 replicas the
 * same holds for every gateway.
 *
 * The preferred replicas are the first ones by rendezvous hashing of the gateway and the replica: each
 * replica is preferred by about the same number of gateways, and when one is lost only its own gateways
 * choose another. They are as many as get a request each before an idle connection is closed; at rates too
 * low for that, the one that was used last comes first. A gateway whose requests reach half of the replicas
 * that often chooses among all, as does one whose preferred replicas are slower than others or busy.
 */
import * as decisions from '@azureworks/decisions';
import * as placement from './placement';

/** A candidate with its failure domain. */
export interface PreferenceCandidate extends placement.PlacementCandidate {
  /** How long work takes there now relative to the usual time; undefined where it is not known. */
  readonly workFactor?: number | undefined;
  readonly tracked: { readonly replica: { readonly failureDomain: string } };
}

/** Narrows the candidates for one request. */
export type CandidateFilter = <Candidate extends PreferenceCandidate>(
  candidates: readonly Candidate[],
) => readonly Candidate[];

/** What a gateway prefers for one request. */
export interface Preference {
  readonly narrow: CandidateFilter;
  /** Records which replica the request is sent to. */
  recordChoice(id: string): void;
}

/** The fewest preferred replicas: one may be busy, or have just failed. */
const MINIMUM_PREFERRED = 2;

/**
 * How often each preferred replica is to get a request, in milliseconds. Below the 4 s after which an idle
 * connection is closed that the replica gives no time for.
 */
const REQUEST_INTERVAL_MS = 3000;

/** Fewer preferred replicas than this share of all save too few connections to narrow the choice. */
const MAXIMUM_PREFERRED_SHARE = 0.5;

/**
 * The share of a replica's slots that may be taken before a request is expected to take longer there. With
 * more than half of them taken, the requests of a few other gateways fill it.
 */
const FREE_SHARE = 0.5;

/**
 * How much longer than at the best replica a request may take at a preferred one. Measured times of equal
 * replicas differ by about as much after a few requests.
 */
const MAXIMUM_SLOWNESS = 1.25;

/**
 * One in so many requests of a service is not narrowed, as the times of replicas that get no requests stay
 * unknown, and the preferred ones may be the slow ones.
 */
const EXPLORATION_INTERVAL = 16;

/** The time constant of the request rate, in seconds: a few requests at 0.3 a second. */
const RATE_TIME_CONSTANT_S = 10;

/** Hashed pairs that are remembered: those of 12,000 replicas, and of as many that left. */
const MAXIMUM_HASHES = 24_000;

/** Shorter times count as equal: that is what opening a connection takes, in milliseconds. */
const MINIMUM_UNIT_MS = 1;

const MILLISECONDS_PER_SECOND = 1000;
/** Above any 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/** The requests of one service. */
interface Demand {
  count: number;
  /** Decays with the time constant; divided by it, it is the rate. */
  weight: number;
  updatedMs: number;
  lastChoice: { readonly id: string; readonly atMs: number } | undefined;
}

/** The preferred replicas of one gateway. */
export class PreferredReplicas {
  /** By service; the services are those of the configuration. */
  private readonly demands = new Map<string, Demand>();

  private readonly hashes = new Map<string, number>();

  private readonly gatewayHash: number;

  private constructor(gateway: string) {
    this.gatewayHash = decisions.hashText(gateway);
  }

  /** @param gateway the name of the gateway's VM, so that a restarted process prefers the same ones */
  static create(gateway: string): PreferredReplicas {
    return new PreferredReplicas(gateway);
  }

  /** Counts a request for a service, and returns what is preferred for its attempts. */
  countRequest(service: string, nowMs: number): Preference {
    const demand = this.demands.get(service) ?? createDemand(nowMs);
    this.demands.set(service, demand);
    const elapsedS = Math.max(0, nowMs - demand.updatedMs) / MILLISECONDS_PER_SECOND;
    demand.weight = demand.weight * Math.exp(-elapsedS / RATE_TIME_CONSTANT_S) + 1;
    demand.updatedMs = nowMs;
    demand.count += 1;
    const isExploring = demand.count % EXPLORATION_INTERVAL === 0;
    return {
      narrow: (candidates) => (isExploring ? candidates : this.narrow(candidates, demand)),
      recordChoice: (id) => {
        demand.lastChoice = { id, atMs: nowMs };
      },
    };
  }

  /** The first `count` replicas for this gateway. */
  choosePreferred<Candidate extends PreferenceCandidate>(
    candidates: readonly Candidate[],
    count: number,
  ): readonly Candidate[] {
    const first = chooseDomain(candidates, this.gatewayHash / HASH_RANGE);
    const weights = candidates.map(
      ({ id, tracked }) =>
        this.hash(id) + (tracked.replica.failureDomain === first ? HASH_RANGE : 0),
    );
    const least = findLeastOfGreatest(weights, count);
    return candidates.filter((_candidate, index) => (weights[index] ?? 0) >= least);
  }

  private narrow<Candidate extends PreferenceCandidate>(
    candidates: readonly Candidate[],
    { weight, updatedMs, lastChoice }: Demand,
  ): readonly Candidate[] {
    const rate = weight / RATE_TIME_CONSTANT_S;
    const healthy = candidates.filter(({ isEjected }) => !isEjected);
    const unitMs =
      placement.findMedian(healthy.flatMap((candidate) => candidate.unitMs ?? [])) ?? 0;
    const count = countPreferred(healthy, rate, unitMs);
    if (count > healthy.length * MAXIMUM_PREFERRED_SHARE) return candidates;
    const longestMs = findShortestMs(healthy, unitMs) * MAXIMUM_SLOWNESS;
    const preferred = this.choosePreferred(healthy, count);
    const isRecent = updatedMs - (lastChoice?.atMs ?? -Infinity) < REQUEST_INTERVAL_MS;
    const isSparse = rate * REQUEST_INTERVAL_MS < count * MILLISECONDS_PER_SECOND;
    const last = preferred.filter(({ id }) => isRecent && isSparse && id === lastChoice?.id);
    return (
      [last, preferred].find((choice) => findShortestMs(choice, unitMs) <= longestMs) ?? candidates
    );
  }

  private hash(id: string): number {
    const known = this.hashes.get(id);
    if (known !== undefined) return known;
    if (this.hashes.size >= MAXIMUM_HASHES) this.hashes.clear();
    const hash = decisions.combineHashes(this.gatewayHash, decisions.hashText(id));
    this.hashes.set(id, hash);
    return hash;
  }
}

function createDemand(nowMs: number): Demand {
  return { count: 0, weight: 0, updatedMs: nowMs, lastChoice: undefined };
}

function countPreferred(
  candidates: readonly PreferenceCandidate[],
  rate: number,
  unitMs: number,
): number {
  const slots = candidates.reduce((total, candidate) => total + candidate.slots, 0);
  const freeSlots = Math.max(1, (slots / Math.max(1, candidates.length)) * FREE_SHARE);
  const concurrency = (rate * unitMs) / MILLISECONDS_PER_SECOND;
  return Math.max(
    MINIMUM_PREFERRED,
    Math.floor((rate * REQUEST_INTERVAL_MS) / MILLISECONDS_PER_SECOND),
    Math.ceil(concurrency / freeSlots),
  );
}

/**
 * The failure domain whose replicas come first for a gateway: its own one, as far as that has its part of the
 * replicas. With fewer, only as many of its gateways stay there, and the others go to the domains that have
 * more than their part; the gateways are taken to be spread evenly.
 * @param draw of the gateway, uniform in [0, 1)
 */
function chooseDomain(
  candidates: readonly PreferenceCandidate[],
  draw: number,
): string | undefined {
  const counts = countByDomain(candidates);
  const fairCount = candidates.length / counts.length;
  const own = candidates.find(({ isLocal }) => isLocal)?.tracked.replica.failureDomain;
  const [, ownCount] = counts.find(([domain]) => domain === own) ?? [own, 0];
  const ownShare = Math.min(1, ownCount / fairCount);
  if (draw < ownShare) return own;
  const surplus = counts.map(([, count]) => Math.max(0, count - fairCount));
  const total = surplus.reduce((sum, count) => sum + count, 0);
  let remaining = ((draw - ownShare) / (1 - ownShare)) * total;
  const chosen = counts.find((_count, index) => {
    remaining -= surplus[index] ?? 0;
    return remaining < 0;
  });
  return chosen?.[0];
}

/** How many candidates each failure domain has, in the same order at every gateway. */
function countByDomain(candidates: readonly PreferenceCandidate[]): [string, number][] {
  const counts = new Map<string, number>();
  candidates.forEach(({ tracked: { replica } }) =>
    counts.set(replica.failureDomain, (counts.get(replica.failureDomain) ?? 0) + 1),
  );
  return [...counts].sort(([first], [second]) => (first < second ? -1 : 1));
}

/** The least of the `count` greatest numbers. */
function findLeastOfGreatest(numbers: readonly number[], count: number): number {
  const greatest: number[] = [];
  numbers.forEach((number) => {
    if (greatest.length === count && number <= (greatest[0] ?? 0)) return;
    greatest.push(number);
    greatest.sort((first, second) => first - second);
    if (greatest.length > count) greatest.shift();
  });
  return greatest[0] ?? 0;
}

/** How long a request is expected to take at the best candidate, relative to others. */
function findShortestMs(candidates: readonly PreferenceCandidate[], unitMs: number): number {
  return candidates.reduce((shortestMs, candidate) => {
    const taken = (candidate.load + 1) / Math.max(1, candidate.slots * FREE_SHARE);
    const { workFactor = 1 } = candidate;
    const ownMs = Math.max(MINIMUM_UNIT_MS, (candidate.unitMs ?? unitMs) * workFactor);
    return Math.min(shortestMs, ownMs * Math.max(1, taken));
  }, Infinity);
}
