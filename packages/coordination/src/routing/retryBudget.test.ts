// Guards against retry storms: all servers of a service lose responses while every router serves traffic.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { RetryBudget } from './retryBudget.js';

const bound = { ratio: 0.2, slack: 54, window: 10_000 };

test('routers that all use up their retry budgets stay within the bound of the fleet', async () => {
  const clock = Clock.manual(1_000_000);
  const routers = Array.from({ length: 7 }, () => RetryBudget.create(clock, bound, () => 7));
  const retries: number[] = [];
  const requests: number[] = [];
  for (let second = 0; second < 40; second += 1) {
    let sent = 0;
    let retried = 0;
    for (const router of routers) {
      for (let index = 0; index < 10; index += 1) {
        router.deposit('model');
        sent += 1;
        if (router.withdraw('model')) retried += 1;
      }
    }
    requests.push(sent);
    retries.push(retried);
    await clock.advance(1_000);
  }
  const total = (list: readonly number[], end: number): number =>
    list.slice(Math.max(0, end - 10), end).reduce((sum, value) => sum + value, 0);
  for (let end = 1; end <= retries.length; end += 1)
    assert.ok(total(retries, end) <= bound.ratio * total(requests, end) + bound.slack);
  assert.ok(total(retries, 40) > 0);
});

test('a service without requests still gets the fixed allowance of retries, shared among routers', () => {
  const budget = RetryBudget.create(Clock.manual(0), bound, () => 7);
  let taken = 0;
  while (budget.withdraw('model')) taken += 1;
  assert.ok(taken >= 1);
  assert.ok(taken * 7 <= bound.slack);
});
