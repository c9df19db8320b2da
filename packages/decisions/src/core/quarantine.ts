/**
 * Quarantine of requests that end the replicas which run them, also known as queries of death.
 *
 * Load pattern: one request crashes each replica that begins to run it. Retries within an attempt and
 * by the caller carry it from replica to replica, through any gateway, until a whole service is down.
 * Requests that ran beside it on a crashed replica look the same after one crash, so one crash proves
 * nothing; only the request that causes them is present at crash after crash.
 *
 * The evidence is a set of pairs of a request and a replica that ended under it. Merging is a union,
 * so reports may arrive in any order and more than once. A replica counts for more against the request
 * that explains most ends of replicas among those that ran there. A request that was answered is
 * cleared, and explains none.
 *
 * A power failure ends replicas of one failure domain shortly after one another, and an attempt is
 * retried at once: of the replicas of one failure domain that ended under one attempt, only one
 * counts for more.
 *
 * A request that many callers send runs on several replicas at once, so all of them end under it when
 * something else ends them together. Ends of runs that overlapped therefore have one cause.
 *
 * A request that is not sent cannot be cleared, so a quarantined request is sent on trial: at once if
 * all ends have one cause, else after a while. An answer clears it. A trial runs alone, so a replica
 * that ends under it is evidence of its own, and may confirm the quarantine until the evidence expires.
 */
import type * as clocks from '../types/clock';

/** That a replica ended while it was running a request. */
export interface EndedReplica {
  /** Identifies all repetitions of a request. */
  readonly fingerprint: string;
  /** Identifies one incarnation of the replica. */
  readonly replica: string;
  /** Time since the replica ended. */
  readonly ageMs: number;
  /** The attempt that the replica was running; undefined: not known. */
  readonly attempt?: string | undefined;
  /** The failure domain of the replica; undefined: not known. */
  readonly failureDomain?: string | undefined;
  /** How long the request had run there; undefined: not known. */
  readonly runMs?: number | undefined;
  /** Whether the request was on trial. */
  readonly isOnTrial?: boolean | undefined;
}

/** An ended replica of one request. */
interface End {
  readonly startedMs: number;
  readonly endedMs: number;
  readonly isOnTrial: boolean;
  readonly hasAttempt: boolean;
  /**
   * Equal for ends that may have one cause that is not the request. The end of an attempt or domain
   * that is not known has a cause of its own.
   */
  readonly cause: string;
}

/** What the evidence says about a request. */
export const QuarantineState = {
  /** No replica has ended under it. */
  Clear: 'clear',
  /** Replicas have ended under it, but others may have caused that. */
  Suspect: 'suspect',
  Quarantined: 'quarantined',
} as const;
export type QuarantineState = (typeof QuarantineState)[keyof typeof QuarantineState];

/** A state and the evidence for it. */
export interface QuarantineVerdict {
  readonly state: QuarantineState;
  readonly endedReplicas: number;
  /** Age of the newest evidence. */
  readonly ageMs: number;
  /** Time after which the newest evidence expires. */
  readonly remainingMs: number;
}

/** How long evidence counts. */
export const QUARANTINE_EVIDENCE_LIFETIME_MS = 600_000;
/** Time from the newest evidence to the next trial, unless the replicas ended together. */
export const TRIAL_INTERVAL_MS = 60_000;
/** Independent ends that confirm a quarantine, if one of them came under a trial. */
const CONFIRMING_ENDS = 3;
/** Replicas that a failure ends together end within this time. */
const COMMON_LOSS_MS = 1000;
/** A replica that ended within this time of a request's arrival did not end because of it. */
const SHORTEST_RUN_MS = 5;
/**
 * Length of a run that is not known. Gateways learn of a common end within this time, and evidence of
 * gateways that do not report the length of runs counts as that of one cause only within it.
 */
const UNKNOWN_RUN_MS = 100;
/** Requests for which evidence is kept; the oldest with a single ended replica is dropped first. */
const MAXIMUM_FINGERPRINTS = 4096;
/** Replicas that are remembered for one request. */
const MAXIMUM_REPLICAS = 16;
/** Weight of a replica whose end something else may explain as well: three of them are required. */
const AMBIGUOUS_WEIGHT = 2;
/** Weight of a replica whose end this request explains best: two of them suffice. */
const EXPLAINED_WEIGHT = 3;
const WEIGHT_LIMIT = 6;

/** The evidence that one process knows, its own and that of others. */
export class Quarantine {
  /** The ends of replicas: by fingerprint, in the order of the last change, and by replica. */
  private readonly evidence = new Map<string, Map<string, End>>();

  private readonly fingerprints = new Map<string, Set<string>>();

  private constructor(private readonly clock: clocks.Clock) {}

  static create(clock: clocks.Clock): Quarantine {
    return new Quarantine(clock);
  }

  /** Whether there is no evidence against any request. */
  get isEmpty(): boolean {
    return this.evidence.size === 0;
  }

  /** Number of requests with evidence. */
  get size(): number {
    return this.evidence.size;
  }

  /** Adds evidence; returns false if it tells nothing new: neither another end nor an earlier run. */
  record(ended: EndedReplica): boolean {
    const { fingerprint, replica, ageMs } = ended;
    if (ageMs >= QUARANTINE_EVIDENCE_LIFETIME_MS) return false;
    const replicas = this.evidence.get(fingerprint) ?? new Map<string, End>();
    const known = replicas.get(replica);
    const end = createEnd(ended, this.clock.nowMs());
    replicas.set(replica, known ? mergeEnds(known, end) : end);
    this.evidence.delete(fingerprint);
    this.evidence.set(fingerprint, replicas);
    const neighbours = this.fingerprints.get(replica) ?? new Set<string>();
    this.fingerprints.set(replica, neighbours.add(fingerprint));
    this.limitMemory(fingerprint, replicas);
    return known === undefined || end.startedMs < known.startedMs;
  }

  /** Removes one piece of evidence. */
  withdraw(fingerprint: string, replica: string): void {
    const replicas = this.evidence.get(fingerprint);
    replicas?.delete(replica);
    if (replicas?.size === 0) this.evidence.delete(fingerprint);
    const neighbours = this.fingerprints.get(replica);
    neighbours?.delete(fingerprint);
    if (neighbours?.size === 0) this.fingerprints.delete(replica);
  }

  /** Removes all evidence against a request; returns the replicas that had ended under it. */
  clear(fingerprint: string): string[] {
    const replicas = [...(this.evidence.get(fingerprint)?.keys() ?? [])];
    replicas.forEach((replica) => this.withdraw(fingerprint, replica));
    return replicas;
  }

  /** Judges a request by the evidence that has not expired. */
  judge(fingerprint: string): QuarantineVerdict {
    this.expire(fingerprint);
    const replicas = [...(this.evidence.get(fingerprint) ?? [])];
    const newestMs = Math.max(...replicas.map(([, { endedMs }]) => endedMs));
    const ageMs = replicas.length === 0 ? 0 : Math.max(0, this.clock.nowMs() - newestMs);
    return {
      state: chooseState(this.weigh(fingerprint, replicas)),
      endedReplicas: replicas.length,
      ageMs,
      remainingMs: replicas.length === 0 ? 0 : QUARANTINE_EVIDENCE_LIFETIME_MS - ageMs,
    };
  }

  /**
   * Time after which a quarantined request may be sent on trial. If a trial confirmed its quarantine,
   * that is not before the evidence expires.
   * @param draw distributes the trials of gateways over an interval, in [0, 1)
   */
  getTrialDelayMs(fingerprint: string, draw: number): number {
    const { ageMs, remainingMs } = this.judge(fingerprint);
    const ends = [...(this.evidence.get(fingerprint)?.values() ?? [])];
    const trialEnds = ends.filter(({ isOnTrial }) => isOnTrial);
    const otherEnds = ends.filter(({ isOnTrial }) => !isOnTrial);
    const hasCommonCause = endedTogether(otherEnds);
    if (hasCommonCause && trialEnds.length === 0) return 0;
    const independentEnds = (hasCommonCause ? 1 : otherEnds.length) + trialEnds.length;
    const isConfirmed = trialEnds.length > 0 && independentEnds >= CONFIRMING_ENDS;
    return isConfirmed ? remainingMs : Math.max(0, TRIAL_INTERVAL_MS * (1 + draw) - ageMs);
  }

  /** Removes everything that has expired. */
  expireAll(): void {
    [...this.evidence.keys()].forEach((fingerprint) => this.expire(fingerprint));
  }

  private weigh(fingerprint: string, replicas: readonly (readonly [string, End])[]): number {
    const explained = replicas.filter(([replica]) => this.explainsBest(fingerprint, replica));
    const causes = new Set(explained.map(([, { cause }]) => cause));
    const ambiguous = replicas.length - causes.size;
    return causes.size * EXPLAINED_WEIGHT + ambiguous * AMBIGUOUS_WEIGHT;
  }

  /** Whether more replicas ended under a request than under any other that ran on this replica. */
  private explainsBest(fingerprint: string, replica: string): boolean {
    const others = [...(this.fingerprints.get(replica) ?? [])].filter(
      (other) => other !== fingerprint,
    );
    others.forEach((other) => this.expire(other));
    const count = (candidate: string): number => this.evidence.get(candidate)?.size ?? 0;
    return others.every((other) => count(other) < count(fingerprint));
  }

  private expire(fingerprint: string): void {
    const oldestMs = this.clock.nowMs() - QUARANTINE_EVIDENCE_LIFETIME_MS;
    [...(this.evidence.get(fingerprint) ?? [])]
      .filter(([, { endedMs }]) => endedMs <= oldestMs)
      .forEach(([replica]) => this.withdraw(fingerprint, replica));
  }

  private limitMemory(fingerprint: string, replicas: ReadonlyMap<string, End>): void {
    if (replicas.size > MAXIMUM_REPLICAS) {
      const [oldest] = [...replicas].sort(
        ([firstReplica, first], [secondReplica, second]) =>
          first.endedMs - second.endedMs || (firstReplica < secondReplica ? -1 : 1),
      );
      if (oldest) this.withdraw(fingerprint, oldest[0]);
    }
    if (this.evidence.size <= MAXIMUM_FINGERPRINTS) return;
    // A quarantined request is not sent, so its evidence grows old while it still counts.
    const requests = [...this.evidence];
    const dropped = requests.find(([, ends]) => ends.size === 1) ?? requests[0];
    if (dropped) this.clear(dropped[0]);
  }
}

function identifyCause({ replica, attempt, failureDomain }: EndedReplica): string {
  const isKnown = attempt !== undefined && failureDomain !== undefined;
  return JSON.stringify(isKnown ? [attempt, failureDomain] : [replica]);
}

function createEnd(ended: EndedReplica, nowMs: number): End {
  const endedMs = nowMs - ended.ageMs;
  return {
    startedMs: endedMs - (ended.runMs ?? UNKNOWN_RUN_MS),
    endedMs,
    isOnTrial: ended.isOnTrial === true,
    hasAttempt: ended.attempt !== undefined,
    cause: identifyCause(ended),
  };
}

/**
 * Combines reports about the same end; their order does not matter. Of several runs on a replica, the
 * earliest tells best whether others ended meanwhile.
 */
function mergeEnds(first: End, second: End): End {
  return {
    startedMs: Math.min(first.startedMs, second.startedMs),
    endedMs: Math.max(first.endedMs, second.endedMs),
    isOnTrial: first.isOnTrial || second.isOnTrial,
    hasAttempt: first.hasAttempt || second.hasAttempt,
    cause: first.cause < second.cause ? first.cause : second.cause,
  };
}

/**
 * Whether something else may have ended all replicas: every run had begun before the first end, but for
 * those of retries that met a replica which was just ending.
 */
function endedTogether(ends: readonly End[]): boolean {
  // Evidence that names no attempt has a cause of its own.
  if (ends.length < 2 || ends.some(({ hasAttempt }) => !hasAttempt)) return false;
  const firstMs = Math.min(...ends.map(({ endedMs }) => endedMs));
  const lastMs = Math.max(...ends.map(({ endedMs }) => endedMs));
  const haveOverlapped = ends.every(
    ({ startedMs, endedMs }) => startedMs < firstMs || endedMs - startedMs < SHORTEST_RUN_MS,
  );
  return haveOverlapped && lastMs - firstMs <= COMMON_LOSS_MS;
}

function chooseState(weight: number): QuarantineState {
  if (weight >= WEIGHT_LIMIT) return QuarantineState.Quarantined;
  return weight > 0 ? QuarantineState.Suspect : QuarantineState.Clear;
}
