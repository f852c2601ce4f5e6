import { readdirSync } from 'node:fs';

import { configs, plugins, rules } from 'eslint-config-airbnb-extended';

// Airbnb's rules, with these differences: state objects are changed by the functions that take
// them first, and a class that implements an interface may have methods that need no state.
const root = import.meta.dirname;

// Libraries are declared at the root; each package declares the packages that it may import.
const packages = [...readdirSync(`${root}/packages`).map((name) => `packages/${name}`), 'platform'];
const packageRules = packages.map((path) => ({
  files: [`${path}/**`],
  rules: {
    'import-x/no-extraneous-dependencies': ['error', { packageDir: [root, `${root}/${path}`] }],
  },
}));

export default [
  { ignores: ['**/node_modules/**', 'dist/**', 'target/**', '.demo/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  rules.typescript.typescriptEslintStrict,
  {
    rules: {
      'no-console': 'error',
      'no-param-reassign': ['error', {
        props: true,
        ignorePropertyModificationsFor: ['state', 'req', 'res'],
      }],
      // The hooks of Node's streams have these names.
      'no-underscore-dangle': ['error', { allow: ['_read', '_write', '_final', '_destroy'] }],
      // Airbnb's options for the line length; the preset leaves them out.
      '@stylistic/max-len': ['error', 100, 2, {
        ignoreUrls: true,
        ignoreRegExpLiterals: true,
        ignoreStrings: true,
        ignoreTemplateLiterals: true,
      }],
      'import-x/no-extraneous-dependencies': ['error', {
        packageDir: [root, `${root}/packages/cli`, `${root}/packages/emulator`],
      }],
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      'class-methods-use-this': 'off',
      // Airbnb forbids for-of loops.
      '@typescript-eslint/prefer-for-of': 'off',
      '@typescript-eslint/class-methods-use-this': ['error', {
        ignoreClassesThatImplementAnInterface: true,
      }],
    },
  },
  ...packageRules,
];
