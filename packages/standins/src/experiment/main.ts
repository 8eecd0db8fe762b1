// The command `experiment`: runs scenarios under two policies on a manual clock and compares the results.

import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { decodeSite } from '@catkinwheel/platform/site';
import sade from 'sade';
import { evaluate, type Evaluation, type GroupResult } from './evaluation.js';
import { Emulator } from './emulator.js';
import { builtInScenarios } from './builtInScenarios.js';
import { renderWorthChart } from './worthChart.js';
import { loadPolicyFactory } from './policy.js';
import type { Scenario } from '@catkinwheel/platform/site';

/** Number of teams printed, largest first. */
const maxTeamsShown = 6;

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
  const all = site === undefined ? builtInScenarios : decodeSite(readFileSync(site, 'utf8'));
  const chosen = all.filter(({ name }) => day === undefined || name === day);
  if (chosen.length === 0) throw new Error(`no day named '${day ?? ''}'`);
  return chosen;
}

async function compare(scenario: Scenario, flags: Flags): Promise<void> {
  const evaluations = new Map<string, Evaluation>();
  for (const name of new Set([flags.first, flags.second])) {
    const policyFactory = await loadPolicyFactory(name);
    const startedAt = performance.now();
    const result = await Emulator.run(scenario, policyFactory, Number(flags.seed));
    const seconds = (performance.now() - startedAt) / 1_000;
    const evaluation = evaluate(result);
    evaluations.set(name, evaluation);
    const rate = Math.round(evaluation.day.requests / seconds);
    console.log(`\n${scenario.name}, policy ${name}: ${rate} requests per second of real time`);
    if (scenario.unsupported.length > 0)
      console.log(`not emulated: ${scenario.unsupported.join(', ')}`);
    print(evaluation);
  }
  mkdirSync(flags.plots, { recursive: true });
  const file = join(flags.plots, `${scenario.name}.svg`);
  writeFileSync(file, renderWorthChart(scenario.name, evaluations));
  console.log(`\n${file}`);
}

function print({
  day,
  kinds,
  teams,
  windows,
  prefillTokens,
  repeatedPrefillTokens,
  predictionError,
}: Evaluation): void {
  console.table([day, ...kinds].map(row));
  console.table(teams.slice(0, maxTeamsShown).map(row));
  console.table(windows.map(row));
  const [median, p95] = predictionError;
  console.log(`prefilled ${prefillTokens} tokens, ${repeatedPrefillTokens} of them repeatedly`);
  console.log(
    `absolute error of the predicted time to the first event: ${median} ms in the median, ${p95} ms at p95`,
  );
}

function row(group: GroupResult): Readonly<Record<string, string | number>> {
  return { ...group, worth: group.worth.toFixed(3) };
}
