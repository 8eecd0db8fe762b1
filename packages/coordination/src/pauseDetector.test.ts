import { Clock } from '@catkinwheel/state';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PauseDetector } from './pauseDetector.js';

test('messages read after a pause are suspect, whether the tick or the message comes first', () => {
  const clock = Clock.manual();
  const watch = PauseDetector.create(clock);
  clock.jump(500);
  assert.ok(!watch.isAfterPause());
  clock.jump(1);
  assert.ok(watch.isAfterPause(), 'before the first tick');
  watch.tick();
  assert.ok(watch.isAfterPause(), 'after the first tick');
  clock.jump(200);
  watch.tick();
  assert.ok(watch.isAfterPause());
  clock.jump(50);
  watch.tick();
  assert.ok(!watch.isAfterPause());
});
