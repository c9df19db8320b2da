/**
 * The configuration of an entry: which revision is in force, whether it is confirmed, and how a
 * change is accepted.
 *
 * A change is accepted when its transaction succeeded at the table service and every entry within
 * reach holds it; only then is the operator told. The revision in force never falls.
 */
import * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import type * as runtime from '@azureworks/runtime';
import * as topics from '../core/topic';
import * as changeWriters from './change-writer';
import type * as stores from './configuration-store';

/** The configuration in force. */
export interface ConfigurationInForce {
  readonly revision: number;
  readonly files: Readonly<Record<string, string>>;
  readonly configuration: configuration.Configuration;
}

/** An accepted change, as the operator is told. */
export interface Acceptance {
  readonly changeId: string;
  readonly revision: number;
  /** Entries that hold the change, this one included. */
  readonly heldBy: readonly string[];
  /** Entries that could not be told yet; they refuse new work until they know. */
  readonly missing: readonly string[];
}

/** What the configuration task needs from the membership task. */
export interface Spreader {
  /** Sends a snapshot to every entry within reach; resolves to the names that hold it and not. */
  spread(snapshot: links.Snapshot): Promise<{ held: string[]; missing: string[] }>;
  /** Asks a peer for everything since a revision. */
  pullFrom(peer: string, request: links.SnapshotRequest): Promise<links.Snapshot | undefined>;
  /** The names of all known entries, this one included. */
  listEntries(): string[];
  /** Entries that share the reads at the store. */
  countEntries(): number;
}

/** What the configuration task needs. */
export interface ConfigurationTaskOptions {
  readonly name: string;
  readonly store: stores.ConfigurationStore;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  readonly random: decisions.Random;
}

const CONFIRMATION_BOUND_MS = 4000;
const SHORTEST_POLL_MS = 500;
const READS_PER_SECOND = 200;
const MILLISECONDS_PER_SECOND = 1000;
const REMEMBERED_CHANGES = 200;

/** Keeps the configuration of one entry. */
export class ConfigurationTask implements runtime.Task {
  readonly name = 'configuration';

  /** Published whenever a higher revision comes into force. */
  readonly changes = topics.Topic.create<ConfigurationInForce>();

  private inForce: ConfigurationInForce = {
    revision: 0,
    files: {},
    configuration: configuration.createEmptyConfiguration(),
  };

  private readonly recent: links.Snapshot[] = [];

  private readonly confirmation: decisions.Confirmation;

  private readonly writer: changeWriters.ChangeWriter;

  private spreader: Spreader | undefined;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private constructor(private readonly options: ConfigurationTaskOptions) {
    this.confirmation = decisions.Confirmation.create(options.clock, CONFIRMATION_BOUND_MS);
    this.writer = changeWriters.ChangeWriter.create(options.store, options.clock);
    options.metrics.gauge('revision', {}, () => this.inForce.revision);
    options.metrics.gauge('revision_confirmed', {}, () => (this.isConfirmed() ? 1 : 0));
  }

  static create(options: ConfigurationTaskOptions): ConfigurationTask {
    return new ConfigurationTask(options);
  }

  /** The configuration in force. */
  get current(): ConfigurationInForce {
    return this.inForce;
  }

  /** Connects the task to the membership task, which is created later. */
  setSpreader(spreader: Spreader): void {
    this.spreader = spreader;
  }

  async start(): Promise<void> {
    this.isStopped = false;
    await this.poll();
    this.schedulePoll();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Age of the confirmation in milliseconds; null when new work must be refused. */
  getConfirmedAgeMs(): number | null {
    const entries = this.spreader?.listEntries() ?? [this.options.name];
    return this.confirmation.getAgeMs(entries, this.options.name);
  }

  /** Whether the revision in force was confirmed recently enough to take new work. */
  isConfirmed(): boolean {
    return this.getConfirmedAgeMs() !== null;
  }

  /** Takes what a peer says about its revision. */
  noteRevision(peer: string, revision: number): void {
    if (revision > this.inForce.revision) this.catchUp(peer).catch(() => {});
  }

  /**
   * Takes a peer's answer as a confirmation.
   * @param ageMs milliseconds since the peer was asked: an answer may have waited while this
   *   process was frozen
   */
  noteAnswer(
    peer: string,
    { revision, confirmedAgoMs }: Pick<links.Exchange, 'revision' | 'confirmedAgoMs'>,
    ageMs: number,
  ): void {
    if (revision > this.inForce.revision) return;
    this.confirmation.noteContact(peer, ageMs);
    if (revision === this.inForce.revision && confirmedAgoMs !== null) {
      this.confirmation.confirm(confirmedAgoMs + ageMs);
    }
  }

  /** Takes a snapshot that a peer pushed; returns the revision in force afterwards. */
  takeSnapshot(snapshot: links.Snapshot): number {
    const base = snapshot.baseRevision;
    const isNext = base === null || base === this.inForce.revision;
    if (snapshot.revision > this.inForce.revision && isNext) {
      const files = base === null ? snapshot.put : this.applySnapshot(snapshot);
      this.adopt(snapshot.revision, files, snapshot);
    }
    if (snapshot.revision > this.inForce.revision) this.catchUp(snapshot.from).catch(() => {});
    return this.inForce.revision;
  }

  /** The changes since a revision when they are remembered, else every file. */
  createSnapshot(sinceRevision: number): links.Snapshot {
    const { revision, files } = this.inForce;
    const from = this.options.name;
    const next = this.recent.find((snapshot) => snapshot.baseRevision === sinceRevision);
    if (next && next.revision === revision) return { ...next, from };
    return { from, revision, baseRevision: null, put: { ...files }, remove: [] };
  }

  /** Accepts a change or says why not. */
  async accept(
    change: decisions.Change,
    author: string,
  ): Promise<neverthrow.Result<Acceptance, changeWriters.Rejection>> {
    const written = await this.writer.write(change, author);
    if (written.isErr()) return neverthrow.err(written.error);
    const { revision } = written.value;
    const snapshot = this.adoptWritten(change, written.value);
    const spread = (await this.spreader?.spread(snapshot)) ?? { held: [], missing: [] };
    const heldBy = [this.options.name, ...spread.held];
    this.options.log.change('change accepted', { change: change.id, revision });
    return neverthrow.ok({ changeId: change.id, revision, heldBy, missing: spread.missing });
  }

  private adoptWritten(
    change: decisions.Change,
    written: changeWriters.WrittenChange,
  ): links.Snapshot {
    const { stored, revision, isNew } = written;
    return isNew ? this.adoptChange(change, stored, revision) : this.adoptStored(stored);
  }

  private adoptChange(
    change: decisions.Change,
    stored: stores.StoredConfiguration,
    revision: number,
  ): links.Snapshot {
    const files = decisions.applyChange(decisions.listFiles(stored.records), change);
    const snapshot: links.Snapshot = {
      from: this.options.name,
      revision,
      baseRevision: stored.revision,
      put: { ...change.put },
      remove: [...change.remove],
    };
    this.adopt(revision, files, snapshot);
    this.confirmation.confirm(0);
    return snapshot;
  }

  private adoptStored(stored: stores.StoredConfiguration): links.Snapshot {
    this.adopt(stored.revision, decisions.listFiles(stored.records));
    this.confirmation.confirm(0);
    return this.createSnapshot(-1);
  }

  private adopt(
    revision: number,
    files: Readonly<Record<string, string>>,
    snapshot?: links.Snapshot,
  ): void {
    if (revision <= this.inForce.revision) return;
    const parsed = configuration.parseConfiguration(files);
    if (parsed.isErr()) {
      // Every accepted change was checked; a file that fails here was written by a newer version.
      this.options.metrics.count('configuration_unreadable');
      return;
    }
    const previous = this.inForce.revision;
    this.inForce = { revision, files, configuration: parsed.value };
    if (snapshot) this.remember(snapshot);
    this.confirmation.reset();
    this.options.log.change('revision', { revision, previous });
    this.changes.publish(this.inForce);
  }

  private remember(snapshot: links.Snapshot): void {
    this.recent.push(snapshot);
    if (this.recent.length > REMEMBERED_CHANGES) this.recent.shift();
  }

  private applySnapshot(snapshot: links.Snapshot): Record<string, string> {
    const { put, remove, revision } = snapshot;
    const change = { id: '', baseRevision: revision, put, remove };
    return decisions.applyChange(this.inForce.files, change);
  }

  private async catchUp(peer: string): Promise<void> {
    const request = { from: this.options.name, revision: this.inForce.revision };
    const snapshot = await this.spreader?.pullFrom(peer, request);
    if (snapshot && snapshot.revision > this.inForce.revision) this.takeSnapshot(snapshot);
  }

  private schedulePoll(): void {
    if (this.isStopped) return;
    const entries = this.spreader?.countEntries() ?? 1;
    const sharedMs = (entries * MILLISECONDS_PER_SECOND) / READS_PER_SECOND;
    const intervalMs = Math.max(SHORTEST_POLL_MS, sharedMs);
    const jitteredMs = intervalMs * (0.75 + 0.5 * this.options.random.next());
    this.timer = setTimeout(() => {
      this.poll().finally(() => this.schedulePoll());
    }, jitteredMs);
  }

  private async poll(): Promise<void> {
    const { store, metrics: sharedMetrics, clock } = this.options;
    const askedMs = clock.nowMs();
    const head = await store.readHead();
    sharedMetrics.count('store_polls', { ok: String(head.isOk()) });
    if (head.isErr()) return;
    if (head.value.revision > this.inForce.revision) {
      const stored = await store.readAll();
      if (stored.isErr()) return;
      this.adopt(stored.value.revision, decisions.listFiles(stored.value.records));
    }
    if (head.value.revision !== this.inForce.revision) return;
    this.confirmation.confirm(clock.nowMs() - askedMs);
  }
}
