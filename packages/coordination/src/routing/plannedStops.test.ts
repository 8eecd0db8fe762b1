// Which requests a router still takes while it, or the router that holds a caller's connection for it, stops as planned.

import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { PlannedStops } from './plannedStops.js';

const holder = '10.0.0.2';

describe('a stopping router', () => {
  for (const grace of [1_000, 4_000, 8_000, 30_000]) {
    // Guards against LOST at the end of the grace, and against ending before its last sixth.
    test(`with ${grace / 1_000} s of grace ends in the last sixth of it`, () => {
      const clock = Clock.manual(5_000);
      const stops = PlannedStops.create(clock, { grace });
      assert.equal(stops.endOf(undefined), Infinity);
      stops.begin();
      const used = stops.endOf(undefined) - clock.now();
      assert.ok(used > (grace * 5) / 6 && used < grace, `${used} ms`);
    });

    // Guards against a router that keeps taking requests until its end.
    test(`with ${grace / 1_000} s of grace takes requests for a part of it only`, async () => {
      const clock = Clock.manual(5_000);
      const stops = PlannedStops.create(clock, { grace });
      stops.begin();
      assert.ok(stops.takesRequests(undefined));
      await clock.advance(Math.min(3_001, grace));
      assert.ok(!stops.takesRequests(undefined));
    });
  }

  test('tells those that wait of the stop, once', () => {
    const stops = PlannedStops.create(Clock.manual(), { grace: 8_000 });
    let told = 0;
    const unsubscribe = stops.onChange(() => (told += 1));
    stops.begin();
    stops.begin();
    assert.equal(told, 1);
    unsubscribe();
    stops.recordHeartbeat(holder, true, 0);
    assert.equal(told, 1);
  });
});

describe('a router that holds a connection', () => {
  // Guards against answers that come after the end of the router through which their callers are connected.
  test('bounds the requests on it by its own end, however late that is heard', async () => {
    const clock = Clock.manual(5_000);
    const holding = PlannedStops.create(clock, { grace: 8_000 });
    const serving = PlannedStops.create(clock, { grace: 8_000 });
    holding.begin();
    await clock.advance(250);
    serving.recordHeartbeat(holder, true, 100);
    assert.ok(serving.endOf(holder) <= holding.endOf(undefined));
    assert.equal(serving.endOf(undefined), Infinity);
    assert.equal(serving.endOf('10.0.0.3'), Infinity);
    assert.ok(!serving.isStopping);
  });

  test('that runs again bounds nothing', () => {
    const stops = PlannedStops.create(Clock.manual(5_000), { grace: 8_000 });
    stops.recordHeartbeat(holder, true, 0);
    stops.recordHeartbeat(holder, false, 0);
    assert.equal(stops.endOf(holder), Infinity);
    assert.ok(!stops.closesConnections(holder));
  });
});
