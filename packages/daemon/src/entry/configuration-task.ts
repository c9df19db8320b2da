/**
 * The configuration of an entry: which revision is active, whether it is confirmed, and how a
 * change is accepted.
 *
 * The operator is told that a change is accepted only after its transaction succeeded at the table
 * service and every reachable entry has it. The active revision never decreases.
 */
import * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import type * as links from '@azureworks/links';
import * as neverthrow from 'neverthrow';
import type * as runtime from '@azureworks/runtime';
import * as topics from '../core/topic';
import * as changeWriters from './change-writer';
import type * as stores from './configuration-store';

/** The active configuration. */
export interface ActiveConfiguration {
  readonly revision: number;
  readonly files: Readonly<Record<string, string>>;
  readonly configuration: configuration.Configuration;
}

/** An accepted change, as reported to the operator. */
export interface Acceptance {
  readonly changeId: string;
  readonly revision: number;
  /** Entries that have the change, this one included. */
  readonly heldBy: readonly string[];
  /** Entries that did not acknowledge the change; they refuse new work until they have it. */
  readonly missing: readonly string[];
}

/** Access of the configuration task to the other entries. */
export interface ConfigurationPeers {
  /**
   * Pushes a snapshot to the other entries; resolves to those that have it and those that don't.
   */
  distribute(snapshot: links.Snapshot): Promise<{ held: string[]; missing: string[] }>;
  /** Fetches all changes since a revision from a peer. */
  pullFrom(peer: string, request: links.SnapshotRequest): Promise<links.Snapshot | undefined>;
  /** The names of all known entries, this one included. */
  listEntries(): string[];
  /** The number of entries that share the read rate at the store. */
  countEntries(): number;
}

/** Options of the configuration task. */
export interface ConfigurationTaskOptions {
  readonly name: string;
  readonly store: stores.ConfigurationStore;
  readonly metrics: runtime.Metrics;
  readonly log: runtime.Log;
  readonly clock: decisions.Clock;
  readonly random: decisions.Random;
}

const CONFIRMATION_VALIDITY_MS = 4000;
const MINIMUM_POLL_INTERVAL_MS = 500;
const MAXIMUM_READS_PER_SECOND = 200;
const MILLISECONDS_PER_SECOND = 1000;
const MAXIMUM_RECENT_SNAPSHOTS = 200;

/** Owns the configuration of one entry. */
export class ConfigurationTask implements runtime.Task {
  readonly name = 'configuration';

  /** Published whenever a higher revision becomes active. */
  readonly changes = topics.Topic.create<ActiveConfiguration>();

  private active: ActiveConfiguration = {
    revision: 0,
    files: {},
    configuration: configuration.createDefaultConfiguration(),
  };

  private readonly recentSnapshots: links.Snapshot[] = [];

  private readonly confirmation: decisions.RevisionConfirmation;

  private readonly writer: changeWriters.ChangeWriter;

  private peers: ConfigurationPeers | undefined;

  private timer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private constructor(private readonly options: ConfigurationTaskOptions) {
    this.confirmation = decisions.RevisionConfirmation.create(
      options.clock,
      CONFIRMATION_VALIDITY_MS,
    );
    this.writer = changeWriters.ChangeWriter.create(options.store, options.clock);
    options.metrics.gauge('revision', {}, () => this.active.revision);
    options.metrics.gauge('revision_confirmed', {}, () => (this.isConfirmed() ? 1 : 0));
  }

  static create(options: ConfigurationTaskOptions): ConfigurationTask {
    return new ConfigurationTask(options);
  }

  /** The active configuration. */
  get current(): ActiveConfiguration {
    return this.active;
  }

  /** Sets the access to the other entries, which is created after this task. */
  setPeers(peers: ConfigurationPeers): void {
    this.peers = peers;
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
    const entries = this.peers?.listEntries() ?? [this.options.name];
    return this.confirmation.getAgeMs(entries, this.options.name);
  }

  /** Whether the active revision was confirmed recently enough to accept new work. */
  isConfirmed(): boolean {
    return this.getConfirmedAgeMs() !== null;
  }

  /** Handles the revision that a peer reports; fetches a higher one. */
  onPeerRevision(peer: string, revision: number): void {
    if (revision > this.active.revision) this.catchUp(peer).catch(() => {});
  }

  /**
   * Handles the answer of a peer, which may confirm the active revision.
   * @param ageMs milliseconds since the request was sent; the answer may have waited while this
   *   process was suspended
   */
  onPeerAnswer(
    peer: string,
    { revision, confirmedAgoMs }: Pick<links.Exchange, 'revision' | 'confirmedAgoMs'>,
    ageMs: number,
  ): void {
    if (revision > this.active.revision) return;
    this.confirmation.recordContact(peer, ageMs);
    if (revision === this.active.revision && confirmedAgoMs !== null) {
      this.confirmation.confirm(confirmedAgoMs + ageMs);
    }
  }

  /** Handles a snapshot from a peer; returns the active revision afterwards. */
  receiveSnapshot(snapshot: links.Snapshot): number {
    const base = snapshot.baseRevision;
    const isNext = base === null || base === this.active.revision;
    if (snapshot.revision > this.active.revision && isNext) {
      const files = base === null ? snapshot.put : this.applySnapshot(snapshot);
      this.activate(snapshot.revision, files, snapshot);
    }
    if (snapshot.revision > this.active.revision) this.catchUp(snapshot.from).catch(() => {});
    return this.active.revision;
  }

  /** The changes since a revision if they are among the recent ones, else all files. */
  createSnapshot(sinceRevision: number): links.Snapshot {
    const { revision, files } = this.active;
    const from = this.options.name;
    const next = this.recentSnapshots.find((snapshot) => snapshot.baseRevision === sinceRevision);
    if (next && next.revision === revision) return { ...next, from };
    return { from, revision, baseRevision: null, put: { ...files }, remove: [] };
  }

  /** Accepts a change; returns the reason when it is rejected. */
  async accept(
    change: decisions.Change,
    author: string,
  ): Promise<neverthrow.Result<Acceptance, changeWriters.Rejection>> {
    const written = await this.writer.write(change, author);
    if (written.isErr()) return neverthrow.err(written.error);
    const { revision } = written.value;
    const snapshot = this.activateWritten(change, written.value);
    const distribution = (await this.peers?.distribute(snapshot)) ?? {
      held: [],
      missing: [],
    };
    const heldBy = [this.options.name, ...distribution.held];
    this.options.log.info('change accepted', { change: change.id, revision });
    return neverthrow.ok({ changeId: change.id, revision, heldBy, missing: distribution.missing });
  }

  private activateWritten(
    change: decisions.Change,
    written: changeWriters.WrittenChange,
  ): links.Snapshot {
    const { stored, revision, isNew } = written;
    return isNew ? this.activateChange(change, stored, revision) : this.activateStored(stored);
  }

  private activateChange(
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
    this.activate(revision, files, snapshot);
    this.confirmation.confirm(0);
    return snapshot;
  }

  private activateStored(stored: stores.StoredConfiguration): links.Snapshot {
    this.activate(stored.revision, decisions.listFiles(stored.records));
    this.confirmation.confirm(0);
    return this.createSnapshot(-1);
  }

  private activate(
    revision: number,
    files: Readonly<Record<string, string>>,
    snapshot?: links.Snapshot,
  ): void {
    if (revision <= this.active.revision) return;
    const parsed = configuration.parseConfiguration(files);
    if (parsed.isErr()) {
      // Accepted changes were validated, so a file that fails here was written by a newer version.
      this.options.metrics.count('configuration_unreadable');
      return;
    }
    const previous = this.active.revision;
    this.active = { revision, files, configuration: parsed.value };
    if (snapshot) this.rememberSnapshot(snapshot);
    this.confirmation.clearContacts();
    this.options.log.info('revision', { revision, previous });
    this.changes.publish(this.active);
  }

  private rememberSnapshot(snapshot: links.Snapshot): void {
    this.recentSnapshots.push(snapshot);
    if (this.recentSnapshots.length > MAXIMUM_RECENT_SNAPSHOTS) this.recentSnapshots.shift();
  }

  private applySnapshot(snapshot: links.Snapshot): Record<string, string> {
    const { put, remove, revision } = snapshot;
    const change = { id: '', baseRevision: revision, put, remove };
    return decisions.applyChange(this.active.files, change);
  }

  private async catchUp(peer: string): Promise<void> {
    const request = { from: this.options.name, revision: this.active.revision };
    const snapshot = await this.peers?.pullFrom(peer, request);
    if (snapshot && snapshot.revision > this.active.revision) this.receiveSnapshot(snapshot);
  }

  private schedulePoll(): void {
    if (this.isStopped) return;
    const entries = this.peers?.countEntries() ?? 1;
    const sharedIntervalMs = (entries * MILLISECONDS_PER_SECOND) / MAXIMUM_READS_PER_SECOND;
    const intervalMs = Math.max(MINIMUM_POLL_INTERVAL_MS, sharedIntervalMs);
    const jitteredMs = intervalMs * (0.75 + 0.5 * this.options.random.next());
    this.timer = setTimeout(() => {
      this.poll().finally(() => this.schedulePoll());
    }, jitteredMs);
  }

  private async poll(): Promise<void> {
    const { store, metrics: sharedMetrics, clock } = this.options;
    const startMs = clock.nowMs();
    const head = await store.readHead();
    sharedMetrics.count('store_polls', { ok: String(head.isOk()) });
    if (head.isErr()) return;
    if (head.value.revision > this.active.revision) {
      const stored = await store.readAll();
      if (stored.isErr()) return;
      this.activate(stored.value.revision, decisions.listFiles(stored.value.records));
    }
    if (head.value.revision !== this.active.revision) return;
    this.confirmation.confirm(clock.nowMs() - startMs);
  }
}
