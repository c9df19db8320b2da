/**
 * The configuration at the table service: one row for each file, one head row with the revision,
 * one row for each accepted change under the change's own id. A change is one transaction.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';

/** The head row. */
export interface Head {
  readonly revision: number;
  readonly changeId: string;
}

/** An accepted change, as the history shows it. */
export interface AcceptedChange {
  readonly id: string;
  readonly revision: number;
  readonly author: string;
  /** Wall-clock time at the accepting entry, in ISO 8601. */
  readonly acceptedAt: string;
  readonly files: readonly string[];
}

/** The whole configuration at one revision. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly headEtag: string | undefined;
  readonly records: decisions.FileRecords;
}

type FileRow = decisions.FileRecord | decisions.RemovedRecord;

const TABLE = 'configuration';
const HISTORY_TABLE = 'changes';
const HEAD_KEY = 'head';
const FILE_PREFIX = 'file/';
const REVISION_DIGITS = 12;

/** Reads and writes the configuration rows. */
export class ConfigurationStore {
  private constructor(private readonly tables: storage.TableService) {}

  static create(tables: storage.TableService): ConfigurationStore {
    return new ConfigurationStore(tables);
  }

  /** Reads the head row only; revision 0 before the first change. */
  readHead(): storage.StoreResult<Head> {
    return this.tables
      .read<Head>(TABLE, HEAD_KEY)
      .map((row) => row?.value ?? { revision: 0, changeId: '' });
  }

  /** Reads everything at one revision. */
  readAll(): storage.StoreResult<StoredConfiguration> {
    return this.tables.list<Head | FileRow>(TABLE, '').andThen((rows) => {
      const head = rows.find((row) => row.key === HEAD_KEY);
      const records = new Map(
        rows
          .filter((row) => row.key.startsWith(FILE_PREFIX))
          .map((row) => [row.key.slice(FILE_PREFIX.length), row.value as FileRow]),
      );
      const revision = head?.value?.revision ?? 0;
      const newest = Math.max(0, ...[...records.values()].map((record) => record.revision));
      if (newest > revision) return neverthrow.err(createTornReadFailure());
      return neverthrow.ok({ revision, headEtag: head?.etag, records });
    });
  }

  /** Looks an accepted change up by its own id. */
  findChange(id: string): storage.StoreResult<AcceptedChange | undefined> {
    return this.tables.read<AcceptedChange>(HISTORY_TABLE, `id/${id}`).map((row) => row?.value);
  }

  /** The accepted changes, oldest first. */
  readHistory(): storage.StoreResult<AcceptedChange[]> {
    return this.tables
      .list<AcceptedChange>(HISTORY_TABLE, 'revision/')
      .map((rows) => rows.map((row) => row.value));
  }

  /** Writes a change as the next revision, on the condition that nothing else was accepted. */
  write(
    change: decisions.Change,
    author: string,
    stored: StoredConfiguration,
  ): storage.StoreResult<number> {
    const revision = stored.revision + 1;
    const files = decisions.listTouched(change);
    const acceptedAt = new Date().toISOString();
    const accepted: AcceptedChange = { id: change.id, revision, author, acceptedAt, files };
    const head: Head = { revision, changeId: change.id };
    const { Absent, Any } = storage.Condition;
    const revisionKey = `revision/${String(revision).padStart(REVISION_DIGITS, '0')}`;
    const writes: storage.Write[] = [
      { table: TABLE, key: HEAD_KEY, condition: stored.headEtag ?? Absent, value: head },
      { table: HISTORY_TABLE, key: `id/${change.id}`, condition: Absent, value: accepted },
      { table: HISTORY_TABLE, key: revisionKey, condition: Absent, value: accepted },
      ...files.map((file) => ({
        table: TABLE,
        key: `${FILE_PREFIX}${file}`,
        condition: Any,
        value: { text: change.put[file] ?? null, revision, changeId: change.id },
      })),
    ];
    return this.tables.transact(writes).map(() => revision);
  }
}

function createTornReadFailure(): storage.StoreFailure {
  return {
    kind: storage.StoreFailureKind.Unavailable,
    verdict: decisions.VerdictKind.NotRun,
    message: 'the rows were read in the middle of a change',
  };
}
