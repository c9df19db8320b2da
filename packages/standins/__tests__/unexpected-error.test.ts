/**
 * An unexpected error in one place must not end a daemon and with it all requests that it serves.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as runtime from '@azureworks/runtime';
import * as undici from 'undici';
import * as children from '../src/experiments/child-process';

const PACKAGES_FOLDER = path.resolve(__dirname, '..', '..');
const DAEMON_SCRIPT = path.join(PACKAGES_FOLDER, 'daemon', 'dist', 'bin', 'azureworksd.js');
const STANDIN_SCRIPT = path.join(PACKAGES_FOLDER, 'standins', 'dist', 'bin', 'standin.js');
const PRELOAD = path.join(__dirname, 'preloads', 'unexpected-error.js');
/** When the errors begin, after the start of the process. */
const ERRORS_DELAY_MS = 4000;
const TIMEOUT_MS = 60_000;

describe('a daemon with unexpected errors', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'azureworks-unexpected-'));
  const running: children.ChildProcess[] = [];

  afterAll(async () => {
    await Promise.all(running.map((child) => child.stop('SIGKILL')));
    fs.rmSync(folder, { recursive: true });
  });

  async function startEntry(): Promise<children.ChildProcess> {
    const platform = await children.ChildProcess.create('platform', STANDIN_SCRIPT, ['platform']);
    running.push(platform);
    const file = path.join(folder, 'entry.ini');
    const settings = [
      '[daemon]',
      'role = entry',
      'name = entry-1',
      'address = 127.0.0.1',
      'http_port = 0',
      'control_port = 0',
      'failure_domain = one',
      'region = here',
      '[platform]',
      `url = ${platform.url}`,
    ];
    fs.writeFileSync(file, `${settings.join('\n')}\n`);
    const flags = ['--require', PRELOAD];
    const commandLine = ['--settings', file];
    const entry = await children.ChildProcess.create('entry-1', DAEMON_SCRIPT, commandLine, flags);
    running.push(entry);
    return entry;
  }

  it(
    'logs them, goes on serving and stops as planned',
    async () => {
      const entry = await startEntry();
      await runtime.pause(ERRORS_DELAY_MS + 1000);
      expect(entry.hasEnded).toBe(false);
      const health = await undici.request(`${entry.url}/healthz`);
      expect(health.statusCode).toBe(200);
      await health.body.dump();
      const errors = entry.lines.filter((line) => line.includes('uncaught error'));
      expect(errors.some((line) => line.includes('nobody expects this'))).toBe(true);
      expect(errors.some((line) => line.includes('nobody handles this'))).toBe(true);
      expect(await entry.stop()).toBe(0);
    },
    TIMEOUT_MS,
  );
});
