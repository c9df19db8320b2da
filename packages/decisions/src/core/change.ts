/**
 * Decides what becomes of a configuration change when other changes were accepted since the
 * operator looked. Changes to different files go together; changes to the same file conflict.
 */

/** The row of one configuration file. */
export interface FileRecord {
  readonly text: string;
  /** The revision that last changed the file. */
  readonly revision: number;
  /** The id of that change. */
  readonly changeId: string;
}

/** A change: files to write and files to remove. */
export interface Change {
  readonly id: string;
  /** The revision that the operator saw. */
  readonly baseRevision: number;
  readonly put: Readonly<Record<string, string>>;
  readonly remove: readonly string[];
}

/** A file that another change touched since the base revision. */
export interface ChangeConflict {
  readonly file: string;
  /** The change that won. */
  readonly winner: string;
  readonly revision: number;
}

/** A record kept after a file was removed, so that a later change to it is seen to conflict. */
export interface RemovedRecord {
  readonly text: null;
  readonly revision: number;
  readonly changeId: string;
}

/** All file records by name, removed ones included. */
export type FileRecords = ReadonlyMap<string, FileRecord | RemovedRecord>;

/** The names of the files that a change touches. */
export function listTouched(change: Change): string[] {
  return [...Object.keys(change.put), ...change.remove];
}

/** The first file that was changed by somebody else since the operator looked. */
export function findConflict(change: Change, records: FileRecords): ChangeConflict | undefined {
  const conflicts = listTouched(change).flatMap((file) => {
    const record = records.get(file);
    if (!record || record.revision <= change.baseRevision || record.changeId === change.id)
      return [];
    return [{ file, winner: record.changeId, revision: record.revision }];
  });
  return conflicts[0];
}

/** The files that exist according to the records. */
export function listFiles(records: FileRecords): Record<string, string> {
  const files: [string, string][] = [];
  records.forEach((record, name) => {
    if (record.text !== null) files.push([name, record.text]);
  });
  return Object.fromEntries(files);
}

/** The files after a change was applied to them. */
export function applyChange(
  files: Readonly<Record<string, string>>,
  change: Change,
): Record<string, string> {
  const removed = new Set(change.remove);
  const kept = Object.entries(files).filter(([name]) => !removed.has(name));
  return { ...Object.fromEntries(kept), ...change.put };
}
