// Guards against overloading cold servers: those of a whole data centre return cold under full traffic.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { ColdStartLimiter } from './coldStart.js';
import { server } from './fixtures.test.js';

const cold = server('server');
const bound = { factor: 1.5, slack: 5 };
const rate = 6.7;
const maxRate = rate * bound.factor + bound.slack;

for (const size of [1, 3, 7, 8, 61, 300]) {
  test(`${size} partitioned routers together keep within the rate of a cold server`, async () => {
    const clock = Clock.manual(5_000);
    const names = Array.from({ length: size }, (_, index) => `router-${index}`);
    const routers = names.map((name) => ColdStartLimiter.create(clock, bound, name, () => names));
    const sent: number[] = [];
    for (let step = 0; step < 40; step += 1) {
      for (const router of routers) {
        while (router.allows(cold, rate)) {
          router.recordSent(cold);
          sent.push(clock.now());
        }
      }
      await clock.advance(100);
    }
    assert.ok(sent.length > 0);
    for (const start of sent) {
      const inSecond = sent.filter((time) => time >= start && time < start + 1_000).length;
      assert.ok(inSecond <= maxRate, `${inSecond} requests in a second`);
    }
  });
}

test('routers that each know only half of the fleet keep within the rate', () => {
  const clock = Clock.manual(0);
  const names = Array.from({ length: 8 }, (_, index) => `router-${index}`);
  const halves = [names.slice(0, 4), names.slice(4)];
  let sent = 0;
  for (const half of halves) {
    for (const name of half) {
      const router = ColdStartLimiter.create(clock, bound, name, () => half);
      while (router.allows(cold, rate)) {
        router.recordSent(cold);
        sent += 1;
      }
    }
  }
  assert.ok(sent > 0 && sent <= maxRate, `${sent} requests`);
});

// Guards against a server that gets nothing after its start, since its former instance was sent what it may get.
test('each instance of an id has a rate of its own', () => {
  const router = ColdStartLimiter.create(Clock.manual(0), bound, 'r1', () => ['r1']);
  while (router.allows(cold, rate)) router.recordSent(cold);
  const next = server('server', { born: 2 });
  let sent = 0;
  for (; router.allows(next, rate); sent += 1) router.recordSent(next);
  assert.ok(sent > 0 && sent <= maxRate, `${sent} requests`);
});
