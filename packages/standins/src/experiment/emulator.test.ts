// The emulator compares policies, so its engines must follow the published timing and a run must be determined by its seed.

import type { Prompt } from '@catkinwheel/coordination/routing';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluate } from './evaluation.js';
import { Emulator } from './emulator.js';
import { Engine } from './engine.js';
import { builtInScenarios } from './builtInScenarios.js';
import { renderWorthChart } from './worthChart.js';
import { loadPolicyFactory } from './policy.js';
import type { Scenario } from '@catkinwheel/platform/site';

const [calmScenario] = builtInScenarios;
assert.ok(calmScenario !== undefined);

function prompt(unsharedPart: string): Prompt {
  const parts = [
    { id: 'shared', tokens: 11_000 },
    { id: unsharedPart, tokens: 1_100 },
  ];
  return { model: 'm', parts, promptTokens: 12_100, outputLimit: 30 };
}

/** Time to the first event of a request that runs alone at the engine. */
async function timeToFirstEvent(
  engine: Engine,
  clock: ReturnType<typeof Clock.manual>,
  unsharedPart: string,
): Promise<Milliseconds> {
  const sentAt = clock.now();
  let timeToFirst = Infinity;
  const onEvent = (): void => {
    timeToFirst = Math.min(timeToFirst, clock.now() - sentAt);
  };
  const run = { prompt: prompt(unsharedPart), outputTokens: 30, tokensPerEvent: 3, onEvent };
  engine.submit({ ...run, onStart: () => undefined, onEnd: () => undefined });
  await clock.advance(1_000);
  return timeToFirst;
}

test('an engine prefills at its published rate, and shared prompt parts only once', async () => {
  const clock = Clock.manual();
  const engine = Engine.create('a', clock, calmScenario.engine, new Set());
  const stop = new AbortController();
  void engine.run(stop.signal);
  const cold = await timeToFirstEvent(engine, clock, 'one');
  const warm = await timeToFirstEvent(engine, clock, 'two');
  stop.abort();
  // 12,100 tokens at 55 per millisecond, in three chunks of up to 4,096 tokens, one per step.
  assert.ok(cold >= 180 && cold <= 260, `${cold} ms`);
  assert.ok(warm <= 100, `${warm} ms`);
  assert.equal(engine.prefillTokens, 12_100 + 1_100);
  assert.equal(engine.repeatedPrefillTokens, 0);
});

test('a crash loses the requests of an engine, and its cached prompt parts are prefilled again', async () => {
  const clock = Clock.manual();
  const engine = Engine.create('a', clock, calmScenario.engine, new Set());
  const stop = new AbortController();
  void engine.run(stop.signal);
  await timeToFirstEvent(engine, clock, 'one');
  const ends: string[] = [];
  const run = {
    prompt: prompt('two'),
    outputTokens: 1_000,
    tokensPerEvent: 3,
    onEvent: () => undefined,
  };
  engine.submit({ ...run, onStart: () => undefined, onEnd: (end) => ends.push(end) });
  await clock.advance(100);
  engine.crash();
  assert.deepEqual(ends, ['lost']);
  engine.restart();
  await timeToFirstEvent(engine, clock, 'three');
  stop.abort();
  assert.equal(engine.repeatedPrefillTokens, 11_000);
});

test('the same seed gives the same result, and in a burst the product beats the policy of fewest requests', async () => {
  const burst: Scenario = {
    ...calmScenario,
    seconds: 5,
    events: [{ kind: 'burst', at: 1, duration: 4, factor: 2, only: undefined }],
  };
  const product = await loadPolicyFactory('product');
  const fewest = await loadPolicyFactory('fewest');
  const evaluations = new Map<string, ReturnType<typeof evaluate>>();
  for (const [name, policyFactory] of [
    ['product', product],
    ['again', product],
    ['fewest', fewest],
  ] as const)
    evaluations.set(name, evaluate(await Emulator.run(burst, policyFactory, 3)));
  const [first, repeated, fewestRequests] = [...evaluations.values()];
  assert.deepEqual(first, repeated);
  assert.ok(first !== undefined && fewestRequests !== undefined);
  assert.equal(first.day.requests, fewestRequests.day.requests);
  assert.ok(
    first.day.worth > fewestRequests.day.worth,
    `${first.day.worth} and ${fewestRequests.day.worth}`,
  );
  assert.match(renderWorthChart('burst', evaluations), /^<svg.*fewest/s);
});
