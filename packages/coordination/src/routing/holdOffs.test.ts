// Load pattern: servers that are full refuse with the time after which to come back, while requests in flight at them are
// still answered and their registrations lapse and return.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { server } from './fixtures.test.js';
import { HoldOffs } from './holdOffs.js';

test('the latest of several times counts, to its end', async () => {
  const clock = Clock.manual();
  const holdOffs = HoldOffs.create(clock);
  assert.ok(holdOffs.record(server('a'), 3_000));
  await clock.advance(1_000);
  assert.ok(!holdOffs.record(server('a'), 500));
  assert.equal(holdOffs.remaining(server('a')), 2_000);
  await clock.advance(2_000);
  holdOffs.expire();
  assert.equal(holdOffs.remaining(server('a')), 0);
});

// A server that starts again under its id knows nothing of what its former instance asked for.
test('a new instance under the same id wants requests', () => {
  const holdOffs = HoldOffs.create(Clock.manual());
  holdOffs.record(server('a'), 3_000);
  assert.equal(holdOffs.remaining(server('a', { born: 2 })), 0);
});
