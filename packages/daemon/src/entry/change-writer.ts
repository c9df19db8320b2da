/**
 * Writes a configuration change to the table service at most once. If the answer to a write is
 * lost, looking up the change by its id shows whether it was written. If another change to other
 * files was committed first, the write is retried on top of that change.
 */
import * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as runtime from '@azureworks/runtime';
import type * as stores from './configuration-store';

/** A change that is stored at the table service. */
export interface WrittenChange {
  readonly revision: number;
  /** False when an earlier attempt had already written the change. */
  readonly isNew: boolean;
  /** The stored configuration: before the write of a new change, else as read after it. */
  readonly stored: stores.StoredConfiguration;
}

/** Why a change was not accepted. */
export interface Rejection {
  readonly failure: decisions.Failure;
  readonly conflict?: decisions.ChangeConflict;
  readonly errors?: readonly configuration.SettingError[];
}

const WRITE_TIMEOUT_MS = 10_000;
const RETRY_BACKOFF_MS = 50;

/** The outcome of one attempt; undefined when it has to be retried. */
type WriteAttemptOutcome = neverthrow.Result<WrittenChange, Rejection> | undefined;

/** Writes changes. */
export class ChangeWriter {
  private constructor(
    private readonly store: stores.ConfigurationStore,
    private readonly clock: decisions.Clock,
  ) {}

  static create(store: stores.ConfigurationStore, clock: decisions.Clock): ChangeWriter {
    return new ChangeWriter(store, clock);
  }

  /** Writes a change; returns the reason when it is rejected. */
  async write(
    change: decisions.Change,
    author: string,
  ): Promise<neverthrow.Result<WrittenChange, Rejection>> {
    const deadlineMs = this.clock.nowMs() + WRITE_TIMEOUT_MS;
    const verdicts: decisions.VerdictKind[] = [];
    while (this.clock.nowMs() < deadlineMs) {
      const outcome = await this.tryWrite(change, author, verdicts);
      if (outcome) return outcome;
      await runtime.pause(RETRY_BACKOFF_MS);
    }
    const verdict = decisions.combineVerdicts(verdicts);
    const detail = { verdict, detail: `change ${change.id}` };
    return neverthrow.err({ failure: decisions.createFailure('store-unavailable', detail) });
  }

  private async tryWrite(
    change: decisions.Change,
    author: string,
    verdicts: decisions.VerdictKind[],
  ): Promise<WriteAttemptOutcome> {
    const existing = await this.store.findChange(change.id);
    if (existing.isErr()) return undefined;
    const current = await this.store.readAll();
    if (current.isErr()) return undefined;
    const stored = current.value;
    if (existing.value) {
      return neverthrow.ok({ revision: existing.value.revision, isNew: false, stored });
    }
    const rejection = findRejection(change, stored);
    if (rejection) return neverthrow.err(rejection);
    const written = await this.store.write(change, author, stored);
    if (written.isOk()) return neverthrow.ok({ revision: written.value, isNew: true, stored });
    verdicts.push(written.error.verdict);
    return undefined;
  }
}

function findRejection(
  change: decisions.Change,
  stored: stores.StoredConfiguration,
): Rejection | undefined {
  const conflict = decisions.findConflict(change, stored.records);
  if (conflict) {
    const detail = `${conflict.file} was changed by ${conflict.winner}`;
    return { failure: decisions.createFailure('conflict', { detail }), conflict };
  }
  const files = decisions.applyChange(decisions.listFiles(stored.records), change);
  const parsed = configuration.parseConfiguration(files);
  if (parsed.isOk()) return undefined;
  return { failure: decisions.createFailure('invalid-configuration'), errors: parsed.error };
}
