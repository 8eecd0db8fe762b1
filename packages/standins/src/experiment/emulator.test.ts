// The emulator is used to compare policies, so that its engines must keep the published timing and a seed must decide
// everything.

import type { Prompt } from '@catkinwheel/coordination/routing';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { accountOf } from './evaluation.js';
import { Emulator } from './emulator.js';
import { Engine } from './engine.js';
import { heavyDays } from './builtInScenarios.js';
import { plot } from './worthChart.js';
import { policyMaker } from './policy.js';
import type { Scenario } from '@catkinwheel/platform/site';

const [calm] = heavyDays;
assert.ok(calm !== undefined);

function prompt(own: string): Prompt {
  const parts = [
    { id: 'shared', tokens: 11_000 },
    { id: own, tokens: 1_100 },
  ];
  return { model: 'm', parts, promptTokens: 12_100, outputLimit: 30 };
}

/** Time to the first event of a request that is alone at the engine. */
async function firstEvent(
  engine: Engine,
  clock: ReturnType<typeof Clock.manual>,
  own: string,
): Promise<Milliseconds> {
  const sent = clock.now();
  let first = Infinity;
  const onEvent = (): void => {
    first = Math.min(first, clock.now() - sent);
  };
  const run = { prompt: prompt(own), output: 30, tokensPerEvent: 3, onEvent };
  engine.submit({ ...run, onBegin: () => undefined, onEnd: () => undefined });
  await clock.advance(1_000);
  return first;
}

test('an engine reads at its published rate, and shared parts once', async () => {
  const clock = Clock.manual();
  const engine = Engine.create('a', clock, calm.engine, new Set());
  const stop = new AbortController();
  void engine.run(stop.signal);
  const cold = await firstEvent(engine, clock, 'one');
  const warm = await firstEvent(engine, clock, 'two');
  stop.abort();
  // 12,100 tokens at 55 a millisecond in three chunks between steps.
  assert.ok(cold >= 180 && cold <= 260, `${cold} ms`);
  assert.ok(warm <= 100, `${warm} ms`);
  assert.equal(engine.read, 12_100 + 1_100);
  assert.equal(engine.readAgain, 0);
});

test('requests of a crashed engine are lost and its parts are read again', async () => {
  const clock = Clock.manual();
  const engine = Engine.create('a', clock, calm.engine, new Set());
  const stop = new AbortController();
  void engine.run(stop.signal);
  await firstEvent(engine, clock, 'one');
  const ends: string[] = [];
  const run = { prompt: prompt('two'), output: 1_000, tokensPerEvent: 3, onEvent: () => undefined };
  engine.submit({ ...run, onBegin: () => undefined, onEnd: (end) => ends.push(end) });
  await clock.advance(100);
  engine.crash();
  assert.deepEqual(ends, ['lost']);
  engine.restart();
  await firstEvent(engine, clock, 'three');
  stop.abort();
  assert.equal(engine.readAgain, 11_000);
});

test('a seed decides a day, and waiting for the best server beats the fewest requests in a burst', async () => {
  const burst: Scenario = {
    ...calm,
    seconds: 5,
    events: [{ kind: 'burst', at: 1, duration: 4, factor: 2, only: undefined }],
  };
  const product = await policyMaker('product');
  const fewest = await policyMaker('fewest');
  const accounts = new Map<string, ReturnType<typeof accountOf>>();
  for (const [name, maker] of [
    ['product', product],
    ['again', product],
    ['fewest', fewest],
  ] as const)
    accounts.set(name, accountOf(await Emulator.play(burst, maker, 3)));
  const [first, again, other] = [...accounts.values()];
  assert.deepEqual(first, again);
  assert.ok(first !== undefined && other !== undefined);
  assert.equal(first.day.requests, other.day.requests);
  assert.ok(first.day.worth > other.day.worth, `${first.day.worth} and ${other.day.worth}`);
  assert.match(plot('burst', accounts), /^<svg.*fewest/s);
});
