// The timing of engines, learned from first tokens of the prompts that a deployment has: small ones mostly, and few long ones.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EngineTiming } from './engineTiming.js';
import { randomSequence } from './fixtures.test.js';

/** First tokens of an engine, each a tenth earlier or later than its rate says. */
function learned(
  rate: number,
  base: number,
  tokensOf: (random: number) => number,
  count = 300,
): EngineTiming {
  const random = randomSequence();
  let timing = EngineTiming.initial;
  for (let index = 0; index < count; index += 1) {
    const tokens = tokensOf(random());
    timing = timing.observe(tokens, (base + tokens / rate) * (0.9 + 0.2 * random()));
  }
  return timing;
}

const within = (actual: number, expected: number, part: number): boolean =>
  Math.abs(actual - expected) <= part * expected;

// Guards against a rate that stays at its initial value where few prompts are long, so that half of the capacity is not used.
test('the rate is learned from prompts of some hundred to some thousand tokens', () => {
  const timing = learned(82, 45, (random) => 200 + 4_000 * random ** 2);
  assert.ok(within(timing.prefillRate, 82, 0.15), `${timing.prefillRate} tokens a ms`);
  assert.ok(within(timing.baseTime, 45, 0.25), `${timing.baseTime} ms`);
});

test('a slower engine is learned as well', () => {
  const timing = learned(30, 90, (random) => 20_000 * random);
  assert.ok(within(timing.prefillRate, 30, 0.15), `${timing.prefillRate} tokens a ms`);
});

// Guards against a single stalled server that makes all requests look late.
test('a first token that comes seconds late hardly changes the prediction', () => {
  const before = learned(55, 65, (random) => 10_000 * random);
  const after = before.observe(1_000, 8_000);
  assert.ok(within(after.timeToFirstToken(5_000), before.timeToFirstToken(5_000), 0.15));
});

test('values stay positive and bounded whatever is observed', () => {
  let timing = EngineTiming.initial;
  for (const [tokens, time] of [
    [0, 900],
    [9_000, 0],
    [0, 0],
    [50_000, 1],
  ] as const)
    for (let index = 0; index < 100; index += 1) timing = timing.observe(tokens, time);
  assert.ok(timing.baseTime >= 0 && timing.prefillRate > 0 && Number.isFinite(timing.prefillRate));
});
