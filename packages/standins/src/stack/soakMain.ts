// The command `soak:stack`: soaks of real routers on the platform's protocol, one seed after the other. Exit code
// 1 on any violation; the logs of such a seed stay in its folder.

import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import sade from 'sade';
import { Soak } from './soak.js';

interface Flags {
  readonly seed: number | string;
  readonly count: number | string;
  readonly seconds: number | string;
  readonly routers: number | string;
  readonly callers: number | string;
  readonly folder: string;
}

sade('soak:stack', true)
  .option('--seed', 'First seed', 1)
  .option('--count', 'Number of seeds', 1)
  .option('--seconds', 'Time during which faults begin', 20)
  .option('--routers', 'Number of routers', 4)
  .option('--callers', 'Number of callers', 12)
  .option('--folder', 'Where logs are kept', 'target/soak')
  .action(async (flags: Flags) => {
    let failures = 0;
    const first = Number(flags.seed);
    for (let seed = first; seed < first + Number(flags.count); seed += 1) {
      const folder = join(flags.folder, String(seed));
      rmSync(folder, { recursive: true, force: true });
      mkdirSync(folder, { recursive: true });
      const lines: string[] = [];
      const result = await Soak.run({
        seed,
        duration: Number(flags.seconds) * 1_000,
        routers: Number(flags.routers),
        callers: Number(flags.callers),
        folder,
        tell: (line) => lines.push(line),
      });
      console.log(JSON.stringify(result));
      if (result.violations.length === 0) rmSync(folder, { recursive: true });
      else writeFileSync(join(folder, 'soak.log'), lines.join('\n'));
      failures += Number(result.violations.length > 0);
    }
    process.exit(failures === 0 ? 0 : 1);
  })
  .parse(process.argv);
