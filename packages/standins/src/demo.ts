// Shows the system at work in under a minute: four teams, three routers, of which one is killed
// and one has its VM drained on the way. The last line says what became of every request.

import { Clock, type Milliseconds } from '@catkinwheel/state';
import { Fleet } from './fleet.js';
import { Load, type TeamLoad, type TeamRecord } from './load.js';
import { magnitude, randomFrom, type Random } from './random.js';
import type { FleetSpec, TeamSpec } from './spec.js';

const seed = 1;
/** Times of the steps after the start of the load. */
const stepPeriod: Milliseconds = 4_000;
/** Time that the last requests may take. */
const finishWithin: Milliseconds = 20_000;

const usualEntry = { idempotent: true, maxWait: 30_000, maxRun: 60_000 };

const teams: readonly TeamSpec[] = [
  team('letters', 2, { service: 'letters', class: 'interactive' }),
  team('archive', 1, { service: 'letters', class: 'batch' }),
  team('helpdesk', 1, { service: 'letters', class: 'interactive' }),
  team('adoptions', 1, { service: 'desk', class: 'interactive', idempotent: false }),
];

const spec: FleetSpec = {
  dataCentres: ['suva', 'nadi', 'labasa'],
  routers: 3,
  services: [
    { kind: 'model', name: 'letters', servers: 3, settings: { cold: 4, warm: 8, rate: 100 } },
    { kind: 'plain', name: 'desk', servers: 1, settings: { cold: 4, warm: 8 } },
  ],
  teams,
  policy: 'fair',
  relays: false,
};

type DemoEntry = Pick<TeamSpec['entries'][string], 'service' | 'class'> &
  Partial<TeamSpec['entries'][string]>;

function team(name: string, weight: number, entry: DemoEntry): TeamSpec {
  return { name, weight, entries: { [`${name}-work`]: { ...usualEntry, ...entry } } };
}

function loads(fleet: Fleet): readonly TeamLoad[] {
  const reach = (): readonly string[] => fleet.callerAddresses();
  const model = (random: Random, most: number): ReturnType<TeamLoad['size']> => {
    const amount = magnitude(random, 5, most);
    return { prompt: magnitude(random, 10, 1_000), amount, hint: amount * 2 };
  };
  const shared = { reach, weight: 1 };
  return [
    {
      ...shared,
      team: 'letters',
      weight: 2,
      entry: 'letters-work',
      kind: 'stream',
      mode: { kind: 'closed', open: 30 },
      size: (random) => model(random, 200),
    },
    {
      ...shared,
      team: 'archive',
      entry: 'archive-work',
      kind: 'chat',
      mode: { kind: 'closed', open: 20 },
      size: (random) => model(random, 400),
    },
    {
      ...shared,
      team: 'helpdesk',
      entry: 'helpdesk-work',
      kind: 'stream',
      mode: { kind: 'open', perSecond: 8 },
      size: (random) => model(random, 50),
    },
    {
      ...shared,
      team: 'adoptions',
      entry: 'adoptions-work',
      kind: 'payment',
      mode: { kind: 'open', perSecond: 15 },
      size: (random) => ({ prompt: 0, amount: magnitude(random, 5, 100), hint: 0 }),
      resends: true,
    },
  ];
}

function row({ load, totals, received, waits }: TeamRecord): object {
  return {
    team: load.team,
    weight: load.weight,
    ...totals,
    service: Math.round(received),
    'wait p50 ms': waits.getValueAtPercentile(50),
    'wait p95 ms': waits.getValueAtPercentile(95),
  };
}

/** Runs the demo; true if every request is accounted for and nothing ran twice. */
async function demo(fleet: Fleet): Promise<boolean> {
  const clock = Clock.system();
  console.log('three routers, three model servers and one plain service are ready');
  const load = Load.start(loads(fleet), randomFrom(seed));
  await clock.sleep(stepPeriod);
  const [first, second, third] = fleet.routers;
  if (first === undefined || second === undefined || third === undefined) return false;
  console.log(`killing ${third.name}`);
  await third.child.kill();
  await clock.sleep(stepPeriod);
  console.log(`draining ${second.vm}, the VM of ${second.name}`);
  const drained = await fleet.admin(first, 'POST', '/admin/drain', { vm: second.vm });
  console.log(`drain: status ${drained.status}`);
  await clock.sleep(2 * stepPeriod);
  await load.finish(finishWithin);
  return report(fleet, load);
}

function report(fleet: Fleet, load: Load): boolean {
  console.table(load.records.map(row));
  for (const record of load.records) {
    for (const [reason, count] of record.reasons) {
      console.log(`${record.load.team}: ${count} times ${reason}`);
    }
  }
  const duplicateExecutions = [...fleet.executions].filter(
    ([key, count]) => key.startsWith('adoptions-work') && count > 1,
  ).length;
  const totals = load.totals;
  console.log(JSON.stringify({ ...totals, duplicateExecutions }));
  const known = totals.answered + totals.notRun + totals.mayHaveRun + totals.broken;
  return totals.broken === 0 && duplicateExecutions === 0 && totals.sent === known;
}

const fleet = await Fleet.start(spec);
const isGood = await demo(fleet).finally(() => fleet.end());
process.exit(isGood ? 0 : 1);
