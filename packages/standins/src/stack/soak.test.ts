// A short soak of real router processes. Longer ones are run by hand: npm run soak:stack.

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Soak } from './soak.js';

test('promises hold for callers and servers while routers, store and servers fail', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'catkinwheel-'));
  t.after(() => {
    rmSync(folder, { recursive: true });
  });
  const lines: string[] = [];
  const size = { duration: 5_000, routers: 3, callers: 6 };
  const tell = (line: string): void => {
    lines.push(line);
  };
  const result = await Soak.run({ ...size, seed: 1, folder, tell });
  assert.deepEqual(result.violations, [], lines.join('\n'));
  assert.ok(result.served > 0 && result.faults > 0);
});
