import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { ServerHealth } from './serverHealth.js';

test('a server that cannot be reached is left alone for longer with each try', async () => {
  const clock = Clock.manual();
  const standings = ServerHealth.create(clock);
  standings.record('a', 'unreachable');
  assert.ok(!standings.isUsable('a'));
  await clock.advance(250);
  assert.ok(standings.isUsable('a'));
  standings.record('a', 'unreachable');
  await clock.advance(250);
  assert.ok(!standings.isUsable('a'));
});

test('a server that answers again is reported as back, since it may be cold', () => {
  const standings = ServerHealth.create(Clock.manual());
  standings.record('a', 'unreachable');
  assert.equal(standings.record('a', 'answered'), 'back');
  assert.equal(standings.record('a', 'answered'), undefined);
});

test('a server that fails half of its requests is found from its answers', () => {
  const standings = ServerHealth.create(Clock.manual());
  for (let index = 0; index < 30; index += 1)
    standings.record('a', index % 2 === 0 ? 'failed' : 'answered');
  assert.ok(standings.failureRate('a') > 0.3);
});

// The log tells a change of belief once; a line for each failure would hide it.
test('each change of the belief about a server is told once', () => {
  const standings = ServerHealth.create(Clock.manual());
  const results = ['unreachable', 'unreachable', 'answered'] as const;
  const told = results.map((result) => standings.record('a', result));
  assert.deepEqual(told, ['lost', undefined, 'back']);
  const failures = Array.from({ length: 20 }, () => standings.record('a', 'failed'));
  assert.deepEqual(
    failures.filter((change) => change !== undefined),
    ['faulty'],
  );
  const answers = Array.from({ length: 40 }, () => standings.record('a', 'answered'));
  assert.deepEqual(
    answers.filter((change) => change !== undefined),
    ['sound'],
  );
});
