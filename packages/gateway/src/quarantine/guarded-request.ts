/**
 * One request of a caller on its way to replicas: observes how its calls end, and limits to which
 * replicas it may be sent once it is suspect.
 */
import * as decisions from '@azureworks/decisions';
import type * as directories from '../replicas/directory';
import * as replicas from '../types/replica';
import type * as requestQuarantines from './request-quarantine';

/** Hexadecimal digits of the fingerprint that place a suspect request. */
const DRAW_DIGITS = 8;
const DRAW_RANGE = 16 ** DRAW_DIGITS;

/**
 * Calls of one request that run at the same time and lose their connections within this time may have
 * lost them for a common reason, such as a power failure: they count as one.
 */
const COMMON_CAUSE_MS = 50;

/** Sends a request and observes its calls. */
export class GuardedRequest implements replicas.RequestSender {
  private fingerprint: string | undefined;

  private running = 0;

  private lastLossMs = -Infinity;

  private hasReachedReplica = false;

  /** The failure domains of the replicas that were lost under this attempt. */
  private readonly lostDomains = new Set<string>();

  private constructor(
    private readonly request: replicas.ReplicaRequest,
    private readonly quarantine: requestQuarantines.RequestQuarantine,
    private readonly sender: replicas.RequestSender,
    private readonly nowMs: () => number,
  ) {}

  static create(
    request: replicas.ReplicaRequest,
    quarantine: requestQuarantines.RequestQuarantine,
    sender: replicas.RequestSender,
    nowMs: () => number,
  ): GuardedRequest {
    return new GuardedRequest(request, quarantine, sender, nowMs);
  }

  call(...call: Parameters<replicas.RequestSender['call']>): Promise<replicas.CallOutcome> {
    return this.observe(call[0], () => this.sender.call(...call));
  }

  stream(...stream: Parameters<replicas.RequestSender['stream']>): Promise<replicas.StreamOutcome> {
    return this.observe(stream[0], () => this.sender.stream(...stream));
  }

  /** To be called when the request is over. */
  end(): void {
    this.quarantine.endTrial(this.request, this.hasReachedReplica);
  }

  /**
   * The replicas to which the request may be sent now. A suspect request goes to one replica at a
   * time, if possible not to one that runs another suspect request, and to another failure domain:
   * what ends a whole domain is then not taken for an effect of the request.
   */
  selectReplicas(
    candidates: readonly directories.TrackedReplica[],
  ): readonly directories.TrackedReplica[] {
    const { state } = this;
    if (state === decisions.QuarantineState.Clear) return candidates;
    if (state === decisions.QuarantineState.Quarantined || this.running > 0) return [];
    const nowMs = this.nowMs();
    const sound = prefer(candidates, ({ health }) => !health.isEjected(nowMs));
    const separate = prefer(sound, ({ replica }) => !this.quarantine.hasSuspect(replica));
    return prefer(separate, ({ replica }) => !this.lostDomains.has(replica.failureDomain));
  }

  /** Whether it is limited to some replicas, and its choice depends on its fingerprint only. */
  get isSuspect(): boolean {
    return this.state !== decisions.QuarantineState.Clear;
  }

  /**
   * The draw between equally good replicas, in [0, 1). That of a suspect request depends on its
   * fingerprint only, so that it differs from that of another suspect at any gateway.
   */
  draw(random: () => number): number {
    if (this.state === decisions.QuarantineState.Clear) return random();
    return parseInt(this.getFingerprint().slice(0, DRAW_DIGITS), 16) / DRAW_RANGE;
  }

  private get state(): decisions.QuarantineState {
    if (this.quarantine.isEmpty) return decisions.QuarantineState.Clear;
    return this.quarantine.judgeAttempt(this.getFingerprint(), this.request.id);
  }

  private getFingerprint(): string {
    this.fingerprint ??= this.quarantine.computeFingerprint(this.request);
    return this.fingerprint;
  }

  private isRepeatedLoss(outcome: replicas.CallOutcome, startMs: number): boolean {
    if (!isLost(outcome)) return false;
    const isRepeated =
      startMs < this.lastLossMs && this.nowMs() - this.lastLossMs < COMMON_CAUSE_MS;
    if (!isRepeated) this.lastLossMs = this.nowMs();
    return isRepeated;
  }

  private async observe(
    replica: replicas.Replica,
    act: () => Promise<replicas.CallOutcome>,
  ): Promise<replicas.CallOutcome> {
    const isSuspect = this.state !== decisions.QuarantineState.Clear;
    const leave = isSuspect ? this.quarantine.enterSuspect(replica) : () => {};
    const startMs = this.nowMs();
    this.running += 1;
    try {
      const outcome = await act();
      const runMs = this.nowMs() - startMs;
      if (!replicas.isNotRun(outcome.status)) this.hasReachedReplica = true;
      if (isLost(outcome)) this.lostDomains.add(replica.failureDomain);
      if (!this.isRepeatedLoss(outcome, startMs)) {
        await this.quarantine.examine(this.request, replica, outcome, runMs);
      }
      return outcome;
    } finally {
      this.running -= 1;
      leave();
    }
  }
}

function isLost(outcome: replicas.CallOutcome): boolean {
  return outcome.status === replicas.CallStatus.Broken && outcome.isConnectionLost === true;
}

/** The replicas that meet a condition, or all if there are none. */
function prefer(
  candidates: readonly directories.TrackedReplica[],
  condition: (candidate: directories.TrackedReplica) => boolean,
): readonly directories.TrackedReplica[] {
  const preferred = candidates.filter(condition);
  return preferred.length > 0 ? preferred : candidates;
}
