/**
 * Membership of entries by gossip, and polling of the VM list.
 *
 * The VM list only seeds the membership view, since it lags; exchanges between entries take
 * precedence. An entry that does not answer is probed through other entries before it is suspected,
 * and a suspicion can be refuted.
 */
import * as decisions from '@azureworks/decisions';
import type * as intake from '@azureworks/intake';
import * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import type * as storage from '@azureworks/storage';
import type * as runtime from '@azureworks/runtime';
import * as topics from '../core/topic';
import type * as configurationTask from './configuration-task';
import * as remoteGroups from '../rollout/remote-groups';
import type * as rolloutTask from '../rollout/rollout-task';
import type * as gossipStates from './gossip-state';
import * as peerClients from './peer-clients';

/** Runs groups for other entries. */
export interface GroupRunner {
  run(order: links.GroupOrder): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>>;
}

/** Options of the membership task. */
export interface MembershipTaskOptions {
  readonly self: Omit<links.Member, 'controlPort' | 'httpPort' | 'state'>;
  readonly controlPort: number;
  readonly credentials: links.CredentialSource;
  readonly controlLimit: intake.SocketLimitOptions;
  readonly vms: storage.VmList;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly gossipState: gossipStates.GossipState;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  readonly random: decisions.Random;
  readHttpPort(): number;
}

const EXCHANGE_INTERVAL_MS = 500;
/** How much of the odd entries of the VM list the log shows, in characters. */
const MAXIMUM_LOGGED_LENGTH = 400;
const EXCHANGE_TIMEOUT_MS = 400;
const PROBE_TIMEOUT_MS = 600;
const PUSH_TIMEOUT_MS = 1500;
const PULL_TIMEOUT_MS = 2000;
const VM_POLL_INTERVAL_MS = 1000;
const EXCHANGE_PEERS_PER_ROUND = 3;
const PROBE_PEERS = 2;
const MAXIMUM_MEMBERS_PER_EXCHANGE = 32;
const MAXIMUM_PUSH_PEERS = 16;

/** Owns the membership view of one entry. */
export class MembershipTask
  implements
    runtime.Task,
    links.PeerHandlers,
    configurationTask.ConfigurationPeers,
    rolloutTask.GroupPlacement
{
  readonly name = 'membership';

  /** Published with the VM list after every successful read. */
  readonly vmListUpdates = topics.Topic.create<readonly storage.Vm[]>();

  private view: decisions.MemberView<links.Member> | undefined;

  private readonly clients: peerClients.PeerClients;

  private server: links.ControlServer | undefined;

  private timers: NodeJS.Timeout[] = [];

  private listedEntryNames: string[] = [];

  private reportedOddVms = JSON.stringify([]);

  private boundPort = 0;

  private groupRunner: GroupRunner | undefined;

  private constructor(private readonly options: MembershipTaskOptions) {
    this.clients = peerClients.PeerClients.create(options.credentials);
    options.metrics.gauge('peers', {}, () => this.listPeers().length);
  }

  static create(options: MembershipTaskOptions): MembershipTask {
    return new MembershipTask(options);
  }

  /** Sets the executor of groups, which is created after this task. */
  setGroupRunner(groupRunner: GroupRunner): void {
    this.groupRunner = groupRunner;
  }

  /** The port that the control server listens on. */
  get controlPort(): number {
    return this.boundPort;
  }

  async start(): Promise<void> {
    const { self, controlPort, credentials, controlLimit } = this.options;
    this.server = links.ControlServer.create(credentials, controlLimit);
    this.server.addPeerService(this);
    this.boundPort = await this.server.listen(self.address, this.boundPort || controlPort);
    const own = {
      ...self,
      controlPort: this.boundPort,
      httpPort: this.options.readHttpPort(),
      state: links.MemberState.Alive,
    };
    this.view = decisions.MemberView.create<links.Member>(own, this.options.clock);
    await this.pollVms();
    this.timers = [
      setInterval(() => this.runGossipRound(), EXCHANGE_INTERVAL_MS),
      setInterval(() => this.pollVms(), VM_POLL_INTERVAL_MS),
    ];
  }

  async stop(): Promise<void> {
    this.timers.forEach((timer) => clearInterval(timer));
    this.clients.closeAll();
    this.server?.close();
  }

  /** Announces to the other entries that this one is leaving. */
  async leave(): Promise<void> {
    this.view?.setOwnState(links.MemberState.Leaving);
    await Promise.all(this.listPeers().map((peer) => this.exchangeWith(peer)));
  }

  /** This entry's own record; undefined before the start. */
  get self(): links.Member | undefined {
    return this.view?.self;
  }

  /** All other entries that are not known to be dead. */
  listPeers(): links.Member[] {
    return this.view?.listPeers() ?? [];
  }

  /** The entries that are alive, this one included. */
  listServing(): links.Member[] {
    const peers = this.listPeers().filter((peer) => peer.state === links.MemberState.Alive);
    return this.view ? [this.view.self, ...peers] : peers;
  }

  listServingNames(): string[] {
    return this.listServing().map((member) => member.name);
  }

  async run(order: links.GroupOrder): Promise<links.GroupResult> {
    const result = await this.groupRunner?.run(order);
    if (result?.isOk()) return result.value;
    throw new Error('the group failed');
  }

  runAt(
    entry: string,
    order: links.GroupOrder,
  ): Promise<neverthrow.Result<links.GroupResult, decisions.Failure>> {
    const peer = this.view?.get(entry);
    const noTarget = decisions.createFailure('no-target');
    if (!peer) return Promise.resolve(neverthrow.err(noTarget));
    return remoteGroups.runAtPeer(this.clients.open(peer), order, () => this.isLost(peer));
  }

  /** Whether an entry is dead or has been replaced by another incarnation. */
  private isLost(peer: links.Member): boolean {
    const known = this.view?.get(peer.name);
    return known?.incarnation !== peer.incarnation || known.state === links.MemberState.Dead;
  }

  listEntries(): string[] {
    const own = this.options.self.name;
    const isLeaving = (name: string): boolean =>
      this.view?.get(name)?.state === links.MemberState.Leaving;
    return [...new Set([own, ...this.listedEntryNames.filter((name) => !isLeaving(name))])];
  }

  countEntries(): number {
    return Math.max(1, this.listPeers().length + 1);
  }

  exchange(message: links.Exchange): links.Exchange {
    this.receiveExchange(message);
    return this.createExchange();
  }

  async probe(message: links.Probe): Promise<links.ProbeAnswer> {
    const peer = this.view?.get(message.about);
    return { isReachable: peer ? await this.exchangeWith(peer) : false };
  }

  pull(request: links.SnapshotRequest): links.Snapshot {
    return this.options.configuration.createSnapshot(request.revision);
  }

  push(snapshot: links.Snapshot): links.Acknowledgement {
    return { revision: this.options.configuration.receiveSnapshot(snapshot) };
  }

  async distribute(snapshot: links.Snapshot): Promise<{ held: string[]; missing: string[] }> {
    const peers = this.listPeers().slice(0, MAXIMUM_PUSH_PEERS);
    const held: string[] = [];
    const missing: string[] = [];
    await Promise.all(
      peers.map(async (peer) => {
        const isHeld = await this.pushTo(peer, snapshot);
        (isHeld ? held : missing).push(peer.name);
      }),
    );
    return { held, missing };
  }

  private async pushTo(peer: links.Member, snapshot: links.Snapshot): Promise<boolean> {
    const result = await this.clients.open(peer).push(snapshot, PUSH_TIMEOUT_MS);
    if (result.isErr()) return false;
    if (result.value.revision >= snapshot.revision) return true;
    const whole = this.options.configuration.createSnapshot(-1);
    const again = await this.clients.open(peer).push(whole, PUSH_TIMEOUT_MS);
    return again.isOk() && again.value.revision >= snapshot.revision;
  }

  async pullFrom(
    name: string,
    request: links.SnapshotRequest,
  ): Promise<links.Snapshot | undefined> {
    const peer = this.view?.get(name);
    if (!peer) return undefined;
    const result = await this.clients.open(peer).pull(request, PULL_TIMEOUT_MS);
    return result.isOk() ? result.value : undefined;
  }

  private runGossipRound(): void {
    const peers = this.listPeers();
    this.pickRandom(peers, EXCHANGE_PEERS_PER_ROUND).forEach((peer) => {
      this.checkPeer(peer).catch(() => {});
    });
    this.view?.expireSuspects().forEach((member) => {
      this.options.log.info('entry dead', { entry: member.name });
    });
  }

  private async checkPeer(peer: links.Member): Promise<void> {
    if (await this.exchangeWith(peer)) return;
    const others = this.listPeers().filter((other) => other.name !== peer.name);
    const probe = { from: this.options.self.name, about: peer.name };
    const answers = await Promise.all(
      this.pickRandom(others, PROBE_PEERS).map((other) =>
        this.clients.open(other).probe(probe, PROBE_TIMEOUT_MS),
      ),
    );
    if (answers.some((answer) => answer.isOk() && answer.value.isReachable)) return;
    this.view?.suspect(peer.name);
  }

  private async exchangeWith(peer: links.Member): Promise<boolean> {
    const client = this.clients.open(peer);
    const startMs = this.options.clock.nowMs();
    const result = await client.exchange(this.createExchange(), EXCHANGE_TIMEOUT_MS);
    this.options.metrics.count('exchanges', { ok: String(result.isOk()) });
    if (result.isErr()) return false;
    this.receiveExchange(result.value);
    const ageMs = this.options.clock.nowMs() - startMs;
    this.options.configuration.onPeerAnswer(peer.name, result.value, ageMs);
    return true;
  }

  private createExchange(): links.Exchange {
    const view = this.view as decisions.MemberView<links.Member>;
    const { configuration, gossipState } = this.options;
    return {
      from: view.self,
      members: view.takeUpdates(MAXIMUM_MEMBERS_PER_EXCHANGE),
      revision: configuration.current.revision,
      confirmedAgoMs: roundUp(configuration.getConfirmedAgeMs()),
      positions: gossipState.listPositions(),
      orders: gossipState.listOrders(),
    };
  }

  private receiveExchange(message: links.Exchange): void {
    const { configuration, gossipState } = this.options;
    [message.from, ...message.members].forEach((member) => {
      if (this.view?.merge(member)) this.logMemberChange(member);
    });
    this.view?.recordAnswer(message.from.name);
    configuration.onPeerRevision(message.from.name, message.revision);
    message.positions.forEach((position) => gossipState.updatePosition(position));
    message.orders.forEach((order) => gossipState.updateOrder(order));
  }

  private logMemberChange(member: links.Member): void {
    const { name, state, incarnation } = member;
    this.options.log.info('entry', { entry: name, state, incarnation });
  }

  private pickRandom(peers: readonly links.Member[], count: number): links.Member[] {
    const pool = [...peers];
    const picked: links.Member[] = [];
    while (picked.length < count && pool.length > 0) {
      const index = Math.floor(this.options.random.next() * pool.length);
      picked.push(...pool.splice(index, 1));
    }
    return picked;
  }

  private async pollVms(): Promise<void> {
    const result = await this.options.vms.read();
    if (result.isErr()) return;
    const { vms, oddEntries } = result.value;
    this.reportOddVms(oddEntries);
    const entries = vms.filter((vm) => vm.role === 'entry');
    this.listedEntryNames = entries.map((vm) => vm.name);
    entries.forEach((vm) => this.seedEntry(vm));
    this.vmListUpdates.publish(vms);
  }

  /** Logs the entries of the VM list that name no VM, unless they are those of the last read. */
  private reportOddVms(oddEntries: readonly unknown[]): void {
    const text = JSON.stringify(oddEntries).slice(0, MAXIMUM_LOGGED_LENGTH);
    if (text === this.reportedOddVms) return;
    this.reportedOddVms = text;
    if (oddEntries.length === 0) return;
    this.options.metrics.count('vms_ignored', {}, oddEntries.length);
    this.options.log.warn('VMs ignored', { count: oddEntries.length, entries: text });
  }

  /** Adds an entry from the VM list if it is unknown, or if it is dead and now has another port. */
  private seedEntry(vm: storage.Vm): void {
    const known = this.view?.get(vm.name);
    const hasOtherPort = known && known.controlPort !== vm.controlPort;
    if (known && !(known.state === links.MemberState.Dead && hasOtherPort)) return;
    const { name, address, httpPort, controlPort, failureDomain, region } = vm;
    this.view?.merge({
      name,
      address,
      httpPort,
      controlPort,
      failureDomain,
      region,
      incarnation: known ? known.incarnation + 1 : 0,
      state: links.MemberState.Alive,
    });
  }
}

function roundUp(durationMs: number | null): number | null {
  return durationMs === null ? null : Math.ceil(durationMs);
}
