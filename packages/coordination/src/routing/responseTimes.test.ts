// Estimates of how long responses take, from complete ones.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { randomSequence } from './fixtures.test.js';
import { ResponseTimes } from './responseTimes.js';

test('nothing is known before the first response', () => {
  assert.equal(ResponseTimes.unknown.durationOf(undefined), undefined);
  assert.equal(ResponseTimes.unknown.durationOf(400), undefined);
});

// Guards against requests that are taken by an estimate which half of the responses exceed.
test('hardly any response takes longer than the bound', () => {
  const random = randomSequence();
  let times = ResponseTimes.unknown;
  let exceeded = 0;
  for (let index = 0; index < 200; index += 1) {
    const duration = 1_500 + 600 * random();
    const bound = times.durationOf(undefined)?.atMost ?? Infinity;
    if (duration > bound) exceeded += 1;
    times = times.observeWhole(duration);
  }
  assert.ok(exceeded <= 4, `${exceeded} of 200`);
});

test('a stream takes longer the more tokens it may have', () => {
  let times = ResponseTimes.unknown;
  for (let index = 0; index < 50; index += 1) times = times.observeStream(2_000, 400, 100);
  const [short, long] = [times.durationOf(100), times.durationOf(1_000)];
  assert.ok(short !== undefined && long !== undefined);
  assert.ok(Math.abs(short.expected - 500) < 1 && Math.abs(long.expected - 5_000) < 1);
  assert.ok(long.atMost >= long.expected);
});
