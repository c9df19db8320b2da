/**
 * The configuration at the table service: a row for each file, a head row with the revision, and
 * two rows for each accepted change, under its id and under its revision. A change is one
 * transaction.
 */
import * as decisions from '@azureworks/decisions';
import * as neverthrow from 'neverthrow';
import * as storage from '@azureworks/storage';

/** The head row: the current revision and the change that created it. */
export interface Head {
  readonly revision: number;
  readonly changeId: string;
}

/** An accepted change, as shown in the history. */
export interface AcceptedChange {
  readonly id: string;
  readonly revision: number;
  readonly author: string;
  /** Wall-clock time at the accepting entry, in ISO 8601. */
  readonly acceptedAt: string;
  readonly files: readonly string[];
}

/** All stored files at one revision. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly headEtag: string | undefined;
  readonly records: decisions.FileRecords;
}

type FileRow = decisions.FileRecord | decisions.FileTombstone;

const TABLE = 'configuration';
const HISTORY_TABLE = 'changes';
const HEAD_KEY = 'head';
const FILE_PREFIX = 'file/';
const REVISION_KEY_DIGITS = 12;

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

  /** Reads all files at one revision; fails if a change is committed during the read. */
  readAll(): storage.StoreResult<StoredConfiguration> {
    return this.tables.list<Head | FileRow>(TABLE, '').andThen((rows) => {
      const head = rows.find((row) => row.key === HEAD_KEY);
      const records = new Map(
        rows
          .filter((row) => row.key.startsWith(FILE_PREFIX))
          .map((row) => [row.key.slice(FILE_PREFIX.length), row.value as FileRow]),
      );
      const revision = head?.value?.revision ?? 0;
      const highestFileRevision = Math.max(
        0,
        ...[...records.values()].map((record) => record.revision),
      );
      if (highestFileRevision > revision) return neverthrow.err(createTornReadFailure());
      return neverthrow.ok({ revision, headEtag: head?.etag, records });
    });
  }

  /** Looks up an accepted change by its id. */
  findChange(id: string): storage.StoreResult<AcceptedChange | undefined> {
    return this.tables.read<AcceptedChange>(HISTORY_TABLE, `id/${id}`).map((row) => row?.value);
  }

  /** The accepted changes, oldest first. */
  readHistory(): storage.StoreResult<AcceptedChange[]> {
    return this.tables
      .list<AcceptedChange>(HISTORY_TABLE, 'revision/')
      .map((rows) => rows.map((row) => row.value));
  }

  /** Writes a change as the next revision, on condition that `stored` is still current. */
  write(
    change: decisions.Change,
    author: string,
    stored: StoredConfiguration,
  ): storage.StoreResult<number> {
    const revision = stored.revision + 1;
    const files = decisions.listChangedFiles(change);
    const acceptedAt = new Date().toISOString();
    const accepted: AcceptedChange = { id: change.id, revision, author, acceptedAt, files };
    const head: Head = { revision, changeId: change.id };
    const { Absent, Any } = storage.Condition;
    const revisionKey = `revision/${String(revision).padStart(REVISION_KEY_DIGITS, '0')}`;
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
    message: 'a change was committed while the rows were being read',
  };
}
