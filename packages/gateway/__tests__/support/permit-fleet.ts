/**
 * Many gateways that send requests to one replica with a rate limit, reduced to what concerns
 * permits. Each gateway has a view of the members of its own.
 */
import * as decisions from '@azureworks/decisions';
import * as permitIssuers from '../../src/limits/permit-issuer';
import * as permitRequesters from '../../src/limits/permit-requester';
import type * as permits from '../../src/limits/permit';
import * as rateLimits from '../../src/limits/rate-limits';
import * as time from './virtual-time';

export const REPLICA = { id: 'replica', address: 'replica:1', bornMs: 1 };
const PEER_DELAY_MS = 2;
/** How long the views of the members may differ. */
const SETTLING_MS = 1000;

/** One gateway of a fleet. */
export interface FleetGateway {
  readonly vm: string;
  readonly limits: rateLimits.RateLimits;
  readonly issuer: permitIssuers.PermitIssuer;
  readonly requester: permitRequesters.PermitRequester;
  /** The VMs that it considers to be members. */
  view: readonly string[];
  /** The term of its membership; undefined while others may consider it gone. */
  term: number | undefined;
  /** Whether no peer reaches it. */
  isCut: boolean;
}

/** A request that reached the replica. */
export interface FleetSend {
  readonly vm: string;
  readonly atMs: number;
}

/** All gateways and the replica. */
export class PermitFleet {
  readonly gateways = new Map<string, FleetGateway>();

  readonly sends: FleetSend[] = [];

  /** Queries between gateways. */
  queries = 0;

  /** The limit that the replica names in its answers. */
  rateLimit: number | undefined;

  private constructor(private readonly settlingMs: number) {}

  static create(size: number, settlingMs = SETTLING_MS): PermitFleet {
    const fleet = new PermitFleet(settlingMs);
    const vms = Array.from({ length: size }, (_unused, index) => `vm${index}`);
    vms.forEach((vm) => fleet.start(vm, vms));
    return fleet;
  }

  /** Starts a gateway, or starts it again: it knows nothing of before. */
  start(vm: string, view: readonly string[]): FleetGateway {
    const environment = time.createEnvironment(vm, `${vm}-first`, decisions.hashText(vm));
    const limits = rateLimits.RateLimits.create(environment);
    const listIssuers = (): permits.IssuerCandidate[] =>
      (this.gateways.get(vm)?.view ?? []).map((name) => ({ vm: name, address: name }));
    const getTerm = (): number | undefined => this.gateways.get(vm)?.term;
    const issuer = permitIssuers.PermitIssuer.create({
      environment,
      reporter: { report: () => {}, withdraw: () => {} },
      members: {
        listIssuers,
        get term() {
          return getTerm();
        },
        settlingMs: this.settlingMs,
      },
    });
    const requester = permitRequesters.PermitRequester.create({
      environment,
      limits,
      issuer,
      listIssuers,
      peers: {
        requestPermits: (address, query, timeoutMs) => this.ask(vm, address, query, timeoutMs),
      },
    });
    limits.subscribe({ onLimitHeard: (replica, sentMs) => requester.report(replica, sentMs) });
    const gateway: FleetGateway = {
      vm,
      limits,
      issuer,
      requester,
      view,
      term: 1,
      isCut: false,
    };
    this.gateways.set(vm, gateway);
    return gateway;
  }

  /** A request comes to a gateway; resolves to whether it was sent to the replica. */
  async send(vm: string, priority = 0): Promise<boolean> {
    const gateway = this.gateways.get(vm);
    if (!gateway || gateway.requester.isRefused(REPLICA)) return false;
    if (!(await gateway.requester.take(REPLICA, priority))) return false;
    const sentMs = time.nowMs();
    this.sends.push({ vm, atMs: sentMs });
    gateway.limits.record(REPLICA, this.rateLimit, sentMs);
    return true;
  }

  private async ask(
    sender: string,
    address: string,
    query: permits.PermitQuery,
    timeoutMs: number,
  ): Promise<permits.PermitReply | undefined> {
    this.queries += 1;
    const asked = this.gateways.get(address);
    if (!asked || asked.isCut || this.gateways.get(sender)?.isCut) {
      await time.pause(timeoutMs);
      return undefined;
    }
    await time.pause(PEER_DELAY_MS);
    const reply = asked.issuer.answer(query);
    await time.pause(PEER_DELAY_MS);
    return reply;
  }
}
