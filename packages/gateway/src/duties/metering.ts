/**
 * The duty of reporting usage, with all its parts. It exists only where the deployment's settings ask for
 * it.
 */
import type * as runtime from '@azureworks/runtime';
import type * as membershipTasks from '../membership/membership-task';
import type * as dutyApis from '../types/duty-api';
import type * as environments from '../types/environment';
import type * as replicas from '../types/replica';
import type * as stores from '../types/store';
import * as meteredSenders from './metered-sender';
import * as tenures from './tenure';
import * as trueTimes from './true-time';
import * as usageCleaners from './usage-cleaner';
import * as usageCounters from './usage-counter';
import * as usageLedgers from './usage-ledger';
import * as usageReporters from './usage-reporter';
import type * as usageWindows from './usage-windows';
import * as usageWriters from './usage-writer';

/** What the deployment's settings tell of the duty. */
export interface MeteringSettings extends usageWindows.UsageTiming {
  readonly api: dutyApis.DutyApi;
  /** The calls that all gateways together may make in a second. */
  readonly callsPerSecond: number;
  /** Whether the platform rejects calls with a lower fencing token than it has seen. */
  readonly checksFences: boolean;
}

export interface MeteringOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly leaseMs: number;
  readonly settings: MeteringSettings;
  readonly members: () => Pick<membershipTasks.MembershipTask, 'listPeers' | 'isKnown'>;
}

/** The subject of the duty: all windows form one. */
const SUBJECT = 'usage';

/** Counts, stores and reports usage. */
export class Metering {
  /** In the order in which they start. */
  readonly tasks: readonly runtime.Task[];

  private readonly time: trueTimes.TrueTime;

  private readonly counter: usageCounters.UsageCounter;

  private constructor(private readonly options: MeteringOptions) {
    const { environment, store, leaseMs, settings, members } = options;
    const listGateways = (): string[] => [
      environment.vm,
      ...members()
        .listPeers()
        .map(({ vm }) => vm),
    ];
    this.time = trueTimes.TrueTime.create({
      environment,
      storeNowMs: () => store.nowMs,
      listPeerOffsets: () =>
        members()
          .listPeers()
          .flatMap(({ clockOffsetMs }) => clockOffsetMs ?? []),
      arePeersKnown: () => members().isKnown,
    });
    const { windowMs, dueMs, api, callsPerSecond, checksFences } = settings;
    const timing = { windowMs, dueMs };
    this.counter = usageCounters.UsageCounter.create(this.time, timing, environment.metrics);
    const tenure = tenures.Tenure.create({
      environment,
      store,
      subject: SUBJECT,
      leaseMs,
      listGateways,
    });
    const common = { environment, store, time: this.time, timing, tenure };
    this.tasks = [
      usageWriters.UsageWriter.create({
        ...common,
        counter: this.counter,
        countGateways: () => listGateways().length,
      }),
      tenure,
      usageCleaners.UsageCleaner.create(common),
      usageReporters.UsageReporter.create({
        ...common,
        ledger: usageLedgers.UsageLedger.create(common),
        api,
        callsPerSecond,
        checksFences,
        listGateways,
      }),
    ];
  }

  static create(options: MeteringOptions): Metering {
    return new Metering(options);
  }

  /** How far this VM's wall clock is ahead of the store's clock; undefined while that is unknown. */
  get clockOffsetMs(): number | undefined {
    return this.time.ownOffsetMs;
  }

  /** Counts the calls of a request that is made for an organisation. */
  meter(sender: replicas.RequestSender, organisation: string | undefined): replicas.RequestSender {
    if (organisation === undefined) return sender;
    const { nowMs } = this.options.environment;
    return meteredSenders.MeteredSender.create(sender, organisation, this.counter, nowMs);
  }
}
