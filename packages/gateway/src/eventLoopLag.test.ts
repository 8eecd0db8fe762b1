// Guards against sending requests to servers after their callers have left: a team sends all its requests to one router on
// a small VM, which cannot read them in time, so they wait unread in sockets.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { EventLoopLag } from './eventLoopLag.js';

test('after one late timer a router counts as behind until it has read the requests that arrived meanwhile', () => {
  const lag = EventLoopLag.create(Clock.manual());
  const looks = [50, 1_500, 10, 10, 600, 10].map((late) => {
    lag.record(late);
    return lag.isBehind;
  });
  assert.deepEqual(looks, [false, true, true, false, true, false]);
});
