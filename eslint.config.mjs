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
      // The tools of the build are declared once, for the whole workspace.
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      // Private helpers stand below the public parts that call them.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      'no-param-reassign': ['error', { props: false }],
      // The house style asks for namespace imports, which need named exports.
      'import-x/prefer-default-export': 'off',
      // Attempts, polls and pauses are sequential by nature.
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
    // Command lines read files before they do anything else, and end with an exit code.
    rules: {
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'no-console': 'off',
    },
  },
  {
    files: ['packages/*/__tests__/mutants/*.js'],
    // A mutant patches the built daemon from outside.
    rules: { '@typescript-eslint/no-require-imports': 'off', 'func-names': 'off' },
  },
  {
    files: ['packages/*/__tests__/**/*.ts', 'platform/__tests__/**/*.ts'],
    rules: {
      'n/no-sync': 'off',
      // The tools of tests are declared once, for the whole workspace.
      'import-x/no-extraneous-dependencies': 'off',
      // neverthrow names its unwrapping for tests so.
      'no-underscore-dangle': 'off',
    },
  },
]);
