import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

const SCRIPT = path.resolve(__dirname, '..', 'dist', 'bin', 'azureworks.js');

function run(...commandLine: string[]): { status: number | null; stdout: string; stderr: string } {
  return childProcess.spawnSync(process.execPath, [SCRIPT, ...commandLine], {
    encoding: 'utf8',
    env: { ...process.env, AZUREWORKS_ENTRY: '' },
  });
}

function writeFolder(files: Record<string, string>): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'azureworks-client-'));
  Object.entries(files).forEach(([name, text]) => fs.writeFileSync(path.join(folder, name), text));
  return folder;
}

describe('command line', () => {
  it('lists the exit codes in its help', () => {
    const { status, stdout } = run('--help');
    expect(status).toBe(0);
    expect(stdout).toContain('Exit codes');
  });

  it('shows its version', () => {
    expect(run('--version').stdout.trim()).toMatch(/^\d+\.\d+\.\d+$/);
  });

  it('exits with 2 on an unknown command', () => {
    expect(run('aply').status).toBe(2);
  });

  it('checks a folder offline', () => {
    const folder = writeFolder({ 'a.ini': '[deployment d]\n' });
    expect(run('check', folder)).toMatchObject({ status: 0, stdout: 'valid\n' });
    fs.rmSync(folder, { recursive: true });
  });

  it('reports every error of a folder and exits with 2', () => {
    const folder = writeFolder({ 'a.ini': '[deployment d]\nstaleness_bond = 2\n' });
    const { status, stdout } = run('--json', 'check', folder);
    expect(status).toBe(2);
    expect(JSON.parse(stdout)).toMatchObject({
      isValid: false,
      errors: [{ file: 'a.ini', key: 'deployment d / staleness_bond' }],
    });
    fs.rmSync(folder, { recursive: true });
  });

  it('exits with 5 when no entry can be reached', () => {
    const folder = writeFolder({ 'a.ini': '[deployment d]\n' });
    expect(run('-e', 'http://127.0.0.1:9', 'apply', folder, '--json').status).toBe(5);
    fs.rmSync(folder, { recursive: true });
  });
});
