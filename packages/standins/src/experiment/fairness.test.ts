// Teams share the capacity of a whole fleet, so that the experiment judges their shares over all routers.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Emulator, type Served } from './emulator.js';
import { unfairTeams } from './fairness.js';
import { floodBesideKeeper, heavyDays } from './builtInScenarios.js';
import { policyMaker } from './policy.js';

const [kind] = heavyDays[0]?.kinds ?? [];
assert.ok(kind !== undefined);

/** Requests of a team, one in each half of each second, of which each `every`-th begins at once. */
function requestsOf(team: string, seconds: number, every: number): readonly Served[] {
  return Array.from({ length: 2 * seconds }, (_, index): Served => {
    const at = index * 500;
    const isServed = index % every === 0;
    const prompt = { model: 'm', parts: [], promptTokens: 1_000, outputLimit: 0 };
    const arrival = { at, kind, team, prompt, output: 1, pick: 0 } as Served['arrival'];
    return isServed
      ? { arrival, result: 'inAim', first: 100, begun: at }
      : { arrival, result: 'refused', first: undefined, begun: undefined };
  });
}

// Guards against a judgement that passes over a starved team, or blames the routers for one that does not wait.
test('a team with an eighth of what another one got is unfairly served if it waits in each second', () => {
  const seconds = 24;
  const all = requestsOf('all', seconds, 1);
  const found = unfairTeams([...all, ...requestsOf('starved', seconds, 8)], seconds);
  assert.deepEqual([...new Set(found.map(({ team }) => team))], ['starved']);
  assert.deepEqual(unfairTeams([...all, ...requestsOf('half', seconds, 2)], seconds), []);
});

// Guards against routers that each grant what they see free at a server: a team that asks all of them got many times as
// much as one whose callers keep to one router.
test('a team that keeps to one router gets its share of overloaded servers beside one that asks all routers', async () => {
  const product = await policyMaker('product');
  for (const seed of [5, 9]) {
    const { served } = await Emulator.play(floodBesideKeeper, product, seed);
    assert.deepEqual(unfairTeams(served, floodBesideKeeper.seconds), [], `seed ${seed}`);
  }
});
