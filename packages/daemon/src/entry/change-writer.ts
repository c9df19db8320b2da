/**
 * Writes a configuration change to the table service, once. An answer that was lost after the write
 * is settled by reading the change's own id back; a change that lost a race against another file's
 * change is tried again on top of it.
 */
import * as configuration from '@azureworks/configuration';
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as runtime from '@azureworks/runtime';
import type * as stores from './configuration-store';

/** A change that the table service holds. */
export interface WrittenChange {
  readonly revision: number;
  /** Whether it was written just now; otherwise an earlier try had succeeded. */
  readonly isNew: boolean;
  /** What the table service held before a new change, or with an earlier one. */
  readonly stored: stores.StoredConfiguration;
}

/** Why a change was not accepted. */
export interface Rejection {
  readonly failure: decisions.Failure;
  readonly conflict?: decisions.ChangeConflict;
  readonly errors?: readonly configuration.SettingError[];
}

const DEADLINE_MS = 10_000;
const PAUSE_MS = 50;

/** What one try came to; undefined when another one is due. */
type TryOutcome = neverthrow.Result<WrittenChange, Rejection> | undefined;

/** Writes changes. */
export class ChangeWriter {
  private constructor(
    private readonly store: stores.ConfigurationStore,
    private readonly clock: decisions.Clock,
  ) {}

  static create(store: stores.ConfigurationStore, clock: decisions.Clock): ChangeWriter {
    return new ChangeWriter(store, clock);
  }

  /** Writes a change, or says why it is not accepted. */
  async write(
    change: decisions.Change,
    author: string,
  ): Promise<neverthrow.Result<WrittenChange, Rejection>> {
    const deadlineMs = this.clock.nowMs() + DEADLINE_MS;
    const verdicts: decisions.VerdictKind[] = [];
    while (this.clock.nowMs() < deadlineMs) {
      const outcome = await this.tryWrite(change, author, verdicts);
      if (outcome) return outcome;
      await runtime.pause(PAUSE_MS);
    }
    const verdict = decisions.combineVerdicts(verdicts);
    const detail = { verdict, detail: `change ${change.id}` };
    return neverthrow.err({ failure: decisions.createFailure('store-unavailable', detail) });
  }

  private async tryWrite(
    change: decisions.Change,
    author: string,
    verdicts: decisions.VerdictKind[],
  ): Promise<TryOutcome> {
    const known = await this.store.findChange(change.id);
    if (known.isErr()) return undefined;
    const read = await this.store.readAll();
    if (read.isErr()) return undefined;
    const stored = read.value;
    if (known.value) {
      return neverthrow.ok({ revision: known.value.revision, isNew: false, stored });
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
