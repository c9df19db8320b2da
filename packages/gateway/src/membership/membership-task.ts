/**
 * Renews this gateway's row in the store, reads the rows of the other gateways, and reports which
 * of them are alive.
 */
import type * as runtime from '@azureworks/runtime';
import * as errorGuards from '../core/error-guard';
import * as validities from '../core/validity';
import * as values from '../store/json-value';
import * as oddRows from '../store/odd-rows';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import * as membership from './membership';

/** Table of the members' rows; each failure domain has its own partition. */
const MEMBERS_TABLE = 'members';
/** Delay until the next renewal after a failed renewal or read. */
const RETRY_DELAY_MS = 250;
/** Attempts to write the own row, the first of which may not know its revision. */
const MAXIMUM_WRITE_ATTEMPTS = 2;
/** More than the processor time of any VM, in cores. */
const MAXIMUM_CAPACITY = 10_000;

export interface MembershipTaskOptions {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly failureDomains: readonly string[];
  /** How far this VM's wall clock is ahead of the store's clock; the other gateways are told. */
  readonly getClockOffsetMs?: () => number | undefined;
  /** Called after the set of members has changed. */
  readonly onChange: () => void;
  /** Called when this gateway's membership is valid, for the first time or again after a gap. */
  readonly onTermBegan: () => void;
}

/** Maintains this gateway's own row and its view of the members. */
export class MembershipTask implements runtime.Task {
  readonly name = 'membership';

  private readonly view = membership.Membership.create();

  private readonly validity: validities.Validity;

  private timer: NodeJS.Timeout | undefined;

  private readonly stoppingIncarnations = new Set<string>();

  private isStopping = false;

  private isStopped = false;

  /** The revision of this gateway's row; 0 while it is not known to have one. */
  private rowRevision = 0;

  private loggedMembers = '';

  private hasRead = false;

  private readonly errors: errorGuards.ErrorGuard;

  private readonly oddRows: oddRows.OddRows;

  private constructor(private readonly options: MembershipTaskOptions) {
    this.errors = errorGuards.ErrorGuard.create(options.environment, this.name);
    this.oddRows = oddRows.OddRows.create(options.environment);
    this.validity = validities.Validity.create(options.environment);
  }

  static create(options: MembershipTaskOptions): MembershipTask {
    return new MembershipTask(options);
  }

  start(): Promise<void> {
    this.renewAndRead();
    return Promise.resolve();
  }

  /** Announces to the other gateways that this one takes no new work. */
  async announceStop(): Promise<void> {
    this.isStopping = true;
    await this.renew();
  }

  /** Removes this gateway's row, so that the others need not wait for it to expire. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.validity.end();
    await this.writeRow({ writes: [], removals: [this.rowAddress] });
  }

  /**
   * The term of this gateway's membership: since it began, no other process can have considered this
   * one gone. Undefined while that is not certain.
   */
  get term(): number | undefined {
    return this.validity.currentTerm;
  }

  /** Whether the other members were read at least once. */
  get isKnown(): boolean {
    return this.hasRead;
  }

  /** Whether no other process can consider this one gone. */
  get isMembershipValid(): boolean {
    return this.term !== undefined;
  }

  /** See Membership.isGone. */
  isGone(vm: string, incarnation: string): boolean {
    const { environment } = this.options;
    if (vm === environment.vm) return incarnation !== environment.incarnation;
    return this.view.isGone(vm, incarnation);
  }

  /** Records that a process is stopping, before its row says so. */
  recordStopping({ vm, incarnation }: Pick<membership.MemberRecord, 'vm' | 'incarnation'>): void {
    this.stoppingIncarnations.add(identifyProcess({ vm, incarnation }));
  }

  /** The live gateways that take new work, including this one. */
  listWorkers(): membership.MemberRecord[] {
    const others = this.listPeers().filter(
      (peer) => !peer.isStopping && !this.stoppingIncarnations.has(identifyProcess(peer)),
    );
    return this.isStopping ? others : [this.ownRecord, ...others];
  }

  /** The live gateways that issue permits for replicas that limit their rate. */
  listIssuers(): membership.MemberRecord[] {
    return this.listWorkers().filter((record) => record.issuesPermits);
  }

  /** How long the views of the members may differ after a change. */
  get settlingMs(): number {
    return this.view.validityMs;
  }

  /** The record of another live gateway; undefined when it is unknown or gone. */
  find(vm: string): membership.MemberRecord | undefined {
    return this.listPeers().find((record) => record.vm === vm);
  }

  /** The other live gateways. */
  listPeers(): membership.MemberRecord[] {
    const { vm } = this.options.environment;
    return this.view.listLive().filter((record) => record.vm !== vm);
  }

  private get ownRecord(): membership.MemberRecord {
    const { vm, incarnation, peerAddress, failureDomain, capacity } = this.options.environment;
    const { isStopping } = this;
    return {
      vm,
      incarnation,
      address: peerAddress,
      failureDomain,
      capacity,
      isStopping,
      issuesPermits: true,
      revision: 0,
    };
  }

  private get rowAddress(): stores.RowAddress {
    const { failureDomain, vm } = this.options.environment;
    return { table: MEMBERS_TABLE, partition: failureDomain, key: vm };
  }

  private async renewAndRead(): Promise<void> {
    // One after the other, they would take twice as long, and a slow store would be renewed too late.
    const [isRenewed, isRead] = await Promise.all([
      this.errors.settle(() => this.renew(), false),
      this.errors.settle(() => this.readMembers(), false),
    ]);
    if (!isRenewed || !isRead) this.view.recordFailedCall();
    if (this.isStopped) return;
    const delayMs = isRenewed && isRead ? this.view.intervalMs : RETRY_DELAY_MS;
    this.timer = setTimeout(
      () => this.renewAndRead(),
      delayMs * (0.9 + 0.2 * this.options.environment.random()),
    );
  }

  private async renew(): Promise<boolean> {
    const { environment } = this.options;
    const start = this.validity.startRenewal();
    const { incarnation, address, capacity, isStopping, issuesPermits } = this.ownRecord;
    const clockOffsetMs = this.options.getClockOffsetMs?.();
    const value = Buffer.from(
      JSON.stringify({
        incarnation,
        address,
        capacity,
        isStopping,
        issuesPermits,
        ...(clockOffsetMs !== undefined && { clockOffsetMs }),
      }),
    );
    if (!(await this.writeRow({ writes: [{ ...this.rowAddress, value }], removals: [] })))
      return false;
    if (this.isStopped) return true;
    if (this.validity.completeRenewal(start, this.view.validityMs)) {
      environment.log.info('membership valid', { term: this.term });
      this.errors.run(this.options.onTermBegan);
    }
    return true;
  }

  /**
   * Changes this gateway's row. The condition keeps a change that takes effect late, after the next
   * process on this VM has written the row, from undoing that.
   */
  private async writeRow(change: Omit<stores.Transaction, 'conditions'>): Promise<boolean> {
    const { store } = this.options;
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt += 1) {
      const conditions = [{ ...this.rowAddress, revision: this.rowRevision }];
      const outcome = await store.transact({ ...change, conditions });
      if (outcome.status === stores.StoreStatus.Done) {
        this.rowRevision = outcome.revision;
        return true;
      }
      if (outcome.status !== stores.StoreStatus.Conflict) return false;
      const [row] = outcome.rows;
      const writer = row && decodeRecord(row)?.incarnation;
      const isOthers = writer !== undefined && writer !== this.options.environment.incarnation;
      // Only the first write replaces the row of another process, the former one on this VM.
      if (isOthers && this.rowRevision !== 0) return false;
      this.rowRevision = row?.revision ?? 0;
    }
    return false;
  }

  private async readMembers(): Promise<boolean> {
    const { store, failureDomains, environment } = this.options;
    const sentMs = environment.nowMs();
    const outcomes = await Promise.all(
      failureDomains.map((partition) => store.read({ table: MEMBERS_TABLE, partition })),
    );
    const records: membership.MemberRecord[] = [];
    for (const outcome of outcomes) {
      if (outcome.status !== stores.StoreStatus.Done) return false;
      records.push(...outcome.rows.flatMap((row) => this.decode(row) ?? []));
    }
    this.view.update(records, environment.nowMs(), sentMs);
    this.hasRead = true;
    const processes = new Set(records.map(identifyProcess));
    this.stoppingIncarnations.forEach((process) => {
      if (!processes.has(process)) this.stoppingIncarnations.delete(process);
    });
    this.reportChange();
    return true;
  }

  /**
   * A row that cannot be decoded does not tell that its gateway is gone: what was known of it holds until
   * the row has not been renewed for too long.
   */
  private decode(row: stores.Row): membership.MemberRecord | undefined {
    const record = decodeRecord(row);
    if (record) return record;
    this.oddRows.report(row, 'tells nothing new of its gateway');
    return this.view.find(row.key);
  }

  private reportChange(): void {
    const live = this.view
      .listLive()
      .map((record) =>
        record.isStopping ? `${identifyProcess(record)} (stopping)` : identifyProcess(record),
      )
      .sort()
      .join(' ');
    if (live === this.loggedMembers) return;
    this.options.environment.log.info('members changed', { live });
    this.loggedMembers = live;
    this.errors.run(this.options.onChange);
  }
}

function identifyProcess({
  vm,
  incarnation,
}: Pick<membership.MemberRecord, 'vm' | 'incarnation'>): string {
  return `${vm}#${incarnation}`;
}

/** Decodes a row; undefined when no gateway can have written it. */
function decodeRecord(row: stores.Row): membership.MemberRecord | undefined {
  const fields = values.getFields(values.parseJson(row.value));
  const { incarnation, address, capacity, isStopping, issuesPermits, clockOffsetMs } = fields;
  if (!values.isText(incarnation) || !values.isText(address)) return undefined;
  const isCapacity = values.isNumber(capacity) && capacity >= 0 && capacity <= MAXIMUM_CAPACITY;
  return {
    vm: row.key,
    failureDomain: row.partition,
    incarnation,
    address,
    capacity: isCapacity ? capacity : 0,
    isStopping: isStopping === true,
    issuesPermits: issuesPermits === true,
    ...(values.isNumber(clockOffsetMs) && { clockOffsetMs }),
    revision: row.revision,
  };
}
