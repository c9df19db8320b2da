// Bundles the program for the platform into one file, target/azureworks.js, for a fast start.
import * as path from 'node:path';
import * as url from 'node:url';
import * as esbuild from 'esbuild';

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const bundledPackages = ['decisions', 'runtime', 'intake', 'gateway'];

await esbuild.build({
  entryPoints: [path.join(root, 'platform/src/bin/azureworks-platform.ts')],
  outfile: path.join(root, 'target/azureworks.js'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifySyntax: true,
  legalComments: 'none',
  alias: Object.fromEntries(
    bundledPackages.map((name) => [
      `@azureworks/${name}`,
      path.join(root, `packages/${name}/src/index.ts`),
    ]),
  ),
});
