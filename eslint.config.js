import tseslint from 'typescript-eslint';

// Each package may import only the packages below it, so that the layers stay one-way.
const allowed = {
  state: [],
  protocol: ['state'],
  transport: ['state', 'protocol'],
  coordination: ['state', 'protocol'],
  catkinwheeld: ['state', 'protocol', 'transport', 'coordination'],
  catkinwheel: ['state', 'protocol'],
  standins: ['state', 'protocol', 'coordination', 'platform', 'gateway'],
  platform: ['state', 'protocol', 'coordination'],
  gateway: ['state', 'protocol', 'transport', 'coordination', 'platform'],
};
const packages = Object.keys(allowed);
const networkLibraries = ['hono', 'hono/*', '@hono/*', 'undici', '@trpc/*', 'ws', 'hot-shots'];

const layers = packages.map((name) => ({
  files: [name === 'platform' ? 'platform/src/**/*.ts' : `packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: [
              ...packages
                .filter((other) => other !== name && !allowed[name].includes(other))
                .map((other) => `@catkinwheel/${other}`),
              ...(['state', 'protocol', 'coordination'].includes(name) ? networkLibraries : []),
            ],
            message: 'Imports go one way through the layers; see docs/design.md.',
          },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    files: ['packages/**/*.test.ts', 'platform/**/*.test.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
  ...layers,
);
