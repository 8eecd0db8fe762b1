// Bundles the gateway into one file under target/, so that a process loads no module tree at its start.
import { existsSync } from 'node:fs';
import { build } from 'esbuild';

const sources = (name) => (name === 'platform' ? './platform/src' : `./packages/${name}/src`);

/** Resolves the workspace's packages to their sources, so that the bundle needs no compiled output. */
const workspace = {
  name: 'workspace',
  setup(bundler) {
    bundler.onResolve({ filter: /^@catkinwheel\// }, ({ path }) => {
      const [, name, part] = path.split('/');
      const folder = new URL(`../${sources(name)}/`, import.meta.url).pathname;
      const candidates = part === undefined ? ['index.ts'] : [`${part}.ts`, `${part}/index.ts`];
      return { path: candidates.map((file) => folder + file).find((file) => existsSync(file)) };
    });
  },
};

await build({
  entryPoints: ['packages/gateway/src/main.ts'],
  outfile: 'target/catkinwheel-gateway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  external: ['unix-dgram'],
  plugins: [workspace],
  logLevel: 'warning',
});
