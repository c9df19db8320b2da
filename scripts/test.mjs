// Runs jest and compares its failures with the known failures in KNOWN-RED.txt. A listed failure is
// printed and ignored, an unlisted one fails the run, and a listed test that passes is printed.
// Arguments are passed to jest.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));

// Each entry consists of `key: value` lines; the value of `test` is the full name of the test.
function readKnownFailures() {
  const file = path.join(root, 'KNOWN-RED.txt');
  if (!fs.existsSync(file)) return new Set();
  const names = fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
  return new Set(names);
}

function runJest(reportFile) {
  const jest = path.join(root, 'node_modules', 'jest', 'bin', 'jest.js');
  const commandLine = [jest, '--ci', '--json', `--outputFile=${reportFile}`];
  const options = { cwd: root, stdio: ['ignore', 'ignore', 'inherit'] };
  childProcess.spawnSync(process.execPath, [...commandLine, ...process.argv.slice(2)], options);
  return JSON.parse(fs.readFileSync(reportFile, 'utf8'));
}

const knownFailures = readKnownFailures();
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'azureworks-test-'));
const report = runJest(path.join(folder, 'report.json'));
fs.rmSync(folder, { recursive: true });
const assertions = report.testResults.flatMap((file) => file.assertionResults);
const filesNotRun = report.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);
const passed = assertions.filter((test) => test.status === 'passed');
const failed = assertions.filter((test) => test.status === 'failed');
const unlistedFailures = failed.filter((test) => !knownFailures.has(test.fullName));
failed
  .filter((test) => knownFailures.has(test.fullName))
  .forEach((test) => console.log(`known red, passed over: ${test.fullName}`));
passed
  .filter((test) => knownFailures.has(test.fullName))
  .forEach((test) => console.log(`listed in KNOWN-RED.txt but passes: ${test.fullName}`));
unlistedFailures.forEach((test) =>
  console.log(`failed: ${test.fullName}\n${test.failureMessages.join('\n')}`),
);
filesNotRun.forEach((file) => console.log(`did not run: ${path.relative(root, file.name)}`));
const failureCount = unlistedFailures.length + filesNotRun.length;
console.log(`${passed.length} passed, ${failureCount} failed`);
process.exitCode = failureCount === 0 && passed.length > 0 ? 0 : 1;
