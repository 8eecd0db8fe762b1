// The command `experiment`: plays a day under two policies on a manual clock and compares them.

import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { decodeSite } from '@catkinwheel/platform/site';
import sade from 'sade';
import { accountOf, type Account, type Group } from './evaluation.js';
import { Emulator } from './emulator.js';
import { heavyDays } from './builtInScenarios.js';
import { plot } from './worthChart.js';
import { policyMaker } from './policy.js';
import type { Scenario } from '@catkinwheel/platform/site';

/** Teams and windows shown: the largest teams, all windows. */
const shownTeams = 6;

interface Flags {
  readonly site?: string;
  readonly day?: string;
  readonly first: string;
  readonly second: string;
  readonly seed: number | string;
  readonly plots: string;
}

sade('experiment', true)
  .option('--site', 'Site file of a deployment; without it the built-in heavy days are played')
  .option('--day', 'Only the day of this name')
  .option(
    '--first',
    'Policy: product, fewest, or the path of another build of the routing',
    'product',
  )
  .option('--second', 'Policy to compare with', 'fewest')
  .option('--seed', 'Seed of requests and events', 1)
  .option('--plots', 'Folder for pictures', 'target/experiment')
  .action(async (flags: Flags) => {
    for (const scenario of scenariosOf(flags)) await compare(scenario, flags);
  })
  .parse(process.argv);

function scenariosOf({ site, day }: Flags): readonly Scenario[] {
  const all = site === undefined ? heavyDays : decodeSite(readFileSync(site, 'utf8'));
  const chosen = all.filter(({ name }) => day === undefined || name === day);
  if (chosen.length === 0) throw new Error(`no such day: ${day ?? ''}`);
  return chosen;
}

async function compare(scenario: Scenario, flags: Flags): Promise<void> {
  const accounts = new Map<string, Account>();
  for (const name of new Set([flags.first, flags.second])) {
    const maker = await policyMaker(name);
    const began = performance.now();
    const played = await Emulator.play(scenario, maker, Number(flags.seed));
    const seconds = (performance.now() - began) / 1_000;
    const account = accountOf(played);
    accounts.set(name, account);
    const rate = Math.round(account.day.requests / seconds);
    console.log(`\n${scenario.name}, policy ${name}: ${rate} requests a second of real time`);
    if (scenario.unsupported.length > 0)
      console.log(`not emulated: ${scenario.unsupported.join(', ')}`);
    print(account);
  }
  mkdirSync(flags.plots, { recursive: true });
  const file = join(flags.plots, `${scenario.name}.svg`);
  writeFileSync(file, plot(scenario.name, accounts));
  console.log(`\n${file}`);
}

function print({ day, kinds, teams, windows, read, readAgain, predictionError }: Account): void {
  console.table([day, ...kinds].map(row));
  console.table(teams.slice(0, shownTeams).map(row));
  console.table(windows.map(row));
  const [median, p95] = predictionError;
  console.log(`read ${read} tokens, ${readAgain} of them again`);
  console.log(
    `first events missed their prediction by ${median} ms in the median, ${p95} ms at p95`,
  );
}

function row(group: Group): Readonly<Record<string, string | number>> {
  return { ...group, worth: group.worth.toFixed(3) };
}
