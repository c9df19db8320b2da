/**
 * Links from an entry to target daemons. The VM list determines which targets are linked. Messages
 * from targets update the directory; the configuration and weight orders are sent to them.
 */
import * as decisions from '@azureworks/decisions';
import * as links from '@azureworks/links';
import * as storage from '@azureworks/storage';
import * as runtime from '@azureworks/runtime';
import type * as configurationTask from './configuration-task';
import type * as directories from './target-directory';
import type * as gossipStates from './gossip-state';
import type * as membershipTask from './membership-task';
import * as orderSenders from './order-sender';

/** Options of the links task. */
export interface LinksTaskOptions {
  readonly self: decisions.LocatedNode;
  readonly incarnation: number;
  readonly credentials: links.CredentialSource;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly membership: membershipTask.MembershipTask;
  readonly directory: directories.TargetDirectory;
  readonly gossipState: gossipStates.GossipState;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
}

const LINK_TRANSITIONS = {
  connecting: { hello: 'open', close: 'closed' },
  open: { close: 'closed' },
  closed: { connect: 'connecting' },
} as const;
type LinkState = keyof typeof LINK_TRANSITIONS;
type LinkEvent = 'hello' | 'close' | 'connect';

interface Link {
  readonly vm: storage.Vm;
  readonly machine: runtime.StateMachine<LinkState, LinkEvent>;
  client?: links.LinkClient;
  hello?: links.TargetHello;
  /**
   * The `sentMs` of the last load report, echoed with each revision; undefined before the first.
   */
  lastLoadSentMs?: number;
  /** The slice and revision that were sent last, as text. */
  lastSliceText: string;
  backoffMs: number;
  timer?: NodeJS.Timeout;
}

const REVISION_INTERVAL_MS = 1000;
const HEARTBEAT_INTERVAL_MS = 500;
const ORDER_CHECK_INTERVAL_MS = 100;
const INITIAL_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 1000;

/** Owns the links of one entry. */
export class LinksTask implements runtime.Task {
  readonly name = 'links';

  private readonly linksByKey = new Map<string, Link>();

  private readonly orderSender: orderSenders.OrderSender;

  private orderTimer: NodeJS.Timeout | undefined;

  private readonly selectedVms = new Map<string, storage.Vm>();

  /** The most recent VM list, as text. */
  private lastVmListText = '';

  private revisionTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private constructor(private readonly options: LinksTaskOptions) {
    const { membership, configuration, gossipState: gossip } = options;
    membership.vmListUpdates.subscribe((vms) => this.updateVms(vms));
    configuration.changes.subscribe(() => this.sendRevisions());
    gossip.orderUpdates.subscribe(() => this.sendDueOrders());
    this.orderSender = orderSenders.OrderSender.create(
      options.directory,
      options.clock,
      (target, order) => this.sendOrder(target, order),
    );
    options.metrics.gauge('links', {}, () => this.countOpen());
  }

  static create(options: LinksTaskOptions): LinksTask {
    return new LinksTask(options);
  }

  async start(): Promise<void> {
    this.isStopped = false;
    this.revisionTimer = setInterval(() => this.sendRevisions(), REVISION_INTERVAL_MS);
    this.orderTimer = setInterval(() => this.sendDueOrders(), ORDER_CHECK_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.revisionTimer);
    clearInterval(this.orderTimer);
    [...this.linksByKey.values()].forEach((link) => this.removeLink(link));
  }

  private countOpen(): number {
    return [...this.linksByKey.values()].filter((link) => link.machine.isIn('open')).length;
  }

  private updateVms(vms: readonly storage.Vm[]): void {
    if (this.isStopped) return;
    const text = JSON.stringify(vms);
    if (text !== this.lastVmListText) this.selectTargets(vms);
    this.lastVmListText = text;
    this.reconcileLinks();
  }

  /** Selects the targets to link to. Runs only when the VM list has changed. */
  private selectTargets(vms: readonly storage.Vm[]): void {
    const entries = vms.filter((vm) => vm.role === 'entry');
    const targets = vms.filter((vm) => vm.role === 'target');
    const byService = new Map<string, storage.Vm[]>();
    targets.forEach((vm) => {
      const service = vm.service ?? '';
      byService.set(service, [...(byService.get(service) ?? []), vm]);
    });
    this.selectedVms.clear();
    byService.forEach((group) => {
      decisions.chooseSubset(this.options.self, entries, group).forEach((vm) => {
        this.selectedVms.set(createKey(vm), vm);
      });
    });
  }

  private reconcileLinks(): void {
    // The VM list lags, so a VM that is missing from it keeps its link while the link is open.
    [...this.linksByKey].forEach(([key, link]) => {
      if (!this.selectedVms.has(key) && !link.machine.isIn('open')) this.removeLink(link);
    });
    this.selectedVms.forEach((vm, key) => {
      if (!this.linksByKey.has(key)) this.connect(this.createLink(key, vm));
    });
  }

  private createLink(key: string, vm: storage.Vm): Link {
    const log = (state: LinkState, previous: LinkState): void => {
      if (previous === 'open' || state === 'open') {
        this.options.log.info('link', { target: vm.name, state, previous });
      }
    };
    const machine = runtime.StateMachine.create<LinkState, LinkEvent>(
      'closed',
      LINK_TRANSITIONS,
      log,
    );
    const link: Link = { vm, machine, lastSliceText: '', backoffMs: INITIAL_BACKOFF_MS };
    this.linksByKey.set(key, link);
    return link;
  }

  private connect(link: Link): void {
    if (this.isStopped || this.linksByKey.get(createKey(link.vm)) !== link) return;
    link.machine.send('connect');
    link.lastSliceText = '';
    const { address, controlPort } = link.vm;
    link.client = links.LinkClient.create(`${address}:${controlPort}`, this.options.credentials, {
      receive: (message) => this.receive(link, message),
      close: () => this.onClose(link),
    });
    link.client.send({
      kind: links.LinkMessageKind.EntryHello,
      entry: this.options.self.name,
      incarnation: this.options.incarnation,
      heartbeatMs: HEARTBEAT_INTERVAL_MS,
    });
  }

  private removeLink(link: Link): void {
    clearTimeout(link.timer);
    this.linksByKey.delete(createKey(link.vm));
    link.client?.close();
  }

  private onClose(link: Link): void {
    link.machine.send('close');
    const { hello } = link;
    if (hello) this.options.directory.remove(hello.service, hello.name, hello.incarnation);
    delete link.hello;
    delete link.lastLoadSentMs;
    if (this.isStopped) return;
    link.timer = setTimeout(() => this.connect(link), link.backoffMs);
    link.backoffMs = Math.min(MAXIMUM_BACKOFF_MS, link.backoffMs * 2);
  }

  private receive(link: Link, message: links.TargetMessage): void {
    const { directory, metrics: sharedMetrics } = this.options;
    sharedMetrics.count('link_messages', { kind: message.kind });
    if (message.kind === links.LinkMessageKind.TargetHello) {
      this.onHello(link, message);
      return;
    }
    const { hello } = link;
    if (!hello) return;
    if (message.kind === links.LinkMessageKind.Load) {
      directory.updateLoad(hello.service, hello.name, message.load);
      const isFirst = link.lastLoadSentMs === undefined;
      link.lastLoadSentMs = message.load.sentMs;
      if (isFirst) this.sendRevision(link);
      return;
    }
    directory.markLeaving(hello.service, hello.name);
    this.options.log.info('target leaving', { target: hello.name });
  }

  private onHello(link: Link, hello: links.TargetHello): void {
    link.hello = hello;
    link.backoffMs = INITIAL_BACKOFF_MS;
    link.machine.send('hello');
    this.options.directory.add(hello);
  }

  private sendRevisions(): void {
    this.linksByKey.forEach((link) => {
      if (link.hello) this.sendRevision(link);
    });
  }

  /** Sends the revision and, when it changed, the target's slice of the configuration. */
  private sendRevision(link: Link): void {
    const { configuration } = this.options;
    const slice = this.createSlice(link);
    if (!slice || link.lastLoadSentMs === undefined) return;
    const text = JSON.stringify(slice) + configuration.current.revision;
    const confirmedAgoMs = configuration.getConfirmedAgeMs();
    link.client?.send({
      kind: links.LinkMessageKind.Revision,
      revision: configuration.current.revision,
      confirmedAgoMs: confirmedAgoMs === null ? null : Math.ceil(confirmedAgoMs),
      echoMs: link.lastLoadSentMs,
      ...(text !== link.lastSliceText && { slice }),
    });
    // Targets don't apply an unconfirmed revision, so its slice is sent again.
    if (confirmedAgoMs !== null) link.lastSliceText = text;
  }

  private createSlice(link: Link): links.TargetConfiguration | undefined {
    const { configuration } = this.options.configuration.current;
    const service = link.hello?.service ?? '';
    const engine = configuration.engines.get(service);
    if (engine) return { capacity: engine.capacity, fencing: engine.fencing };
    const plainService = configuration.services.get(service);
    return plainService && { capacity: plainService.capacity, fencing: 'ignored' };
  }

  private sendDueOrders(): void {
    const { engines } = this.options.configuration.current.configuration;
    this.options.gossipState
      .listOrders()
      .forEach((order) => this.orderSender.sendDue(order, engines.get(order.engine)));
  }

  private sendOrder(target: string, order: links.WeightsOrder): void {
    this.linksByKey.forEach((link) => {
      if (link.hello?.name !== target) return;
      link.client?.send({ kind: links.LinkMessageKind.Weights, order });
    });
  }
}

function createKey(vm: storage.Vm): string {
  return `${vm.name}@${vm.address}:${vm.controlPort}`;
}
