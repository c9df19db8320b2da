/**
 * Links from an entry to target daemons. Which targets to link to follows from the VM list; what a
 * target says on its link goes into the directory; the configuration and weight orders go out.
 */
import * as decisions from '@azureworks/decisions';
import * as links from '@azureworks/links';
import * as storage from '@azureworks/storage';
import * as runtime from '@azureworks/runtime';
import type * as configurationTask from './configuration-task';
import type * as directories from './directory';
import type * as knowledge from './knowledge';
import type * as membershipTask from './membership-task';
import * as orderSenders from './order-sender';

/** What the links task needs. */
export interface LinksTaskOptions {
  readonly self: decisions.Placed;
  readonly incarnation: number;
  readonly credentials: links.CredentialSource;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly membership: membershipTask.MembershipTask;
  readonly directory: directories.Directory;
  readonly knowledge: knowledge.Knowledge;
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
  readonly machine: runtime.Machine<LinkState, LinkEvent>;
  client?: links.LinkClient;
  hello?: links.TargetHello;
  /** The `sentMs` of the last load report; undefined before the first. */
  heardMs?: number;
  /** The slice that the target was sent last, as text. */
  sentSlice: string;
  retryMs: number;
  timer?: NodeJS.Timeout;
}

const CONFIRM_INTERVAL_MS = 1000;
const HEARTBEAT_MS = 500;
const ORDER_INTERVAL_MS = 100;
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 1000;

/** Owns the links of one entry. */
export class LinksTask implements runtime.Task {
  readonly name = 'links';

  private readonly openLinks = new Map<string, Link>();

  private readonly orderSender: orderSenders.OrderSender;

  private orderTimer: NodeJS.Timeout | undefined;

  private readonly wanted = new Map<string, storage.Vm>();

  /** The VM list read last, as text. */
  private knownVms = '';

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private constructor(private readonly options: LinksTaskOptions) {
    const { membership, configuration, knowledge: shared } = options;
    membership.vmLists.subscribe((vms) => this.takeVms(vms));
    configuration.changes.subscribe(() => this.sendRevisions());
    shared.newOrders.subscribe(() => this.advanceOrders());
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
    this.timer = setInterval(() => this.sendRevisions(), CONFIRM_INTERVAL_MS);
    this.orderTimer = setInterval(() => this.advanceOrders(), ORDER_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.timer);
    clearInterval(this.orderTimer);
    [...this.openLinks.values()].forEach((link) => this.drop(link));
  }

  private countOpen(): number {
    return [...this.openLinks.values()].filter((link) => link.machine.isIn('open')).length;
  }

  private takeVms(vms: readonly storage.Vm[]): void {
    if (this.isStopped) return;
    const text = JSON.stringify(vms);
    if (text !== this.knownVms) this.chooseWanted(vms);
    this.knownVms = text;
    this.connectWanted();
  }

  /** Chooses the targets to link to; done only when the list has changed. */
  private chooseWanted(vms: readonly storage.Vm[]): void {
    const entries = vms.filter((vm) => vm.role === 'entry');
    const targets = vms.filter((vm) => vm.role === 'target');
    const byService = new Map<string, storage.Vm[]>();
    targets.forEach((vm) => {
      const service = vm.service ?? '';
      byService.set(service, [...(byService.get(service) ?? []), vm]);
    });
    this.wanted.clear();
    byService.forEach((group) => {
      decisions.chooseSubset(this.options.self, entries, group).forEach((vm) => {
        this.wanted.set(createKey(vm), vm);
      });
    });
  }

  private connectWanted(): void {
    // A VM that the list no longer shows keeps its link while it answers: the list lags.
    [...this.openLinks].forEach(([key, link]) => {
      if (!this.wanted.has(key) && !link.machine.isIn('open')) this.drop(link);
    });
    this.wanted.forEach((vm, key) => {
      if (!this.openLinks.has(key)) this.connect(this.createLink(key, vm));
    });
  }

  private createLink(key: string, vm: storage.Vm): Link {
    const log = (state: LinkState, previous: LinkState): void => {
      if (previous === 'open' || state === 'open') {
        this.options.log.change('link', { target: vm.name, state, previous });
      }
    };
    const machine = runtime.Machine.create<LinkState, LinkEvent>('closed', LINK_TRANSITIONS, log);
    const link: Link = { vm, machine, sentSlice: '', retryMs: FIRST_RETRY_MS };
    this.openLinks.set(key, link);
    return link;
  }

  private connect(link: Link): void {
    if (this.isStopped || this.openLinks.get(createKey(link.vm)) !== link) return;
    link.machine.send('connect');
    link.sentSlice = '';
    const { address, controlPort } = link.vm;
    link.client = links.LinkClient.create(`${address}:${controlPort}`, this.options.credentials, {
      receive: (message) => this.receive(link, message),
      close: () => this.noteClosed(link),
    });
    link.client.send({
      kind: links.LinkMessageKind.EntryHello,
      entry: this.options.self.name,
      incarnation: this.options.incarnation,
      heartbeatMs: HEARTBEAT_MS,
    });
  }

  private drop(link: Link): void {
    clearTimeout(link.timer);
    this.openLinks.delete(createKey(link.vm));
    link.client?.close();
  }

  private noteClosed(link: Link): void {
    link.machine.send('close');
    const { hello } = link;
    if (hello) this.options.directory.remove(hello.service, hello.name, hello.incarnation);
    delete link.hello;
    delete link.heardMs;
    if (this.isStopped) return;
    link.timer = setTimeout(() => this.connect(link), link.retryMs);
    link.retryMs = Math.min(LONGEST_RETRY_MS, link.retryMs * 2);
  }

  private receive(link: Link, message: links.TargetMessage): void {
    const { directory, metrics: sharedMetrics } = this.options;
    sharedMetrics.count('link_messages', { kind: message.kind });
    if (message.kind === links.LinkMessageKind.TargetHello) {
      this.open(link, message);
      return;
    }
    const { hello } = link;
    if (!hello) return;
    if (message.kind === links.LinkMessageKind.Load) {
      directory.noteLoad(hello.service, hello.name, message.load);
      const isFirst = link.heardMs === undefined;
      link.heardMs = message.load.sentMs;
      if (isFirst) this.sendRevision(link);
      return;
    }
    directory.noteLeaving(hello.service, hello.name);
    this.options.log.change('target leaving', { target: hello.name });
  }

  private open(link: Link, hello: links.TargetHello): void {
    link.hello = hello;
    link.retryMs = FIRST_RETRY_MS;
    link.machine.send('hello');
    this.options.directory.add(hello);
  }

  private sendRevisions(): void {
    this.openLinks.forEach((link) => {
      if (link.hello) this.sendRevision(link);
    });
  }

  /** Sends the revision, and the target's part of the configuration when it changed. */
  private sendRevision(link: Link): void {
    const { configuration } = this.options;
    const slice = this.createSlice(link);
    if (!slice || link.heardMs === undefined) return;
    const text = JSON.stringify(slice) + configuration.current.revision;
    const confirmedAgoMs = configuration.getConfirmedAgeMs();
    link.client?.send({
      kind: links.LinkMessageKind.Revision,
      revision: configuration.current.revision,
      confirmedAgoMs: confirmedAgoMs === null ? null : Math.ceil(confirmedAgoMs),
      echoMs: link.heardMs,
      ...(text !== link.sentSlice && { slice }),
    });
    // An unconfirmed revision is not taken, so its slice must be sent again.
    if (confirmedAgoMs !== null) link.sentSlice = text;
  }

  private createSlice(link: Link): links.Slice | undefined {
    const { configuration } = this.options.configuration.current;
    const service = link.hello?.service ?? '';
    const engine = configuration.engines.get(service);
    if (engine) return { capacity: engine.capacity, fencing: engine.fencing };
    const plain = configuration.services.get(service);
    return plain && { capacity: plain.capacity, fencing: 'ignored' };
  }

  private advanceOrders(): void {
    const { engines } = this.options.configuration.current.configuration;
    this.options.knowledge
      .listOrders()
      .forEach((order) => this.orderSender.advance(order, engines.get(order.engine)));
  }

  private sendOrder(target: string, order: links.WeightsOrder): void {
    this.openLinks.forEach((link) => {
      if (link.hello?.name !== target) return;
      link.client?.send({ kind: links.LinkMessageKind.Weights, order });
    });
  }
}

function createKey(vm: storage.Vm): string {
  return `${vm.name}@${vm.address}:${vm.controlPort}`;
}
