/**
 * Permits to send requests to a replica that limits its rate, and how gateways ask each other for
 * them. One gateway issues all permits for a replica, so that the limit holds for all gateways
 * together however many there are.
 */
import * as decisions from '@azureworks/decisions';
import type * as incarnations from '../replicas/incarnation';

/** A gateway asks the issuer for permits; also reports what it heard, with a count of 0. */
export interface PermitQuery {
  readonly replica: incarnations.Incarnation;
  /** Name of the VM that asks. */
  readonly sender: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly count: number;
  /** The limit that the sender knows; undefined when the replica named none in its last answer. */
  readonly requestsPerSecond: number | undefined;
  /** How long ago the sender asked the replica; `UNKNOWN_AGE_MS` when it knows it from others. */
  readonly ageMs: number;
}

/** The age of what a gateway did not hear itself; older than anything that one did. */
export const UNKNOWN_AGE_MS = Number.MAX_SAFE_INTEGER;

/** The issuer's answer. */
export interface PermitReply extends decisions.PermitDecision {
  /** Whether the replica limits its rate at all; if not, no permits are needed. */
  readonly isLimited: boolean;
}

/** A gateway that may issue permits. */
export interface IssuerCandidate {
  readonly vm: string;
  /** The address at which peers reach it. */
  readonly address: string;
}

/** Calls to the gateways that issue permits. */
export interface PermitPeers {
  /** Resolves to undefined when the peer does not answer. */
  requestPermits(
    address: string,
    query: PermitQuery,
    timeoutMs: number,
  ): Promise<PermitReply | undefined>;
}

/** Chooses the gateway that issues the permits for a replica. */
export function chooseIssuer<Candidate extends IssuerCandidate>(
  replicaId: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const vm = decisions.chooseNode(
    replicaId,
    candidates.map((candidate) => candidate.vm),
  );
  return candidates.find((candidate) => candidate.vm === vm);
}
