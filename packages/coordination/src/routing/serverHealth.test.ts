import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { server } from './fixtures.test.js';
import { ServerHealth } from './serverHealth.js';

const a = server('a');

test('an unreachable server is paused for longer with each failure', async () => {
  const clock = Clock.manual();
  const health = ServerHealth.create(clock);
  health.record(a, 'unreachable');
  assert.ok(!health.isUsable(a));
  await clock.advance(250);
  assert.ok(health.isUsable(a));
  health.record(a, 'unreachable');
  await clock.advance(250);
  assert.ok(!health.isUsable(a));
});

// The dispatcher then treats the server as cold, since it may have been unreachable because of a restart.
test('a server that responds again is reported as back', () => {
  const health = ServerHealth.create(Clock.manual());
  health.record(a, 'unreachable');
  assert.equal(health.record(a, 'answered'), 'back');
  assert.equal(health.record(a, 'answered'), undefined);
});

test('a server that fails half of its requests is detected by its responses', () => {
  const health = ServerHealth.create(Clock.manual());
  for (let index = 0; index < 30; index += 1)
    health.record(a, index % 2 === 0 ? 'failed' : 'answered');
  assert.ok(health.failureRate(a) > 0.3);
});

// The gateway logs each reported change; a log line for each failure would hide the changes.
test('each change of a server’s health is reported once', () => {
  const health = ServerHealth.create(Clock.manual());
  const results = ['unreachable', 'unreachable', 'answered'] as const;
  const changes = results.map((result) => health.record(a, result));
  assert.deepEqual(changes, ['lost', undefined, 'back']);
  const failures = Array.from({ length: 20 }, () => health.record(a, 'failed'));
  assert.deepEqual(
    failures.filter((change) => change !== undefined),
    ['faulty'],
  );
  const answers = Array.from({ length: 40 }, () => health.record(a, 'answered'));
  assert.deepEqual(
    answers.filter((change) => change !== undefined),
    ['sound'],
  );
});
