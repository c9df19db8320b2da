/**
 * Renews this gateway's row in the store, reads the rows of the others, and tells who lives.
 */
import type * as runtime from '@azureworks/runtime';
import * as suspensions from '../core/suspension-detector';
import type * as environments from '../types/environment';
import * as stores from '../types/store';
import * as membership from './membership';

/** The table of the members' rows; each failure domain is a partition of its own. */
const MEMBERS_TABLE = 'members';
/** After a failure the row is renewed sooner, in milliseconds. */
const RETRY_MS = 250;

/** What the task needs. */
export interface MembershipParts {
  readonly environment: environments.Environment;
  readonly store: stores.Store;
  readonly failureDomains: readonly string[];
  /** Called after the view changed. */
  readonly changed: () => void;
}

/** This gateway's part in the membership. */
export class MembershipTask implements runtime.Task {
  readonly name = 'membership';

  private readonly view = membership.Membership.create();

  private readonly suspension: suspensions.Suspension;

  private timer: NodeJS.Timeout | undefined;

  private readonly leaving = new Set<string>();

  private isStopping = false;

  private isStopped = false;

  private trustedUntilMs = -Infinity;

  private live = '';

  private constructor(private readonly parts: MembershipParts) {
    const { nowMs, wallMs } = parts.environment;
    this.suspension = suspensions.Suspension.create(nowMs, wallMs);
  }

  static create(parts: MembershipParts): MembershipTask {
    return new MembershipTask(parts);
  }

  start(): Promise<void> {
    this.run();
    return Promise.resolve();
  }

  /** Tells the others that this gateway takes no new work. */
  async announceStop(): Promise<void> {
    this.isStopping = true;
    await this.renew();
  }

  /** Removes the own row, so that the others need not wait for it to lapse. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.parts.store.transact({ conditions: [], writes: [], removals: [this.address] });
  }

  /** Whether no other process can have concluded that this one is gone. */
  get isTrusted(): boolean {
    if (this.suspension.look()) this.trustedUntilMs = -Infinity;
    return this.parts.environment.nowMs() < this.trustedUntilMs;
  }

  /** See Membership.isGone. */
  isGone(vm: string, incarnation: string): boolean {
    const { environment } = this.parts;
    if (vm === environment.vm) return incarnation !== environment.incarnation;
    return this.view.isGone(vm, incarnation);
  }

  /** Learns that a gateway is about to stop, before its row was read. */
  noteStopping(vm: string): void {
    const record = this.find(vm);
    if (record) this.leaving.add(`${vm}#${record.incarnation}`);
  }

  /** The gateways that live and take new work, this one included. */
  listWorkers(): membership.MemberRecord[] {
    const others = this.listPeers().filter(
      ({ vm, incarnation, isStopping }) => !isStopping && !this.leaving.has(`${vm}#${incarnation}`),
    );
    return this.isStopping ? others : [this.self, ...others];
  }

  /** A gateway that lives; undefined when it is not known or gone. */
  find(vm: string): membership.MemberRecord | undefined {
    return this.listPeers().find((record) => record.vm === vm);
  }

  /** The other gateways that live. */
  listPeers(): membership.MemberRecord[] {
    const { vm } = this.parts.environment;
    return this.view.listLive().filter((record) => record.vm !== vm);
  }

  private get self(): membership.MemberRecord {
    const { vm, incarnation, peerAddress, failureDomain, capacity } = this.parts.environment;
    const { isStopping } = this;
    return {
      vm,
      incarnation,
      address: peerAddress,
      failureDomain,
      capacity,
      isStopping,
      revision: 0,
    };
  }

  private get address(): stores.RowAddress {
    const { failureDomain, vm } = this.parts.environment;
    return { table: MEMBERS_TABLE, partition: failureDomain, key: vm };
  }

  private async run(): Promise<void> {
    const isRenewed = await this.renew();
    const isRead = await this.readAll();
    if (this.isStopped) return;
    const delayMs = isRenewed && isRead ? this.view.intervalMs : RETRY_MS;
    this.timer = setTimeout(
      () => this.run(),
      delayMs * (0.9 + 0.2 * this.parts.environment.random()),
    );
  }

  private async renew(): Promise<boolean> {
    const { environment, store } = this.parts;
    const sentMs = environment.nowMs();
    this.suspension.look();
    const { incarnation, address, capacity, isStopping } = this.self;
    const value = Buffer.from(JSON.stringify({ incarnation, address, capacity, isStopping }));
    const write = { ...this.address, value };
    const outcome = await store.transact({ conditions: [], writes: [write], removals: [] });
    if (outcome.status !== stores.StoreStatus.Done) return false;
    if (!this.suspension.look()) this.trustedUntilMs = sentMs + this.view.trustedMs;
    return true;
  }

  private async readAll(): Promise<boolean> {
    const { store, failureDomains, environment } = this.parts;
    const outcomes = await Promise.all(
      failureDomains.map((partition) => store.read({ table: MEMBERS_TABLE, partition })),
    );
    const records: membership.MemberRecord[] = [];
    for (const outcome of outcomes) {
      if (outcome.status !== stores.StoreStatus.Done) return false;
      records.push(...outcome.rows.flatMap(decodeRecord));
    }
    this.view.update(records, environment.nowMs());
    this.announce();
    return true;
  }

  private announce(): void {
    const live = this.view
      .listLive()
      .map(({ vm, incarnation, isStopping }) =>
        isStopping ? `${vm}#${incarnation} (stopping)` : `${vm}#${incarnation}`,
      )
      .sort()
      .join(' ');
    if (live === this.live) return;
    this.parts.environment.log.change('members changed', { live });
    this.live = live;
    this.parts.changed();
  }
}

function decodeRecord(row: stores.Row): membership.MemberRecord[] {
  try {
    const value = JSON.parse(row.value.toString()) as Record<string, unknown>;
    const { incarnation, address, capacity, isStopping } = value;
    if (typeof incarnation !== 'string' || typeof address !== 'string') return [];
    const { key, partition, revision } = row;
    return [
      {
        vm: key,
        failureDomain: partition,
        incarnation,
        address,
        capacity: typeof capacity === 'number' ? capacity : 0,
        isStopping: isStopping === true,
        revision,
      },
    ];
  } catch {
    // A row that is not JSON was not written by a gateway; it names no member.
    return [];
  }
}
