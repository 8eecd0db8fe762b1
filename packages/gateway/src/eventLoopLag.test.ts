// Load pattern: a team keeps to one router of a small VM and asks for more than that can read. Its requests waited
// unread and were sent on after their callers had left.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { EventLoopLag } from './eventLoopLag.js';

test('a router that is late once is behind until it has read what came meanwhile', () => {
  const lag = EventLoopLag.create(Clock.manual());
  const looks = [50, 1_500, 10, 10, 600, 10].map((late) => {
    lag.note(late);
    return lag.isBehind;
  });
  assert.deepEqual(looks, [false, true, true, false, true, false]);
});
