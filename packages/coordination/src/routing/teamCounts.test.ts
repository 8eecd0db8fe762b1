// Guards against counts by which an operator cannot tell what became of a team's requests at a router.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prompt } from './fixtures.test.js';
import { TeamCounts } from './teamCounts.js';

test('counts of teams add up by outcome, begin anew once taken, and name the teams that asked for most', () => {
  const counts = TeamCounts.create();
  counts.record('large', 'delivered', prompt('a', 'b'));
  counts.record('large', 'refused', prompt('a', 'c'));
  counts.record('large', 'refused', prompt('a', 'd'));
  counts.record('small', 'left', undefined);
  const [first, ...others] = counts.take(1);
  assert.deepEqual(others, []);
  assert.deepEqual(first, {
    team: 'large',
    requests: { delivered: 1, refused: 2 },
    askedTokens: 3 * 16_400,
    deliveredTokens: 16_400,
  });
  assert.deepEqual(counts.take(9), []);
});
