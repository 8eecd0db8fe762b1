// The fleet and the load that the measures share: the sizes of today, with teams that differ in
// everything but their rights.

import { Clock, type Milliseconds } from '@catkinwheel/state';
import { call } from './http.js';
import type { CapacityStats } from './capacity.js';
import { Fleet } from './fleet.js';
import type { Mode, TeamLoad, WorkSize } from './load.js';
import { magnitude, type Random } from './random.js';
import type { FleetSpec, Policy, TeamSpec } from './spec.js';

/** Sizes of a site as the design page gives them. */
export const siteSizes = { routers: 8, servers: 8, teams: 16, largeTeams: 2 };

/** Slots of a model server and their speed in tokens/s. */
export const slots = 16;
export const rate = 200;

export const clock = Clock.system();

/** What one measure found. Further fields follow for some measures. */
export interface Measure {
  readonly name: string;
  readonly seed: number;
  readonly target: number;
  readonly value: number;
  readonly baseline: number;
  readonly unit: string;
}

/** Options of every measure. */
export interface MeasureOptions {
  readonly seed: number;
  /** Length of each measured run. */
  readonly seconds: number;
}

export function teamName(index: number): string {
  return `team-${index + 1}`;
}

function entryName(index: number): string {
  return `${teamName(index)}-work`;
}

/** A team with one entry of the service `letters`. */
export function teamSpec(index: number, workClass: 'interactive' | 'batch'): TeamSpec {
  const limits = { service: 'letters', class: workClass, idempotent: true };
  const entry = { ...limits, maxWait: 120_000, maxRun: 120_000 };
  return { name: teamName(index), weight: 1, entries: { [entryName(index)]: entry } };
}

/** A site with one model service. */
export function siteSpec(
  policy: Policy,
  sizes: { readonly routers: number; readonly servers: number; readonly teams: number },
  cold: number,
  tokenRate = rate,
): FleetSpec {
  const settings = { cold, warm: slots, rate: tokenRate, tick: 40 };
  return {
    dataCentres: ['suva', 'nadi', 'labasa'],
    routers: sizes.routers,
    services: [{ kind: 'model', name: 'letters', servers: sizes.servers, settings }],
    teams: Array.from({ length: sizes.teams }, (_, index) => teamSpec(index, 'interactive')),
    policy,
    relays: false,
  };
}

/** Streams of one team through the routers of the fleet with these numbers. */
export function teamLoad(
  fleet: Fleet,
  index: number,
  routers: readonly number[] | 'all',
  mode: Mode,
  size: (random: Random) => WorkSize,
): TeamLoad {
  const reach = (): readonly string[] => {
    const all = fleet.callerAddresses();
    if (routers === 'all') return all;
    return routers.map((number) => all[number % all.length] ?? '');
  };
  return {
    team: teamName(index),
    weight: 1,
    entry: entryName(index),
    kind: 'stream',
    mode,
    reach,
    size,
  };
}

/** Tokens from `least` to `most`, with a bound that is up to four times too high. */
export function tokens(least: number, most: number): (random: Random) => WorkSize {
  return (random) => {
    const amount = magnitude(random, least, most);
    const prompt = magnitude(random, least, most);
    return { prompt, amount, hint: Math.round(amount * 4 ** random()) };
  };
}

/** Runs `body` on a fleet and ends it whatever happens. */
export async function withFleet<T>(
  spec: FleetSpec,
  body: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = await Fleet.start(spec);
  try {
    return await body(fleet);
  } finally {
    await fleet.end();
  }
}

/** Capacity figures of all servers of the fleet. */
export function capacities(fleet: Fleet): Promise<readonly CapacityStats[]> {
  return Promise.all(
    fleet.servers.map(async ({ child }) => {
      const url = `http://${child.ready.control ?? ''}/control/capacity`;
      return (await call<CapacityStats>('GET', url)).body;
    }),
  );
}

/** Time for queues to fill and levels to settle before a measured run. */
export const settleTime: Milliseconds = 3_000;
