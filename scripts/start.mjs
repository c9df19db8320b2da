// Runs the demo: trainers and callers of a deployment whose back ends and store are local stand-ins.
// With --platform it runs the program for the platform on stand-ins of the platform instead. All options
// are passed to the demo.
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const options = process.argv.slice(2);
const commandLine = options.includes('--platform')
  ? ['platform/dist/bin/demo.js', ...options]
  : ['packages/standins/dist/bin/experiment.js', 'demo', ...options];
const result = childProcess.spawnSync(process.execPath, commandLine, {
  cwd: root,
  stdio: 'inherit',
});
process.exit(result.status ?? 1);
