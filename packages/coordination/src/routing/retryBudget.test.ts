// Load pattern: all servers of a service lose answers while every router serves traffic.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { RetryBudget } from './retryBudget.js';

const bound = { ratio: 0.2, slack: 54, window: 10_000 };

test('routers that all repeat as much as they may stay within the bound of the fleet', async () => {
  const clock = Clock.manual(1_000_000);
  const routers = Array.from({ length: 7 }, () => RetryBudget.create(clock, bound, () => 7));
  const repeats: number[] = [];
  const requests: number[] = [];
  for (let second = 0; second < 40; second += 1) {
    let sent = 0;
    let repeated = 0;
    for (const router of routers) {
      for (let index = 0; index < 10; index += 1) {
        router.deposit('model');
        sent += 1;
        if (router.withdraw('model')) repeated += 1;
      }
    }
    requests.push(sent);
    repeats.push(repeated);
    await clock.advance(1_000);
  }
  const total = (list: readonly number[], end: number): number =>
    list.slice(Math.max(0, end - 10), end).reduce((sum, value) => sum + value, 0);
  for (let end = 1; end <= repeats.length; end += 1)
    assert.ok(total(repeats, end) <= bound.ratio * total(requests, end) + bound.slack);
  assert.ok(total(repeats, 40) > 0);
});

test('a service without requests still gets the free repeats, shared among routers', () => {
  const budget = RetryBudget.create(Clock.manual(0), bound, () => 7);
  let taken = 0;
  while (budget.withdraw('model')) taken += 1;
  assert.ok(taken >= 1);
  assert.ok(taken * 7 <= bound.slack);
});
