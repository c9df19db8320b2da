/**
 * A folder of configuration files and what it was when it was last applied. The record of the last
 * apply tells a file that the operator removed from one that another operator added.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as path from 'node:path';

/** The files and the revision that the folder was last in step with. */
export interface FolderBase {
  readonly revision: number;
  /** SHA-256 of each file, in hexadecimal. */
  readonly digests: Readonly<Record<string, string>>;
}

/** What an apply would change. */
export interface FolderChange {
  readonly put: Readonly<Record<string, string>>;
  readonly remove: readonly string[];
}

const BASE_FILE = '.azureworks.json';
const FILE_ENDING = '.ini';

/** Reads the configuration files of a folder, by name. */
export function readFolder(folder: string): Record<string, string> {
  const names = fs
    .readdirSync(folder)
    .filter((name) => name.endsWith(FILE_ENDING))
    .sort();
  return Object.fromEntries(
    names.map((name) => [name, fs.readFileSync(path.join(folder, name), 'utf8')]),
  );
}

/** Reads what the folder was last in step with; undefined when it was never applied. */
export function readBase(folder: string): FolderBase | undefined {
  const file = path.join(folder, BASE_FILE);
  if (!fs.existsSync(file)) return undefined;
  return JSON.parse(fs.readFileSync(file, 'utf8')) as FolderBase;
}

/** Records that the folder is in step with a revision. */
export function writeBase(
  folder: string,
  revision: number,
  files: Readonly<Record<string, string>>,
): void {
  const digests = Object.fromEntries(
    Object.entries(files).map(([name, text]) => [name, digestText(text)]),
  );
  const base: FolderBase = { revision, digests };
  fs.writeFileSync(path.join(folder, BASE_FILE), `${JSON.stringify(base, undefined, 2)}\n`);
}

/**
 * Compares a folder with the configuration in force.
 * @param base what the folder was last in step with; without it nothing is removed
 */
export function compareFolder(
  local: Readonly<Record<string, string>>,
  inForce: Readonly<Record<string, string>>,
  base: FolderBase | undefined,
): FolderChange {
  const digests = base?.digests ?? {};
  const changed = Object.entries(local).filter(
    ([name, text]) => inForce[name] !== text && digests[name] !== digestText(text),
  );
  const remove = Object.keys(digests).filter((name) => !(name in local) && name in inForce);
  return { put: Object.fromEntries(changed), remove };
}

function digestText(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}
