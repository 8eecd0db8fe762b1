// Requests that have come back, told from new ones by the time that they have left.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { randomSequence } from './fixtures.test.js';
import { TimeBudgets } from './timeBudgets.js';

test('requests with much less time than others on their route have come back', () => {
  const random = randomSequence();
  const budgets = TimeBudgets.create(Clock.manual());
  budgets.observe('drafts', 14_900);
  let mistaken = 0;
  for (let index = 0; index < 100; index += 1) {
    const budget = 15_000 * (0.86 + 0.14 * random());
    if (budgets.observe('drafts', budget)) mistaken += 1;
    if (!budgets.observe('drafts', budget - 4_000)) mistaken += 1;
  }
  assert.equal(mistaken, 0);
});

test('routes are told apart, and a route that gets shorter budgets is learned anew', async () => {
  const clock = Clock.manual();
  const budgets = TimeBudgets.create(clock);
  assert.ok(!budgets.observe('drafts', 15_000));
  assert.ok(!budgets.observe('reads', 1_000));
  assert.ok(budgets.observe('drafts', 5_000));
  await clock.advance(31_000);
  budgets.observe('drafts', 5_000);
  await clock.advance(31_000);
  assert.ok(!budgets.observe('drafts', 5_000));
});
