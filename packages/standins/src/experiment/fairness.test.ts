// Teams share the capacity of the whole fleet, so fairness is judged over all routers together.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Emulator, type RequestOutcome } from './emulator.js';
import { findUnfairWindows } from './fairness.js';
import { floodBesideStickyTeam, builtInScenarios } from './builtInScenarios.js';
import { loadPolicyFactory } from './policy.js';

const [kind] = builtInScenarios[0]?.kinds ?? [];
assert.ok(kind !== undefined);

/** Requests of a team, one in each half of each second, of which every `servedEvery`-th starts at once. */
function requestsOf(team: string, seconds: number, servedEvery: number): readonly RequestOutcome[] {
  return Array.from({ length: 2 * seconds }, (_, index): RequestOutcome => {
    const at = index * 500;
    const isServed = index % servedEvery === 0;
    const prompt = { model: 'm', parts: [], promptTokens: 1_000, outputLimit: 0 };
    const arrival = {
      at,
      kind,
      team,
      prompt,
      outputTokens: 1,
      routerPick: 0,
    } as RequestOutcome['arrival'];
    return isServed
      ? { arrival, result: 'onTime', timeToFirstEvent: 100, startedAt: at }
      : { arrival, result: 'refused', timeToFirstEvent: undefined, startedAt: undefined };
  });
}

// Guards against a check that misses a starved team, or that reports a team which got half of the best-served team's share.
test('a team delayed in every second is starved with an eighth of what the best-served team got, not with half', () => {
  const seconds = 24;
  const all = requestsOf('all', seconds, 1);
  const unfair = findUnfairWindows([...all, ...requestsOf('starved', seconds, 8)], seconds);
  assert.deepEqual([...new Set(unfair.map(({ team }) => team))], ['starved']);
  assert.deepEqual(findUnfairWindows([...all, ...requestsOf('half', seconds, 2)], seconds), []);
});

// Guards against unfairness that arises when each router grants the free capacity that it sees at a server: a team that
// sends to all routers then gets many times as much as one whose callers use a single router.
test('a team that keeps to one router gets its share of overloaded servers beside one that asks all routers', async () => {
  const product = await loadPolicyFactory('product');
  for (const seed of [5, 9, 10]) {
    const { outcomes } = await Emulator.run(floodBesideStickyTeam, product, seed);
    assert.deepEqual(
      findUnfairWindows(outcomes, floodBesideStickyTeam.seconds),
      [],
      `seed ${seed}`,
    );
  }
});
