// Runs `npm ci` when node_modules is missing or older than the lockfile, then builds all packages.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const lockfile = path.join(root, 'package-lock.json');
const installedLockfile = path.join(root, 'node_modules', '.package-lock.json');

function isInstalled() {
  if (!fs.existsSync(installedLockfile)) return false;
  return fs.statSync(installedLockfile).mtimeMs >= fs.statSync(lockfile).mtimeMs;
}

function run(command) {
  const result = childProcess.spawnSync(command, {
    cwd: root,
    shell: true,
    stdio: ['ignore', 2, 2],
  });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (!isInstalled()) run('npm ci --ignore-scripts --no-audit --no-fund');
run('npm run --silent build');
