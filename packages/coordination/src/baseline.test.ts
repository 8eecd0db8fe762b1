// Baseline permit sources. Guards against quotas of the routers that do not add up to a server's permits.

import { Clock } from '@catkinwheel/state';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Baseline, type BaselinePolicy } from './baseline.js';
import { FakeMetrics } from './fakes.test.js';
import { catalogueOf, team, requestOf } from './simulation.test.js';

const names = ['r0', 'r1', 'r2'];

/** Number of permits that three routers with enough requests grant for two servers with eight permits each. */
async function countGrants(policy: BaselinePolicy, drained: string): Promise<number> {
  const clock = Clock.manual();
  const catalogue = {
    ...catalogueOf({ a: team() }, 2, 8),
    drain: { dataCentres: [drained], vms: [] },
  };
  const common = { routers: () => names, policy, clock, limits: { waitingBytes: 1e9 } };
  const metrics = new FakeMetrics();
  const { signal } = new AbortController();
  let count = 0;
  for (const self of names) {
    const baseline = Baseline.create({
      ...common,
      self,
      metrics,
      catalogue: { current: () => catalogue },
    });
    for (let index = 0; index < 20; index += 1) {
      void baseline.acquire(requestOf(catalogue, 'a', 0), signal).map(() => (count += 1));
    }
  }
  await clock.advance(0);
  return count;
}

test('the quotas of all routers add up to the permits of the servers in service', async () => {
  for (const policy of ['local', 'equalShare'] as const) {
    assert.equal(await countGrants(policy, 'none'), 16);
    assert.equal(await countGrants(policy, 'd0'), 8);
  }
});
