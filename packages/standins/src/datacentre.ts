// Service while a data centre leaves and returns: the wait of interactive work meanwhile,
// relative to its steady value, and the requests lost or broken.

import { percentile, rounded } from './arithmetic.js';
import type { Fleet } from './fleet.js';
import { Load, type TeamRecord, type Totals } from './load.js';
import { randomFrom } from './random.js';
import {
  clock,
  settleTime,
  siteSpec,
  teamLoad,
  teamSpec,
  tokens,
  withFleet,
  type Measure,
  type MeasureOptions,
} from './scenario.js';
import type { FleetSpec, Policy } from './spec.js';

const target = 2;
/** Sizes of site one: six model servers in three data centres. */
const sizes = { routers: 7, servers: 6, teams: 8 };
const cold = 12;
/** Teams whose work is batch; the rest is interactive. */
const batchTeams = 2;
/** Interactive requests/s of one team: together half of the capacity of all servers. */
const perSecond = 16;
const batchOpen = 8;
const finishWithin = 10_000;

/** Share of the run that is steady; the rest is split between out and returning. */
const steadyShare = 1 / 3;

export interface DataCentreMeasure extends Measure {
  readonly lost: number;
  readonly broken: number;
}

interface Run {
  readonly ratio: number;
  readonly totals: Totals;
}

/** Runs the fair policy and the better baseline, taking one data centre out and back. */
export async function dataCentre(options: MeasureOptions): Promise<DataCentreMeasure> {
  const fair = await run('fair', options);
  const local = await run('local', options);
  const equal = await run('equalShare', options);
  return {
    name: 'datacentre',
    seed: options.seed,
    target,
    value: rounded(fair.ratio),
    baseline: rounded(Math.min(local.ratio, equal.ratio)),
    unit: 'ratio',
    lost: fair.totals.mayHaveRun + fair.totals.notRun,
    broken: fair.totals.broken,
  };
}

function specFor(policy: Policy): FleetSpec {
  const spec = siteSpec(policy, sizes, cold);
  const teams = spec.teams.map((_, index) =>
    teamSpec(index, index < batchTeams ? 'batch' : 'interactive'),
  );
  return { ...spec, teams };
}

async function run(policy: Policy, options: MeasureOptions): Promise<Run> {
  return withFleet(specFor(policy), async (fleet) => {
    const steady: number[] = [];
    const disturbed: number[] = [];
    let waits: number[] = [];
    const note = (record: TeamRecord, wait: number): void => {
      if (record.load.mode.kind === 'open') waits.push(wait);
    };
    const load = Load.start(loadsFor(fleet), randomFrom(options.seed), note);
    await clock.sleep(settleTime);
    const time = options.seconds * 1_000;
    waits = steady;
    await clock.sleep(time * steadyShare);
    waits = disturbed;
    await change(fleet, 'drain');
    await clock.sleep((time * (1 - steadyShare)) / 2);
    await change(fleet, 'restore');
    await clock.sleep((time * (1 - steadyShare)) / 2);
    await load.finish(finishWithin);
    return result(policy, load, steady, disturbed);
  });
}

function loadsFor(fleet: Fleet): Parameters<typeof Load.start>[0] {
  return Array.from({ length: sizes.teams }, (_, index) => {
    const mode =
      index < batchTeams
        ? ({ kind: 'closed', open: batchOpen } as const)
        : ({ kind: 'open', perSecond } as const);
    return teamLoad(fleet, index, 'all', mode, tokens(10, 200));
  });
}

async function change(fleet: Fleet, action: 'drain' | 'restore'): Promise<void> {
  const [first] = fleet.routers;
  if (first === undefined) return;
  const body = { dataCentre: fleet.spec.dataCentres[1] };
  const answer = await fleet.admin(first, 'POST', `/admin/${action}`, body);
  if (answer.status >= 300) throw new Error(`${action}: ${JSON.stringify(answer.body)}`);
}

function result(
  policy: Policy,
  load: Load,
  steady: readonly number[],
  disturbed: readonly number[],
): Run {
  const before = percentile(steady, 0.95);
  const after = percentile(disturbed, 0.95);
  console.log(`${policy}: wait p95 ${rounded(before)} ms steady (${steady.length} waits),`);
  console.log(`  ${rounded(after)} ms out and returning (${disturbed.length} waits);`);
  console.log(`  totals ${JSON.stringify(load.totals)}`);
  for (const record of load.records) {
    for (const [reason, count] of record.reasons) console.log(`  ${reason}: ${count}`);
  }
  return { ratio: after / before, totals: load.totals };
}
