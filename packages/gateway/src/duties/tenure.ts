/**
 * Holds one duty for as long as its lease is valid, or waits until the holder's lease has expired.
 *
 * A process that was restarted on the same VM goes on with the fencing token of its VM. The lease is
 * checked right before each use: it ends by the process's own clock, and at once when the process finds
 * that it was suspended.
 *
 * Load pattern: hundreds of gateways contend for one lease. Only a few that rendezvous hashing chooses
 * from the live ones read the row often; the others read it the less often, the more of them there are.
 */
import * as decisions from '@azureworks/decisions';
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import * as suspensionDetectors from '../core/suspension-detector';
import * as leaseRows from '../store/lease-row';
import * as oddRows from '../store/odd-rows';
import type * as environments from '../types/environment';
import * as stores from '../types/store';

export interface TenureOptions {
  readonly environment: environments.Environment;
  readonly store: Pick<stores.Store, 'read' | 'transact'>;
  /** Names the duty and its subject. */
  readonly subject: string;
  readonly leaseMs: number;
  /** The VMs of the live gateways, including this one. */
  readonly listGateways: () => readonly string[];
}

const TABLE = 'leases';
const PARTITION = 'duties';
/** Cycles per duration of the lease; each cycle renews, claims or checks the lease. */
const CYCLES_PER_LEASE = 4;
/** Contenders that check the lease in every cycle; several may be lost together with the holder. */
const STANDBY_GATEWAYS = 4;
/** With this many gateways, the other contenders check the lease half as often. */
const GATEWAYS_TO_HALVE_CHECKS = 30;

/** A row as it was last read or written; `lease` is undefined when there is none. */
interface KnownRow {
  readonly revision: number;
  readonly lease: decisions.LeaseRow | undefined;
}

/** One duty from the point of view of one gateway. */
export class Tenure implements runtime.Task {
  readonly name: string;

  private readonly lease: decisions.Lease;

  private readonly suspensionDetector: suspensionDetectors.SuspensionDetector;

  private readonly errors: errorGuards.ErrorGuard;

  private readonly oddRows: oddRows.OddRows;

  private readonly row: stores.RowAddress;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  /** The own row, as long as it is certain that nobody has changed it since this process wrote it. */
  private ownRow: KnownRow | undefined;

  private lastHolder: string | undefined;

  /** No token below this one is used: others were seen, or the call with a lower one was rejected. */
  private minimumFence = 0;

  private current: { readonly fence: number; readonly sinceMs: number } | undefined;

  private constructor(private readonly options: TenureOptions) {
    const { environment, subject, leaseMs } = options;
    const { vm, nowMs, wallClockMs, metrics } = environment;
    this.name = `duty ${subject}`;
    this.row = { table: TABLE, partition: PARTITION, key: subject };
    this.errors = errorGuards.ErrorGuard.create(environment, this.name);
    this.oddRows = oddRows.OddRows.create(environment);
    this.lease = decisions.Lease.create(vm, leaseMs, { nowMs });
    this.suspensionDetector = suspensionDetectors.SuspensionDetector.create(nowMs, wallClockMs);
    const labels = { duty: subject };
    metrics.gauge('duty_held', labels, () => (this.fence === undefined ? 0 : 1));
    metrics.gauge('duty_fence', labels, () => this.fence ?? 0);
    metrics.gauge('duty_held_s', labels, () => Math.round(this.heldMs / 1000));
  }

  static create(options: TenureOptions): Tenure {
    return new Tenure(options);
  }

  start(): Promise<void> {
    this.runCycle();
    return Promise.resolve();
  }

  /** The lease is left to expire: a call of this process may still be on its way. */
  stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.end('stopped');
    return Promise.resolve();
  }

  /** The fencing token of the duty while this gateway holds it. */
  get fence(): number | undefined {
    if (this.suspensionDetector.check()) this.end('suspended');
    if (this.current && this.lease.fence === undefined) this.end('expired');
    return this.current?.fence;
  }

  /** Since when this gateway has held the duty without a gap, on the monotonic clock. */
  get sinceMs(): number | undefined {
    return this.fence === undefined ? undefined : this.current?.sinceMs;
  }

  /** Ends the tenure because a call with this token was rejected; the token is not used again. */
  reject(fence: number): void {
    this.minimumFence = Math.max(this.minimumFence, fence + 1);
    if (this.current?.fence === fence) this.end('rejected');
  }

  private get heldMs(): number {
    return this.fence === undefined ? 0 : this.options.environment.nowMs() - this.current!.sinceMs;
  }

  private end(reason: string): void {
    this.lease.drop();
    this.ownRow = undefined;
    if (!this.current) return;
    const { fence } = this.current;
    this.current = undefined;
    this.options.environment.log.info('duty no longer held', {
      duty: this.options.subject,
      fence,
      reason,
    });
  }

  private async runCycle(): Promise<void> {
    await this.errors.settle(() => this.renewOrClaim(), undefined);
    if (this.isStopped) return;
    const { environment, leaseMs } = this.options;
    const delayMs = (leaseMs / CYCLES_PER_LEASE) * this.chooseDelayFactor();
    this.timer = setTimeout(() => this.runCycle(), delayMs * (0.9 + 0.2 * environment.random()));
  }

  private chooseDelayFactor(): number {
    if (this.fence !== undefined) return 1;
    const { environment, subject, listGateways } = this.options;
    const gateways = listGateways();
    const standby = decisions.rankNodes(subject, gateways).slice(0, STANDBY_GATEWAYS);
    if (standby.includes(environment.vm)) return 1;
    return 1 + gateways.length / GATEWAYS_TO_HALVE_CHECKS;
  }

  private async renewOrClaim(): Promise<void> {
    const known = this.ownRow ?? (await this.readRow());
    if (!known || this.isStopped) return;
    const next = this.plan(known);
    if (!next) return;
    // Reading the fence also notices a suspension, which must not be taken for part of the renewal.
    const isHeld = this.fence !== undefined;
    const { environment, store } = this.options;
    const sentMs = environment.nowMs();
    this.ownRow = undefined;
    const outcome = await store.transact({
      conditions: [{ ...this.row, revision: known.revision }],
      writes: [{ ...this.row, value: Buffer.from(JSON.stringify(next)) }],
      removals: [],
    });
    if (this.suspensionDetector.check()) {
      this.end('suspended');
      return;
    }
    if (outcome.status !== stores.StoreStatus.Done || this.isStopped) return;
    // The call with this token was rejected while it was renewed.
    if (next.fence < this.minimumFence) return;
    this.ownRow = { revision: outcome.revision, lease: next };
    this.lease.recordWrite(next, sentMs);
    if (!isHeld || this.current?.fence !== next.fence) this.begin(next.fence, sentMs);
  }

  private begin(fence: number, sinceMs: number): void {
    // The answer may have come after the lease that it confirms has expired.
    if (this.lease.fence === undefined) return;
    this.current = { fence, sinceMs };
    const { environment, subject } = this.options;
    environment.metrics.count('duty_changes', { duty: subject });
    environment.log.info('duty held', {
      duty: subject,
      holder: environment.vm,
      fence,
      formerHolder: this.lastHolder,
    });
    this.lastHolder = environment.vm;
  }

  private async readRow(): Promise<KnownRow | undefined> {
    const { table, partition, key } = this.row;
    const range = { table, partition, from: key, to: `${key}\0` };
    const outcome = await this.options.store.read(range);
    if (outcome.status !== stores.StoreStatus.Done) return undefined;
    const [row] = outcome.rows;
    return { revision: row?.revision ?? 0, lease: row && this.decode(row) };
  }

  /** The row to write; undefined while another gateway holds the duty. */
  private plan({ lease: row, revision }: KnownRow): decisions.LeaseRow | undefined {
    const { vm } = this.options.environment;
    if (row && row.holder !== vm) {
      this.lastHolder = row.holder;
      this.minimumFence = Math.max(this.minimumFence, row.fence + 1);
      if (this.current) this.end('taken over');
    }
    const action = this.lease.plan(row);
    if (action.kind === 'wait') return undefined;
    if (action.row.fence >= this.minimumFence) return action.row;
    // Each token took a transaction, so none that was in use for this row is above its revision.
    return { holder: vm, fence: Math.max(this.minimumFence, revision), renewal: 0 };
  }

  private decode(row: stores.Row): decisions.LeaseRow {
    const lease = leaseRows.decodeLease(row);
    if (lease) return lease;
    this.oddRows.report(row, 'the lease of the duty has to expire');
    return leaseRows.createUnknownLease(row);
  }
}
