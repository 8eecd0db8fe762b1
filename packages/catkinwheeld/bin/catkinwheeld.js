#!/usr/bin/env node
// Starts the built program. This file is in the repository, since npm links commands at install, before they are built.

import { existsSync } from 'node:fs';

const program = new URL('../dist/main.js', import.meta.url);
if (existsSync(program)) {
  await import(program.href);
} else {
  process.stderr.write('catkinwheeld: not built yet; run "npm run build" first\n');
  process.exitCode = 1;
}
