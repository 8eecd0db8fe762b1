import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { ServerHealth } from './serverHealth.js';

test('an unreachable server is paused for longer with each failure', async () => {
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

test('a server that responds again is reported as back, since it may be cold', () => {
  const standings = ServerHealth.create(Clock.manual());
  standings.record('a', 'unreachable');
  assert.equal(standings.record('a', 'answered'), 'back');
  assert.equal(standings.record('a', 'answered'), undefined);
});

test('a server that fails half of its requests is detected by its responses', () => {
  const standings = ServerHealth.create(Clock.manual());
  for (let index = 0; index < 30; index += 1)
    standings.record('a', index % 2 === 0 ? 'failed' : 'answered');
  assert.ok(standings.failureRate('a') > 0.3);
});

// Each change is logged once; a line for each failure would hide it.
test('each change of a server’s health is reported once', () => {
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
