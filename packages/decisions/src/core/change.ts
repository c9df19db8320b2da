/**
 * Optimistic concurrency control of configuration changes: decides whether a change conflicts with
 * changes that were accepted after its base revision. Changes to different files are compatible;
 * changes to the same file conflict.
 */

/** The stored row of a configuration file. */
export interface FileRecord {
  readonly text: string;
  /** The revision that last changed the file. */
  readonly revision: number;
  /** The id of the change with that revision. */
  readonly changeId: string;
}

/** A configuration change: files to write and files to remove. */
export interface Change {
  readonly id: string;
  /** The revision that the operator based the change on. */
  readonly baseRevision: number;
  readonly put: Readonly<Record<string, string>>;
  readonly remove: readonly string[];
}

/** A file that another change modified after the base revision. */
export interface ChangeConflict {
  readonly file: string;
  /** The id of the change that was accepted. */
  readonly winner: string;
  readonly revision: number;
}

/** A tombstone of a removed file, kept so that changes based on an older revision conflict. */
export interface FileTombstone {
  readonly text: null;
  readonly revision: number;
  readonly changeId: string;
}

/** File records by file name, tombstones included. */
export type FileRecords = ReadonlyMap<string, FileRecord | FileTombstone>;

/** The names of the files that a change writes or removes. */
export function listChangedFiles(change: Change): string[] {
  return [...Object.keys(change.put), ...change.remove];
}

/** Returns the first file of `change` that another change modified after the base revision. */
export function findConflict(change: Change, records: FileRecords): ChangeConflict | undefined {
  const conflicts = listChangedFiles(change).flatMap((file) => {
    const record = records.get(file);
    if (!record || record.revision <= change.baseRevision || record.changeId === change.id)
      return [];
    return [{ file, winner: record.changeId, revision: record.revision }];
  });
  return conflicts[0];
}

/** The contents of the files that exist, by name; tombstones are left out. */
export function listFiles(records: FileRecords): Record<string, string> {
  const files: [string, string][] = [];
  records.forEach((record, name) => {
    if (record.text !== null) files.push([name, record.text]);
  });
  return Object.fromEntries(files);
}

/** Returns the files after applying a change; `files` is not modified. */
export function applyChange(
  files: Readonly<Record<string, string>>,
  change: Change,
): Record<string, string> {
  const removed = new Set(change.remove);
  const kept = Object.entries(files).filter(([name]) => !removed.has(name));
  return { ...Object.fromEntries(kept), ...change.put };
}
