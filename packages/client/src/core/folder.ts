/**
 * A local folder of configuration files and the record of its last apply. The record is the base of a
 * three-way comparison with the files in force. It distinguishes a file that was removed from the folder
 * from one that another operator added.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as path from 'node:path';

/** The revision and the files of the last apply of the folder. */
export interface FolderBase {
  readonly revision: number;
  /** SHA-256 of each file, in hexadecimal. */
  readonly digests: Readonly<Record<string, string>>;
}

/** The files that an apply would write and remove. */
export interface FolderChange {
  readonly put: Readonly<Record<string, string>>;
  readonly remove: readonly string[];
}

const BASE_FILE_NAME = '.azureworks.json';
const CONFIGURATION_FILE_EXTENSION = '.ini';

/** Reads the configuration files of a folder; the result is keyed by file name. */
export function readFolder(folder: string): Record<string, string> {
  const names = fs
    .readdirSync(folder)
    .filter((name) => name.endsWith(CONFIGURATION_FILE_EXTENSION))
    .sort();
  return Object.fromEntries(
    names.map((name) => [name, fs.readFileSync(path.join(folder, name), 'utf8')]),
  );
}

/** Reads the record of the last apply; undefined when the folder was never applied. */
export function readBase(folder: string): FolderBase | undefined {
  const file = path.join(folder, BASE_FILE_NAME);
  if (!fs.existsSync(file)) return undefined;
  return JSON.parse(fs.readFileSync(file, 'utf8')) as FolderBase;
}

/** Records the files of the folder as applied at a revision. */
export function writeBase(
  folder: string,
  revision: number,
  files: Readonly<Record<string, string>>,
): void {
  const digests = Object.fromEntries(
    Object.entries(files).map(([name, text]) => [name, hashText(text)]),
  );
  const base: FolderBase = { revision, digests };
  fs.writeFileSync(path.join(folder, BASE_FILE_NAME), `${JSON.stringify(base, undefined, 2)}\n`);
}

/**
 * Compares a folder with the configuration in force. A file is written only when it was edited locally
 * since the last apply, so that newer edits of other operators are not reverted.
 * @param base the record of the last apply; without it no file is removed
 */
export function compareFolder(
  local: Readonly<Record<string, string>>,
  inForce: Readonly<Record<string, string>>,
  base: FolderBase | undefined,
): FolderChange {
  const digests = base?.digests ?? {};
  const changed = Object.entries(local).filter(
    ([name, text]) => inForce[name] !== text && digests[name] !== hashText(text),
  );
  const remove = Object.keys(digests).filter((name) => !(name in local) && name in inForce);
  return { put: Object.fromEntries(changed), remove };
}

function hashText(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}
