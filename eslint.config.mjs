import * as path from 'node:path';
import * as url from 'node:url';
import { defineConfig } from 'eslint/config';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default defineConfig([
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: path.dirname(url.fileURLToPath(import.meta.url)),
      },
    },
  },
  {
    files: ['scripts/*.mjs', 'deploy/*.mjs', '*.mjs', '*.js'],
    rules: {
      'n/no-sync': 'off',
      'no-console': 'off',
      'n/no-process-exit': 'off',
      // Build tools are dependencies of the workspace root, not of its packages.
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      // Private helpers are declared below the public functions and classes that call them.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      'no-param-reassign': ['error', { props: false }],
      // The code style prescribes namespace imports, which need named exports.
      'import-x/prefer-default-export': 'off',
      // Retries, polls and backoffs have to run one after another.
      'no-await-in-loop': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreClassesThatImplementAnInterface: true },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportSpecifier',
          message: 'Import the module as a namespace.',
        },
        { selector: 'TSEnumDeclaration', message: 'Use a constant object.' },
        { selector: 'ForInStatement', message: 'Iterate over Object.entries.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
    },
  },
  {
    files: [
      'packages/*/src/bin/*.ts',
      'platform/src/bin/*.ts',
      'platform/src/standins/*.ts',
      'packages/standins/**/*.ts',
      'packages/client/**/*.ts',
    ],
    // Command-line programs may block while they read files, and end with an exit code.
    rules: {
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'no-console': 'off',
    },
  },
  {
    files: ['packages/*/__tests__/mutants/*.js'],
    // Mutants are CommonJS scripts that patch functions of the built packages.
    rules: { '@typescript-eslint/no-require-imports': 'off', 'func-names': 'off' },
  },
  {
    files: ['packages/*/__tests__/**/*.ts', 'platform/__tests__/**/*.ts'],
    rules: {
      'n/no-sync': 'off',
      // Test tools are dependencies of the workspace root, not of its packages.
      'import-x/no-extraneous-dependencies': 'off',
      // neverthrow's functions for tests start with an underscore: _unsafeUnwrap.
      'no-underscore-dangle': 'off',
    },
  },
]);
