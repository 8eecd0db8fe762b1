// Servers that refuse with 503 and say after which time they want requests again.

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { call, type CallResult } from './caller.js';
import { StackFleet, names } from './fleet.js';

/** Time that the servers ask for. */
const holdOff: Milliseconds = 2_000;
/** Requests that may still reach a server while its refusal travels, and how many may come after that. */
const travelTime: Milliseconds = 500;
const allowed = 2;

let fleet: StackFleet;
let sent = 0;

before(async () => {
  fleet = await StackFleet.start();
  await fleet.addRouter();
  await fleet.ready();
});

after(() => fleet.close());

function send(): Promise<CallResult> {
  sent += 1;
  return call({
    address: fleet.routers[0]?.settings.listen.callers ?? '',
    host: names.host,
    id: `held-${sent}`,
    key: names.key,
    path: '/reads/1',
    timeLeft: 1_500,
  });
}

// Guards against BUDGET: a pause of the router's own choice is shorter than what the server asked for.
test('a server that asks for time gets no requests until it has passed, and some after that', async () => {
  const [server] = fleet.desks;
  assert.ok(server !== undefined);
  server.retryAfter = String(holdOff / 1_000);
  server.behaviours = ['refusesForTime'];
  while (server.behaviours.length > 0) await send();
  const refusedAt = performance.now();
  // Its registration lapses and returns meanwhile, which must not end the time.
  fleet.store.remove('servers', server.id);
  await pause(100);
  fleet.register(server, names.desk);
  while (performance.now() < refusedAt + holdOff) {
    await Promise.all(Array.from({ length: 4 }, send));
    await pause(20);
  }
  const since = server.seen.filter(
    ({ at }) => at > refusedAt + travelTime && at < refusedAt + holdOff,
  );
  assert.ok(since.length <= allowed, `${since.length} requests reached it`);
  await pause(100);
  const before = server.seen.length;
  await Promise.all(Array.from({ length: 12 }, send));
  assert.ok(server.seen.length > before);
});

// Guards against callers that wait for servers of which it is known that they will not take requests in time.
test('when all servers of a service ask for time, requests are refused at once with that time', async () => {
  for (const server of fleet.desks) {
    server.retryAfter = '4';
    server.behaviours = Array.from({ length: 4 }, () => 'refusesForTime' as const);
  }
  await send();
  await send();
  const started = performance.now();
  const { status, headers } = await send();
  assert.equal(status, 503);
  assert.ok(performance.now() - started < 150, 'the request waited');
  const seconds = Number(headers['retry-after']);
  assert.ok(seconds > 3 && seconds <= 4, `retry-after is ${seconds}`);
});
