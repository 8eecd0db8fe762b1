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

/** A fleet of six large VMs and 55 small ones. */
const large = Array.from({ length: 6 }, (_, index) => `large-${index}`);
const small = Array.from({ length: 55 }, (_, index) => `small-${index}`);
const mixed = [...large, ...small];

/** Requests that all routers may send at once to one cold server, if each knows the routers that `sharersOf` returns. */
function sentAtOnce(id: string, sharersOf: (name: string) => readonly string[]): number {
  const clock = Clock.manual(0);
  const instance = server(id);
  let sent = 0;
  for (const name of mixed) {
    const router = ColdStartLimiter.create(clock, bound, name, () => sharersOf(name));
    for (; router.allows(instance, rate); sent += 1) router.recordSent(instance);
  }
  return sent;
}

const coldServers = Array.from({ length: 30 }, (_, index) => `server-${index}`);

// Guards against FAILBACK of issue 42: each of 55 routers that callers are not sent to took a share of the rate that was divided
// among six others.
test('routers that are not among those that share the rate of a cold server send it nothing', () => {
  for (const id of coldServers) {
    const sent = sentAtOnce(id, () => large);
    assert.ok(sent > 0 && sent <= maxRate, `${sent} requests at once`);
  }
});

// Guards against FAILBACK when routers disagree on the sizes of VMs, and so on which routers share the rate.
test('routers of which half know another division keep within the rate of a cold server', () => {
  for (const id of coldServers) {
    const sent = sentAtOnce(id, (name) => (mixed.indexOf(name) % 2 === 0 ? large : mixed));
    assert.ok(sent > 0 && sent <= maxRate, `${sent} requests at once`);
  }
});
