// Runs the main job: on the stand-ins of the product, or with --platform on those of the platform.
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const args = process.argv.slice(2);
const program = args.includes('--platform')
  ? ['platform/dist/bin/demo.js', ...args]
  : ['packages/standins/dist/bin/experiment.js', 'demo', ...args];
const result = childProcess.spawnSync(process.execPath, program, { cwd: root, stdio: 'inherit' });
process.exit(result.status ?? 1);
