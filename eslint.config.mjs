import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      '**/generated/**',
      'model/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.recommended,
  ...configs.base.typescript,
  // Prettier owns the layout.
  prettier,
  {
    rules: {
      // Node.js resolves ES modules by full file name.
      'import-x/extensions': ['error', 'ignorePackages', { ts: 'never', js: 'always' }],
      // A default export has no fixed name, and every class is named after its file.
      'import-x/prefer-default-export': 'off',
      // Retries and protocol steps are sequential on purpose.
      'no-await-in-loop': 'off',
      // The rule aims at engines without native iterators; Node.js 20 has them.
      'no-restricted-syntax': 'off',
      // Hashes and incarnations need unsigned shifts.
      'no-bitwise': 'off',
      // Marks a promise whose errors are handled inside.
      'no-void': ['error', { allowAsStatement: true }],
      // Implementations of an interface need not use their state.
      'class-methods-use-this': 'off',
      // Events may have no listener yet, and peers may be absent.
      'no-empty-function': 'off',
      '@typescript-eslint/no-empty-function': 'off',
      'no-continue': 'off',
      'no-plusplus': 'off',
      // Tasks change the records that they own.
      'no-param-reassign': ['error', { props: false }],
    },
  },
];
