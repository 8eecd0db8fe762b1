// The command `measure`: runs one measure; its last line is JSON with fixed fields.

import { loadavg } from 'node:os';
import sade from 'sade';
import { control } from './control.js';
import { dataCentre } from './datacentre.js';
import { fairness } from './fairness.js';
import { idle, type IdleOptions } from './idle.js';
import { overhead } from './overhead.js';
import type { Measure } from './scenario.js';
import { utilisation } from './utilisation.js';

interface Flags {
  readonly seed: number | string;
  readonly seconds: number | string;
  readonly program?: string;
  readonly profile?: string;
}

const program = sade('measure').option('--seed', 'Seed of all random choices', 1);

function measure(
  name: string,
  describe: string,
  seconds: number,
  run: (options: IdleOptions) => Promise<Measure>,
): typeof program {
  return program
    .command(name)
    .describe(describe)
    .option('--seconds', 'Length of each measured run', seconds)
    .action(async (flags: Flags) => {
      const { program, profile } = flags;
      const [seed, seconds] = [Number(flags.seed), Number(flags.seconds)];
      const result = await run({ seed, seconds, program, profile });
      const [load] = loadavg();
      console.log(`load of the machine at the end: ${load?.toFixed(1) ?? ''}`);
      console.log(JSON.stringify(result));
      process.exit(0);
    });
}

measure('fairness', 'Largest gap in service between waiting teams', 10, fairness);
measure('utilisation', 'Share of the bearable permits in use while work waits', 8, utilisation);
measure('datacentre', 'Wait of interactive work while a data centre is out', 10, dataCentre);
measure('overhead', 'Latency that a router adds, and its requests/s', 8, overhead);
measure('control', 'Traffic between the routers, and its growth', 2, control);
measure('idle', 'Processor time of a router without requests that has 20 mates', 20, idle)
  .option('--program', "File of the router's program in place of the built one")
  .option('--profile', 'Folder for processor profiles of a router with mates and of one without');

program.parse(process.argv);
