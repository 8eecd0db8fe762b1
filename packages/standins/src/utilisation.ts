// Utilisation: the share of what the servers could bear that was in use while anything waited.

import { rounded, sum } from './arithmetic.js';
import type { CapacityStats } from './capacity.js';
import type { Fleet } from './fleet.js';
import { Load } from './load.js';
import { randomFrom } from './random.js';
import {
  capacities,
  clock,
  settleTime,
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

const target = 0.97;
const samplePeriod = 100;
/** Tokens/s of a slot; near the 31 ms between tokens that the design page asks for. */
const tokenRate = 50;
/** Requests that each team keeps open: together half more than there are slots. */
const open = 12;

/** Runs the fair policy and the two baselines on equal loads. */
export async function utilisation(options: MeasureOptions): Promise<Measure> {
  const value = await run('fair', options);
  const baseline = Math.max(await run('local', options), await run('equalShare', options));
  return {
    name: 'utilisation',
    seed: options.seed,
    target,
    value: rounded(value),
    baseline: rounded(baseline),
    unit: 'ratio',
  };
}

async function run(policy: Policy, options: MeasureOptions): Promise<number> {
  return withFleet(siteSpec(policy, siteSizes, slots, tokenRate), async (fleet) => {
    const loads = Array.from({ length: siteSizes.teams }, (_, index) => {
      // Half of the teams reach one of two routers only, so that queues are uneven.
      const isNear = index % 2 === 0;
      const reach = isNear ? [(index / 2) % 2] : 'all';
      return teamLoad(fleet, index, reach, { kind: 'closed', open }, tokens(10, 400));
    });
    const load = Load.start(loads, randomFrom(options.seed));
    await clock.sleep(settleTime);
    const ratio = await used(fleet, load, options.seconds * 1_000);
    await load.cut();
    console.log(`${policy}: utilisation ${ratio.toFixed(4)}, ${JSON.stringify(load.totals)}`);
    return ratio;
  });
}

/** Used over bearable slot time, over the sampled intervals with anything waiting at both ends. */
async function used(fleet: Fleet, load: Load, time: number): Promise<number> {
  const end = clock.now() + time;
  let before = await capacities(fleet);
  let wasWaiting = false;
  let busy = 0;
  let bearable = 0;
  while (clock.now() < end) {
    await clock.sleep(samplePeriod);
    const after = await capacities(fleet);
    const isWaiting = load.open > sum(after.map((each) => each.running));
    if (wasWaiting && isWaiting) {
      busy += grown(before, after, 'busy');
      bearable += grown(before, after, 'bearable');
    }
    before = after;
    wasWaiting = isWaiting;
  }
  return bearable === 0 ? 0 : busy / bearable;
}

function grown(
  before: readonly CapacityStats[],
  after: readonly CapacityStats[],
  field: 'busy' | 'bearable',
): number {
  return sum(after.map((each) => each[field])) - sum(before.map((each) => each[field]));
}
