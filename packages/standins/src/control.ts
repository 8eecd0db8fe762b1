// Control traffic: what the routers say to each other, and what it costs them, at several sizes
// of the fleet, so that the growth with each size shows.

import { lineThrough, rounded, sum, type Line } from './arithmetic.js';
import type { Fleet, RouterMetrics } from './fleet.js';
import { Load } from './load.js';
import { randomFrom } from './random.js';
import {
  clock,
  siteSpec,
  teamLoad,
  tokens,
  withFleet,
  type Measure,
  type MeasureOptions,
} from './scenario.js';
import type { Policy } from './spec.js';

/** The control traffic of a node that the design page allows at the size to come. */
const target = 26;
const settleTime = 1_000;
/** Requests that each team keeps open; more than its share of the slots, so that work waits. */
const open = 16;

interface Sizes {
  readonly routers: number;
  readonly teams: number;
  readonly servers: number;
}

type Dimension = keyof Sizes;

/** The sizes of today; every other size changes one of them. */
const today: Sizes = { routers: 8, teams: 16, servers: 8 };
const smaller: Readonly<Record<Dimension, readonly number[]>> = {
  routers: [2, 5],
  teams: [4, 10],
  servers: [2, 5],
};

interface Cost {
  readonly sizes: Sizes;
  /** KB/s of the busiest router, mean over the run. */
  readonly traffic: number;
  /** Share of a core, and megabytes of heap, of the busiest router. */
  readonly cpu: number;
  readonly heapMb: number;
  /** Requests/s that the whole fleet answered. */
  readonly answered: number;
  /** Sent by all routers, by kind of message: KB/s and messages/s of one router. */
  readonly kinds: Readonly<Record<string, KindCost>>;
}

interface KindCost {
  readonly kilobytes: number;
  readonly messages: number;
}

export interface ControlMeasure extends Measure {
  readonly cpu: number;
  readonly heapMb: number;
  /** Growth of the value per router, team and server, in KB/s, with the residual of the line. */
  readonly slopes: Readonly<Record<Dimension, Line>>;
}

/** Runs the sizes of today, two smaller ones of each dimension, and a baseline. */
export async function control(options: MeasureOptions): Promise<ControlMeasure> {
  const full = await run('fair', today, options);
  const slopes = {
    routers: await slopeOf('routers', full, options),
    teams: await slopeOf('teams', full, options),
    servers: await slopeOf('servers', full, options),
  };
  const baseline = await run('equalShare', today, options);
  return {
    name: 'control',
    seed: options.seed,
    target,
    value: rounded(full.traffic),
    baseline: rounded(baseline.traffic),
    unit: 'KB/s',
    cpu: rounded(full.cpu),
    heapMb: rounded(full.heapMb),
    slopes,
  };
}

async function slopeOf(dimension: Dimension, full: Cost, options: MeasureOptions): Promise<Line> {
  const points: (readonly [number, number])[] = [[full.sizes[dimension], full.traffic]];
  for (const size of smaller[dimension]) {
    const cost = await run('fair', { ...today, [dimension]: size }, options);
    points.push([size, cost.traffic]);
  }
  const line = lineThrough(points);
  return {
    slope: rounded(line.slope),
    intercept: rounded(line.intercept),
    residual: rounded(line.residual),
  };
}

async function run(policy: Policy, sizes: Sizes, options: MeasureOptions): Promise<Cost> {
  return withFleet(siteSpec(policy, sizes, 16), async (fleet) => {
    const loads = Array.from({ length: sizes.teams }, (_, index) => {
      return teamLoad(fleet, index, 'all', { kind: 'closed', open }, tokens(5, 200));
    });
    const load = Load.start(loads, randomFrom(options.seed));
    await clock.sleep(settleTime);
    const before = await metricsOf(fleet);
    const start = clock.now();
    await clock.sleep(options.seconds * 1_000);
    const after = await metricsOf(fleet);
    const seconds = (clock.now() - start) / 1_000;
    await load.cut();
    const cost = costOf(sizes, before, after, seconds);
    console.log(`${policy} ${JSON.stringify(cost)}`);
    return cost;
  });
}

async function metricsOf(fleet: Fleet): Promise<readonly RouterMetrics[]> {
  return Promise.all(
    fleet.routers.map(async (router) => {
      const metrics = await fleet.metrics(router);
      if (metrics === undefined) throw new Error(`${router.name} gives no metrics`);
      return metrics;
    }),
  );
}

function costOf(
  sizes: Sizes,
  before: readonly RouterMetrics[],
  after: readonly RouterMetrics[],
  seconds: number,
): Cost {
  const bytes = after.map((metrics, index) => {
    return counted(metrics, 'peer.bytes') - counted(before[index], 'peer.bytes');
  });
  return {
    sizes,
    traffic: rounded(Math.max(...bytes) / seconds / 1_000),
    cpu: Math.max(...after.map((metrics) => metrics.gauges['process.cpu'] ?? 0)),
    heapMb: Math.max(...after.map((metrics) => metrics.gauges['process.heapMb'] ?? 0)),
    answered: rounded(grownBy(before, after, 'request.answered') / seconds),
    kinds: kindsOf(before, after, seconds * sizes.routers),
  };
}

/** Message kinds by their part of the traffic that was sent, the largest first. */
function kindsOf(
  before: readonly RouterMetrics[],
  after: readonly RouterMetrics[],
  routerSeconds: number,
): Readonly<Record<string, KindCost>> {
  const tags = ',direction=out,kind=';
  const names = new Set(
    after.flatMap(({ counters }) =>
      Object.keys(counters).flatMap((key) => key.split(`peer.bytes${tags}`)[1] ?? []),
    ),
  );
  const costs = [...names].map((kind): readonly [string, KindCost] => [
    kind,
    {
      kilobytes: rounded(grownBy(before, after, `peer.bytes${tags}${kind}`) / routerSeconds / 1e3),
      messages: rounded(grownBy(before, after, `peer.messages${tags}${kind}`) / routerSeconds),
    },
  ]);
  return Object.fromEntries(costs.sort(([, a], [, b]) => b.kilobytes - a.kilobytes));
}

/** Growth of a counter over all routers. */
function grownBy(
  before: readonly RouterMetrics[],
  after: readonly RouterMetrics[],
  name: string,
): number {
  const total = (all: readonly RouterMetrics[]): number =>
    sum(all.map((metrics) => counted(metrics, name)));
  return total(after) - total(before);
}

/** Sum of a counter over its tags, which follow the name. */
export function counted(metrics: RouterMetrics | undefined, name: string): number {
  const entries = Object.entries(metrics?.counters ?? {});
  return sum(entries.filter(([key]) => isOf(key, name)).map(([, value]) => value));
}

function isOf(key: string, name: string): boolean {
  return key.startsWith(name) && !/^[\w.]/.test(key.slice(name.length));
}
