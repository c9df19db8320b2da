/**
 * Gateways that share the duty of reporting usage, without anything else of a gateway.
 */
import * as standins from '@azureworks/standins';
import type * as gateway from '@azureworks/gateway';
import * as meterings from '../../src/duties/metering';
import type * as memberships from '../../src/membership/membership';
import type * as replicas from '../../src/types/replica';
import * as stores from '../../src/types/store';
import * as time from './virtual-time';

export const LEASE_MS = 3000;
export const WINDOW_MS = 5000;
export const DUE_MS = 10_000;
/** After this time the members know that a gateway is gone. */
const EXPIRY_MS = 2500;
const STEP_MS = 10;
const FAILED_CALL_MS = 100;

/** Answers every call at once. */
const ANSWERING: replicas.RequestSender = {
  call: async () => ({
    status: 'answered',
    answer: { status: 200, headers: [], body: Buffer.alloc(0), signature: 's' },
    load: undefined,
  }),
  stream: () => Promise.reject(new Error('not used')),
};

/** What a test may change while a gateway runs. */
interface GatewayState {
  readonly vm: string;
  /** It reaches neither the store nor the platform. */
  isCut: boolean;
  /** The process is dead: nothing that it still does reaches anything. */
  isDead: boolean;
  /** Its process stands still: answers and calls wait until this ends. */
  isFrozen: boolean;
  /** Whether it has read the members' rows. */
  areMembersKnown: boolean;
  /** How much further its wall clock has advanced than its monotonic clock. */
  wallAheadMs: number;
  diedMs: number;
}

/** One gateway. */
export interface MeteredGateway extends GatewayState {
  readonly metering: meterings.Metering;
  readonly environment: gateway.Environment;
}

/** The gateways, their store and the platform that receives their calls. */
export class MeteringFleet {
  readonly store = standins.MemoryStore.create({ nowMs: time.nowMs, pause: time.pause });

  readonly api: standins.MemoryDutyApi;

  readonly gateways: MeteredGateway[] = [];

  /** The gateway that makes the next call is frozen right before it is sent. */
  freezesAtNextCall = false;

  private constructor(private readonly checksFences: boolean) {
    const { nowMs, pause } = time;
    this.api = standins.MemoryDutyApi.create({ nowMs, pause, checksFences, leaseMs: LEASE_MS });
  }

  static create(checksFences = true): MeteringFleet {
    return new MeteringFleet(checksFences);
  }

  /** Starts a gateway on a VM. */
  async start(
    vm: string,
    incarnation = `${vm}-first`,
    { wallAheadMs = 0, areMembersKnown = true } = {},
  ): Promise<MeteredGateway> {
    const state = {
      vm,
      isCut: false,
      isDead: false,
      isFrozen: false,
      areMembersKnown,
      wallAheadMs,
      diedMs: Infinity,
    };
    const environment: gateway.Environment = {
      ...time.createEnvironment(vm, incarnation, this.gateways.length + 1),
      wallClockMs: () => time.nowMs() + state.wallAheadMs,
    };
    const metering = meterings.Metering.create({
      environment,
      store: this.connect(state),
      leaseMs: LEASE_MS,
      settings: {
        windowMs: WINDOW_MS,
        dueMs: DUE_MS,
        callsPerSecond: 50,
        checksFences: this.checksFences,
        api: { reportUsage: (...call) => this.call(state, ...call) },
      },
      members: () => ({ listPeers: () => this.listPeers(vm), isKnown: state.areMembersKnown }),
    });
    const started: MeteredGateway = Object.assign(state, { metering, environment });
    this.gateways.push(started);
    for (const task of metering.tasks) await task.start();
    await time.advance(1);
    return started;
  }

  async stopAll(): Promise<void> {
    const running = this.gateways.filter(({ isDead }) => !isDead);
    running.forEach((started) => Object.assign(started, { isFrozen: false, isCut: true }));
    const tasks = running.flatMap(({ metering }) => metering.tasks);
    const stops = Promise.all(tasks.map((task) => task.stop()));
    await time.advance(1000);
    await stops;
  }

  /** The gateway that made the last call. */
  get caller(): MeteredGateway {
    const holder = this.api.calls.at(-1)?.holder;
    return this.gateways.findLast(({ vm, isDead }) => vm === holder && !isDead)!;
  }

  /** What was reported for all windows together, by organisation. */
  sumReports(): Record<string, number> {
    const reports = new Map(this.api.calls.map((call) => [call.windowNo, call.counts]));
    const sums: Record<string, number> = {};
    reports.forEach((counts) => {
      Object.entries(counts).forEach(([name, count]) => {
        sums[name] = (sums[name] ?? 0) + count;
      });
    });
    return sums;
  }

  private listPeers(vm: string): memberships.MemberRecord[] {
    if (this.gateways.some((own) => own.vm === vm && !own.isDead && !own.areMembersKnown))
      return [];
    return this.gateways
      .filter((other) => other.vm !== vm && time.nowMs() - other.diedMs < EXPIRY_MS)
      .map((other) => ({
        vm: other.vm,
        incarnation: other.environment.incarnation,
        address: '',
        failureDomain: 'domain-a',
        capacity: 1,
        isStopping: false,
        issuesPermits: true,
        clockOffsetMs: other.metering.clockOffsetMs,
        revision: 1,
      }));
  }

  private connect(state: GatewayState): stores.Store {
    const { store } = this;
    const call = async <Outcome>(act: () => Promise<Outcome>): Promise<Outcome> => {
      await thaw(state);
      if (state.isDead) return new Promise<Outcome>(() => {});
      if (state.isCut) {
        await time.pause(FAILED_CALL_MS);
        return { status: stores.StoreStatus.NotDone, reason: 'cut' } as Outcome;
      }
      const outcome = await act();
      await thaw(state);
      return state.isDead ? new Promise<Outcome>(() => {}) : outcome;
    };
    return {
      get nowMs() {
        return store.nowMs;
      },
      transact: (transaction) => call(() => store.transact(transaction)),
      read: (range) => call(() => store.read(range)),
      listPartitions: (table) => call(() => store.listPartitions(table)),
      waitForChanges: (...wait) => call(() => store.waitForChanges(...wait)),
    };
  }

  private async call(
    state: GatewayState,
    caller: gateway.DutyCaller,
    report: gateway.UsageReport,
  ): Promise<gateway.DutyCallOutcome> {
    if (this.freezesAtNextCall) Object.assign(state, { isFrozen: true });
    this.freezesAtNextCall = false;
    await thaw(state);
    if (state.isDead) return new Promise(() => {});
    if (state.isCut || !caller.mayStillCall()) return { status: 'not-done' };
    const outcome = await this.api.reportUsage(caller, report);
    await thaw(state);
    return state.isDead ? new Promise(() => {}) : outcome;
  }
}

async function thaw(state: GatewayState): Promise<void> {
  while (state.isFrozen && !state.isDead) await time.pause(STEP_MS);
}

/** Ends the process of a gateway without notice. */
export function kill(killed: MeteredGateway): void {
  Object.assign(killed, { isDead: true, diedMs: time.nowMs() });
  killed.metering.tasks.forEach((task) => task.stop());
}

/** Sends plain requests of an organisation from a gateway. */
export async function send(
  from: MeteredGateway,
  organisation: string,
  count: number,
): Promise<void> {
  const sender = from.metering.meter(ANSWERING, organisation);
  const [replica, request, options] = [{}, {}, {}] as Parameters<typeof ANSWERING.call>;
  for (let index = 0; index < count; index += 1) await sender.call(replica, request, options);
}
