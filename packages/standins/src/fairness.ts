// Fairness: the largest gap in normalised service between two teams that both waited throughout
// a window of five seconds.

import { largestGap, rounded, type Gap } from './arithmetic.js';
import { Load } from './load.js';
import { randomFrom } from './random.js';
import {
  capacities,
  clock,
  rate,
  siteSizes,
  siteSpec,
  slots,
  teamLoad,
  tokens,
  withFleet,
  type Measure,
  type MeasureOptions,
} from './scenario.js';
import type { Policy } from './spec.js';

const windowWidth = 5_000;
/**
 * All teams start at once, and the large ones, which come in at every router, fill the servers before
 * keepers hear of the small ones. The small ones are served first until they have caught up, which
 * takes up to 11 s at these sizes; the gap of that time is given apart as `startGap`.
 */
const catchUpTime = 13_000;
const leastTokens = 10;
const mostTokens = 1_000;

/** Requests that a large and a small team keep open. */
const largeOpen = 160;
const smallOpen = 24;

/** Staleness of a level: report interval, two one-way delays, coalescing of demand, in seconds. */
const staleness = 0.12;

/** The bound of the design page for the load of this measure. */
export function bound(teamPermits: number): number {
  const largest = mostTokens + mostTokens / 10;
  const serviceRate = siteSizes.servers * slots * rate;
  return 2 * largest + teamPermits * largest + staleness * serviceRate;
}

export interface FairnessMeasure extends Measure {
  /** Largest gap while the teams that came later caught up, windows that reach into the run included. */
  readonly startGap: number;
}

interface Run {
  readonly steady: Gap;
  readonly start: Gap;
}

/** Runs the fair policy and the two baselines on equal loads. */
export async function fairness(options: MeasureOptions): Promise<FairnessMeasure> {
  const fair = await run('fair', options);
  const local = await run('local', options);
  const equal = await run('equalShare', options);
  const baseline = Math.min(local.steady.gap, equal.steady.gap);
  const formula = bound((siteSizes.servers * slots) / siteSizes.teams);
  console.log(`bound by the formula with equal permits per team: ${rounded(formula)} cost`);
  return {
    name: 'fairness',
    seed: options.seed,
    target: rounded(Math.min(formula, baseline / 10)),
    value: rounded(fair.steady.gap),
    baseline: rounded(baseline),
    unit: 'cost',
    startGap: rounded(fair.start.gap),
  };
}

async function run(policy: Policy, options: MeasureOptions): Promise<Run> {
  return withFleet(siteSpec(policy, siteSizes, slots), async (fleet) => {
    const loads = Array.from({ length: siteSizes.teams }, (_, index) => {
      const isLarge = index < siteSizes.largeTeams;
      const mode = { kind: 'closed', open: isLarge ? largeOpen : smallOpen } as const;
      const near = index % 2 === 0 ? [index] : [index, index + 1];
      const routers = isLarge ? 'all' : near;
      return teamLoad(fleet, index, routers, mode, tokens(leastTokens, mostTokens));
    });
    const load = Load.start(loads, randomFrom(options.seed));
    await clock.sleep(catchUpTime);
    const begin = clock.now();
    await clock.sleep(options.seconds * 1_000);
    const stats = await capacities(fleet);
    await load.cut();
    const gap = largestGap(
      load.samples.filter((sample) => sample.at >= begin),
      windowWidth,
    );
    const start = largestGap(
      load.samples.filter((sample) => sample.at < begin + windowWidth),
      windowWidth,
    );
    const received = load.records.map((record) => Math.round(record.received));
    console.log(`${policy}: largest gap ${rounded(gap.gap)} cost between ${gap.least} and`);
    console.log(`  ${gap.most} over ${gap.windows} windows; received ${received.join(' ')};`);
    console.log(`  largest gap at the start ${rounded(start.gap)};`);
    console.log(`  running ${stats.map((each) => each.running).join(' ')};`);
    console.log(`  totals ${JSON.stringify(load.totals)}`);
    return { steady: gap, start };
  });
}
