module.exports = {
  testEnvironment: 'node',
  roots: ['<rootDir>/packages', '<rootDir>/platform'],
  testMatch: ['**/__tests__/**/*.test.ts'],
  testTimeout: 120000,
  // Tests that start processes need all CPUs, so test files run one at a time.
  maxWorkers: 1,
  moduleNameMapper: {
    '^@azureworks/platform$': '<rootDir>/platform/src/index.ts',
    '^@azureworks/([a-z]+)$': '<rootDir>/packages/$1/src/index.ts',
  },
  transform: {
    '^.+\\.ts$': ['@swc/jest', { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' } }],
  },
};
